package soaker

import (
	"time"

	"coltsfootwick.example/standin/internal/provider"
)

// Regression is a play that has failed before.
type Regression struct {
	Seed uint64
	Settings
	// Cause is why it failed.
	Cause string
}

// Regressions are the plays that have failed before.
var Regressions = []Regression{{
	Seed: 50,
	Settings: Settings{
		Managers: 3,
		Duration: 12 * time.Second,
	},
	Cause: "a stop closed connections 4.2 s after SIGTERM while requests waited for a slow store; SIGHUP ended processes that had no handler yet",
}, {
	Seed: 20001,
	Settings: Settings{
		Managers: 12,
		Duration: 30 * time.Second,
	},
	Cause: "a repeated maintenance order ended the worker of a VM that had been maintained before, and left it idle",
}, {
	Seed: 33001,
	Settings: Settings{
		Managers: 3,
		Duration: 30 * time.Second,
	},
	Cause: "a wave evacuated the only worker of a pool, whose long-running tasks could not be stopped together",
}, {
	Seed: 20008,
	Settings: Settings{
		Managers: 3,
		Duration: 30 * time.Second,
	},
	Cause: "a wave evacuated the only worker that a job could run on, and waited for long-running tasks that could not be stopped",
}, {
	Seed: 50010,
	Settings: Settings{
		Managers: 3,
		Duration: 30 * time.Second,
	},
	Cause: "the check took a task to be next whose end was stored, as its acknowledgement was lost with the worker or came after the lease had expired",
}, {
	Seed: 60001,
	Settings: Settings{
		Managers:    3,
		Duration:    25 * time.Second,
		HasRestarts: true,
	},
	Cause: "a worker that was back under its ID accepted starts of the incarnation before, and was cut off; they counted as over while it had done them",
}, {
	Seed: 102,
	Settings: Settings{
		Managers: 5,
		Duration: 46 * time.Second,
		ZoneRestarts: &ZoneRestarts{
			Connections: provider.ConnectionsSilent,
		},
	},
	Cause: "workers that were back under their IDs accepted starts of the incarnations before on new connections, and got a longer lease than was counted",
}, {
	Seed: 24,
	Settings: Settings{
		Managers: 5,
		Duration: 46 * time.Second,
		ZoneRestarts: &ZoneRestarts{
			Connections: provider.ConnectionsKept,
		},
	},
	Cause: "workers that were back under their IDs carried out starts and acknowledgements that were sent to the incarnations before",
}}
