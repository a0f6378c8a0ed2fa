package abuser

import (
	"context"
	"net/http"
	"strings"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/stager"
	"coltsfootwick.example/standin/internal/supervisor"
)

const (
	// Host is the host of the queue.
	Host = "jobs.example"
	// prefix is the path prefix of the queue.
	prefix = "/checks/"
	// pool is the pool of the queue.
	pool = "checks"
	// askTimeout bounds one try of an ordinary caller, and askInterval is the pause
	// between two.
	askTimeout  = 3 * time.Second
	askInterval = 50 * time.Millisecond
	// giveUpAfter is how long an ordinary caller, and the start of the process, is
	// waited for.
	giveUpAfter = 30 * time.Second
	// queueTimeout is the queue's bound for callers' requests.
	queueTimeout = 3 * time.Second
)

// Stage is a manager that runs as a process against the platform's stand-in.
type Stage struct {
	stage *stager.Stage
	node  *stager.Node
	child *supervisor.Child
}

// NewStage starts a manager with limits, and waits until it serves.
func NewStage(ctx context.Context, files, binaries string, limits stager.Limits) (*Stage, error) {
	se, err := NewUnconfiguredStage(files, binaries, limits)
	if err != nil {
		return se, err
	}
	se.Configure()
	return se, se.Ask(ctx, "00000000ffffffff")
}

// NewUnconfiguredStage starts a manager with limits for which there is no configuration yet.
func NewUnconfiguredStage(files, binaries string, limits stager.Limits) (*Stage, error) {
	st, err := stager.New(files, binaries, stager.WithLimits(limits))
	if err != nil {
		return nil, err
	}
	se := &Stage{
		stage: st,
	}
	capacity := modeller.Resources{
		MilliCores: 8000,
		MemoryMB:   32_000,
	}
	if err := st.AddVM("m-0", pool, capacity, false); err != nil {
		return se, err
	}
	if se.node, err = st.AddManager("a"); err != nil {
		return se, err
	}
	se.child, err = se.node.Start()
	return se, err
}

// Configure writes the configuration, with one queue.
func (se *Stage) Configure() {
	se.stage.Provider().Configure(modeller.Configuration{
		Version: 1,
		Queues: map[string]modeller.Queue{
			pool: {
				Name:        pool,
				Host:        Host,
				Prefix:      prefix,
				Pool:        pool,
				Timeout:     queueTimeout,
				MaxAttempts: 3,
			},
		},
		Pools: map[string]modeller.Pool{
			pool: {
				Name: pool,
			},
		},
		Limits: modeller.Limits{
			MaxBodyBytes: bodyBytes,
		},
	})
}

// Callers returns the callers' listener with the queue.
func (se *Stage) Callers() Target { return Target{Address: se.node.Front, Path: prefix} }

// Internal returns the listener for other managers, with the path of announced jobs.
func (se *Stage) Internal() Target { return Target{Address: se.node.Internal, Path: "/jobs"} }

// Readiness returns the listener for readiness checks.
func (se *Stage) Readiness() Target { return Target{Address: se.node.Ready, Path: "/ready"} }

// Ask submits an ordinary job on new connections until it is accepted. The same job may
// be submitted again.
func (se *Stage) Ask(ctx context.Context, id modeller.JobID) error {
	return repeat200(ctx, func(ctx context.Context) (int, error) {
		const job = `{"spec":"text","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimate_ms":100}]}`
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+se.node.Front.String()+prefix+string(id), strings.NewReader(job))
		if err != nil {
			return 0, err
		}
		rq.Host = Host
		return send(rq)
	})
}

// Play plays a crowd for a time, and then until an ordinary job is accepted beside it.
// It returns what the process has used, and an error if it has ended or the job was not
// accepted.
func (se *Stage) Play(ctx context.Context, target Target, manner Manner, clients int, length time.Duration) (Observation, error) {
	return playCrowd(ctx, se.child, NewCrowd(target, manner, clients), length, func(ctx context.Context) error {
		return se.Ask(ctx, "00000000fffffffe")
	})
}

// Close ends the manager and the stand-ins.
func (se *Stage) Close() { se.stage.Close() }
