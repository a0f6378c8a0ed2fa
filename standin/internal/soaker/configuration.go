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
)

// configure writes a configuration.
func (pl *play) configure(ev Configured) {
	cf := modeller.Configuration{
		Version: ev.Version,
		Queues:  map[string]modeller.Queue{},
		Pools: map[string]modeller.Pool{provider.StandbyPool: {
			Name:      provider.StandbyPool,
			IsStandby: true,
		}},
		Limits: modeller.Limits{
			MaxBodyBytes: maxBodyBytes,
		},
	}
	for _, rt := range ev.Routes {
		cf.Queues[rt.Name] = rt.queue()
	}
	for _, pool := range pools {
		cf.Pools[pool] = modeller.Pool{
			Name: pool,
		}
	}
	pl.stage.Provider().Configure(cf)
}

// queue returns the queue of a route.
func (rt Route) queue() modeller.Queue {
	return modeller.Queue{
		Name:        rt.Name,
		Host:        host,
		Prefix:      rt.Prefix,
		Pool:        rt.Pool,
		Timeout:     timeBudget,
		Slack:       queueSlack,
		MaxAttempts: queueAttempts,
		Stretch:     queueStretch,
	}
}
