package provider

import (
	"encoding/json"
	"maps"
	"slices"

	"coltsfootwick.example/shared/jobs/modeller"
)

// configurationKey is the key of the operators' configuration.
const configurationKey = "op/config"

// route is the wire form of a queue.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	TimeoutMS   int64   `json:"timeout_ms,omitempty"`
	SLOMS       int64   `json:"slo_ms,omitempty"`
	Priority    int     `json:"priority,omitempty"`
	MaxAttempts int     `json:"max_attempts,omitempty"`
	Stretch     float64 `json:"stretch,omitempty"`
	Advice      *advice `json:"advice,omitempty"`
	Public      bool    `json:"public,omitempty"`
}

// advice is the wire form of a queue's advice service.
type advice struct {
	DecisionMS int64 `json:"decision_ms"`
	PeriodMS   int64 `json:"period_ms"`
	ValidityMS int64 `json:"validity_ms"`
}

// service is the wire form of a pool.
type service struct {
	Name            string `json:"name"`
	RejectsOverload bool   `json:"rejects_overload,omitempty"`
	Standby         bool   `json:"standby,omitempty"`
}

// Tenant is the wire form of a team.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
}

// Configure writes the operators' configuration, as Put does, with teams if there are any. Workers that start from now on
// refuse or accept overload as it says, and RuleRoute and RuleBudget follow the
// queues of all configurations written so far.
func (pv *Provider) Configure(cf modeller.Configuration, tenants ...Tenant) {
	pv.mu.Lock()
	pv.queues = slices.AppendSeq(pv.queues, maps.Values(cf.Queues))
	pv.pools = maps.Clone(cf.Pools)
	pv.mu.Unlock()
	var routes []route
	for _, name := range slices.Sorted(maps.Keys(cf.Queues)) {
		routes = append(routes, encodeQueue(cf.Queues[name]))
	}
	var services []service
	for _, name := range slices.Sorted(maps.Keys(cf.Pools)) {
		pool := cf.Pools[name]
		services = append(services, service{
			Name:            pool.Name,
			RejectsOverload: pool.RejectsOverload,
			Standby:         pool.IsStandby,
		})
	}
	fields := map[string]any{
		"version":  cf.Version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]int{"max_body_bytes": cf.Limits.MaxBodyBytes},
	}
	if len(tenants) > 0 {
		fields["tenants"] = tenants
	}
	value, err := json.Marshal(fields)
	if err != nil {
		pv.recordViolation(RuleModel, modeller.TaskName{}, "configuration: %v", err)
		return
	}
	pv.Put(configurationKey, value)
}

func encodeQueue(qu modeller.Queue) route {
	rt := route{
		Name:        qu.Name,
		Host:        qu.Host,
		Prefix:      qu.Prefix,
		Service:     qu.Pool,
		TimeoutMS:   qu.Timeout.Milliseconds(),
		SLOMS:       qu.Slack.Milliseconds(),
		Priority:    qu.Priority,
		MaxAttempts: qu.MaxAttempts,
		Stretch:     qu.Stretch,
		Public:      qu.IsPublic,
	}
	if qu.Advice != nil {
		rt.Advice = &advice{
			DecisionMS: qu.Advice.DecisionTime.Milliseconds(),
			PeriodMS:   qu.Advice.TimePerWorker.Milliseconds(),
			ValidityMS: qu.Advice.Validity.Milliseconds(),
		}
	}
	return rt
}
