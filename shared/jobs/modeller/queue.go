package modeller

import "time"

// Queue takes jobs for a pool.
type Queue struct {
	// Name is the queue's name, and Host and Prefix what callers address it by.
	Name, Host, Prefix string
	// Pool is the pool whose workers run its tasks.
	Pool string
	// Priority is zero for the most urgent work.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Stretch times the longest chain of work, and Slack more, is the objective.
	Stretch float64
	Slack   time.Duration
	// Timeout bounds a call of a caller.
	Timeout time.Duration
	// Advice is set where only some workers may run a step.
	Advice *Advice
}

// Advice describes the service that knows which workers may run a step.
type Advice struct {
	// Decision and PerWorker are how long a call takes, and Validity how long
	// its tickets hold.
	Decision, PerWorker, Validity time.Duration
}

// Pool is a set of VMs that run the tasks of the same queues.
type Pool struct {
	// Name is the pool's name.
	Name string
	// IsGuarded is true if its workers refuse what doesn't fit.
	IsGuarded bool
	// IsStandby is true if its VMs are off.
	IsStandby bool
}

// Limits bound callers' requests.
type Limits struct {
	// MaxBodyBytes bounds the body; zero is no bound.
	MaxBodyBytes int
}

// Configuration is the operators' configuration of queues and pools.
type Configuration struct {
	// Version rises from one configuration to the next.
	Version int64
	// Queues are by name.
	Queues map[string]Queue
	// Pools are by name.
	Pools map[string]Pool
	// Limits bound callers' requests.
	Limits Limits
}
