package modeller

import (
	"net/netip"
	"slices"
	"time"
)

// WorkerID identifies a worker, which is one incarnation of a VM that runs
// tasks.
type WorkerID string

// Worker is a worker as the directory lists it.
type Worker struct {
	// ID identifies the worker.
	ID WorkerID
	// Pool is the worker's pool.
	Pool string
	// Address is the address at which the worker accepts orders.
	Address netip.AddrPort
	// Zone is the worker's availability zone.
	Zone string
	// Labels are the worker's kind and its rack.
	Labels []string
	// Capacity is the total of resources that the worker's tasks may reserve.
	Capacity Resources
	// IsDraining is true once the worker is about to shut down.
	IsDraining bool
	// StartedAtMS is the Unix millisecond at which the worker started, or zero
	// if the directory omits it.
	StartedAtMS int64
	// VM is the VM that the worker runs on, or empty if the directory omits it.
	VM string
	// Generation is the generation of the orders to the worker. It rises with each
	// incarnation that the scheduler learns of.
	Generation int
}

// generationBits is the number of bits of a fencing token for the generation.
const generationBits = 16

// FencingToken returns the fencing token of orders to the worker under an epoch. It rises
// with the epoch, and under the same one with the generation.
func (wk Worker) FencingToken(epoch uint64) uint64 {
	return epoch<<generationBits | uint64(min(max(wk.Generation, 0), 1<<generationBits-1))
}

// HasLabel reports whether the worker has a label. Every worker has the empty
// label.
func (wk Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(wk.Labels, label)
}

// Run is a running task as its worker reports it.
type Run struct {
	// Task and Attempt identify the run.
	Task    TaskName
	Attempt int
	// Checkpoint is the last saved progress, or empty.
	Checkpoint string
	// Progress is in percent; a long-running task serves at 100.
	Progress int
	// Load is the tail latency in milliseconds of a serving task; for any other
	// task it is the processor use in thousandths of a core.
	Load int
}

// EndKind is the way in which a run ended.
type EndKind string

// The kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start
	// in time.
	EndGangIncomplete EndKind = "alone"
)

// End is the end of a run as its worker reports it.
type End struct {
	// Number numbers the ends of one incarnation of the worker, from one.
	Number int64
	// Task and Attempt identify the run.
	Task    TaskName
	Attempt int
	// Kind is the way in which the run ended.
	Kind EndKind
	// Checkpoint is the last saved progress, or empty.
	Checkpoint string
}

// Report is a worker's answer to a poll.
type Report struct {
	// StartedAtMS is the Unix millisecond at which the worker started, or zero
	// if the report omits it.
	StartedAtMS int64
	// Clock is the worker's own clock at the time of the answer.
	Clock time.Duration
	// Running are the runs that hold capacity.
	Running []Run
	// Ended are the unacknowledged ends, at most EndsPerReport.
	Ended []End
	// HasMoreEnds is true if there may be further unacknowledged ends.
	HasMoreEnds bool
}

// EndsPerReport is the maximum number of ends in a report.
const EndsPerReport = 500
