package modeller

import "time"

// Queue is a queue of jobs for a pool.
type Queue struct {
	// Name is the queue's name. Callers address it by Host and Prefix.
	Name, Host, Prefix string
	// Pool is the pool whose workers run the queue's tasks.
	Pool string
	// Priority is the queue's priority; zero is the most urgent.
	Priority int
	// MaxAttempts is the number of failures after which a task, and with it its
	// job, has failed.
	MaxAttempts int
	// Stretch and Slack define the objective of a job's duration: Stretch times
	// the critical path of its steps, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Timeout is the timeout of a caller's request.
	Timeout time.Duration
	// Advice is set if only some workers are permitted to run a step.
	Advice *Advice
	// IsPublic is true if requests need no key.
	IsPublic bool
}

// HasAddressOf reports whether callers address both queues in the same way. A queue
// without a prefix has no address.
func (qu Queue) HasAddressOf(other Queue) bool {
	return qu.Prefix != "" && qu.Prefix == other.Prefix && qu.Host == other.Host
}

// Advice describes the advice service, which issues tickets to the workers that
// may run a step.
type Advice struct {
	// DecisionTime is the fixed part of the time that a request takes, and
	// TimePerWorker the part for each worker. Validity is how long the tickets
	// are valid.
	DecisionTime, TimePerWorker, Validity time.Duration
}

// Pool is a set of VMs that run the tasks of the same queues.
type Pool struct {
	// Name is the pool's name.
	Name string
	// RejectsOverload is true if the pool's workers refuse tasks that exceed
	// their capacity.
	RejectsOverload bool
	// IsStandby is true if the pool's VMs are switched off.
	IsStandby bool
}

// Limits bound callers' requests. Values that aren't positive stand for the defaults.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the sizes of a request's header section and
	// body.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout limits the time for a header section, and IdleTimeout that between
	// two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is the operators' configuration of queues, pools and teams.
type Configuration struct {
	// Version increases with each configuration.
	Version int64
	// Queues are the queues by name.
	Queues map[string]Queue
	// Pools are the pools by name.
	Pools map[string]Pool
	// Limits bound callers' requests.
	Limits Limits
	// Teams are the teams by name, or nil if requests need no keys. With an empty map,
	// no key is valid.
	Teams map[string]Team
}
