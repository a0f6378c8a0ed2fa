package modeller

import (
	"net/netip"
	"slices"
	"time"
)

// WorkerID names one life of a VM that runs tasks.
type WorkerID string

// Worker is a worker as the directory lists it.
type Worker struct {
	// ID names the worker.
	ID WorkerID
	// Pool is the worker's pool.
	Pool string
	// Address is where it takes orders.
	Address netip.AddrPort
	// Zone is its availability zone.
	Zone string
	// Labels are its kind and its rack.
	Labels []string
	// Capacity is what its tasks may take up together.
	Capacity Resources
	// IsDraining is true once it is about to leave.
	IsDraining bool
	// StartedAtMS is the Unix millisecond of its start; zero if it isn't told.
	StartedAtMS int64
	// VM is the VM whose life it is; empty if it isn't told.
	VM string
}

// HasLabel reports whether the worker has a label; all have the empty one.
func (wk Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(wk.Labels, label)
}

// Run is a task as a worker reports it.
type Run struct {
	// Task and Attempt name the run.
	Task    TaskName
	Attempt int
	// Checkpoint is the last saved progress, or empty.
	Checkpoint string
	// Progress is in percent; a long-running task is at work at 100.
	Progress int
	// Load is the tail of the response times in milliseconds for a serving
	// task, and the thousandths of a core in use for any other.
	Load int
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means: the worker's lease expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means: another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means: the other members of the gang didn't come in time.
	EndGangIncomplete EndKind = "alone"
)

// End is an ended run as a worker reports it.
type End struct {
	// Number counts the ends of one life of the worker from one.
	Number int64
	// Task and Attempt name the run.
	Task    TaskName
	Attempt int
	// Kind says how it ended.
	Kind EndKind
	// Checkpoint is the last saved progress, or empty.
	Checkpoint string
}

// Report is a worker's answer to a poll at its runs.
type Report struct {
	// StartedAtMS is the Unix millisecond of the worker's start; zero if it isn't told.
	StartedAtMS int64
	// Clock is the worker's own clock as it answered.
	Clock time.Duration
	// Running are the runs that hold capacity.
	Running []Run
	// Ended are the ends that have not been acknowledged, at most EndsPerReport.
	Ended []End
}

// EndsPerReport is how many ends a worker reports at once.
const EndsPerReport = 500
