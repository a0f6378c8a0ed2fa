package soaker

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
)

// The settings of the queues.
const (
	maxBodyBytes  = 262_144
	queueSlack    = 600 * time.Millisecond
	queueAttempts = 3
	queueStretch  = 1.6
	// advisedShare is the share of a pool's VMs that may run a step of a queue with
	// advice.
	advisedShare          = 0.5
	decisionTime          = 20 * time.Millisecond
	decisionTimePerWorker = 2 * time.Millisecond
	ticketValidity        = 4 * time.Second
)

// configure writes a configuration.
func (pl *play) configure(ev Configured) {
	cf := modeller.Configuration{
		Version: ev.Version,
		Queues:  map[string]modeller.Queue{},
		Pools:   map[string]modeller.Pool{},
		Limits: modeller.Limits{
			MaxBodyBytes: maxBodyBytes,
		},
	}
	// Without a standby pool, idle VMs stay where they are, and get tasks.
	if pl.plan.ZoneRestarts == nil {
		cf.Pools[provider.StandbyPool] = modeller.Pool{
			Name:      provider.StandbyPool,
			IsStandby: true,
		}
	}
	for _, rt := range ev.Routes {
		cf.Queues[rt.Name] = pl.plan.queue(rt)
	}
	for _, pool := range pools {
		cf.Pools[pool] = modeller.Pool{
			Name: pool,
		}
	}
	pl.keys.put(pl, cf)
}

// queue returns the queue of a route.
func (pn Plan) queue(rt Route) modeller.Queue {
	qu := modeller.Queue{
		Name:        rt.Name,
		Host:        host,
		Prefix:      rt.Prefix,
		Pool:        rt.Pool,
		Timeout:     timeBudget,
		Slack:       queueSlack,
		MaxAttempts: queueAttempts,
		Stretch:     queueStretch,
	}
	if rt.Prefix == pn.AdvisedPrefix {
		qu.Advice = &modeller.Advice{
			DecisionTime:  decisionTime,
			TimePerWorker: decisionTimePerWorker,
			Validity:      ticketValidity,
		}
	}
	return qu
}
