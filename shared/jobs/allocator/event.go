package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Event is an input to the Allocator.
type Event interface {
	event()
}

// ConfigurationLoaded carries the operators' configuration.
type ConfigurationLoaded struct {
	// Configuration is the latest configuration.
	Configuration modeller.Configuration
}

// WorkerListed reports a new or changed worker in the directory.
type WorkerListed struct {
	// Worker is the directory entry of the worker.
	Worker modeller.Worker
}

// WorkerUnlisted reports that a worker is no longer in the directory.
type WorkerUnlisted struct {
	// Worker is the ID of the worker.
	Worker modeller.WorkerID
}

// RosterLoaded carries the stored roster: the workers to which an earlier
// holder may have given orders.
type RosterLoaded struct {
	// Workers are the workers of the roster.
	Workers []modeller.RosterEntry
	// IsIncomplete is true if a part of the roster can't be decoded. Then any worker
	// may have got orders.
	IsIncomplete bool
}

// JobRecorded carries the record of a job.
type JobRecorded struct {
	// Record is the job's record.
	Record modeller.JobRecord
}

// JobsSynced reports that all jobs and cancellations that were recorded by a
// time have been applied.
type JobsSynced struct {
	// At is the time.
	At time.Time
}

// JobRemoved reports that a job's record has been removed.
type JobRemoved struct {
	// Job is the ID of the job.
	Job modeller.JobID
}

// ProgressLoaded carries a job's progress under earlier holders. It precedes
// the job's record.
type ProgressLoaded struct {
	// Progress is the stored progress.
	Progress modeller.Progress
	// IsInvalid is true if the record can't be decoded, so that only the job's ID is
	// known.
	IsInvalid bool
}

// CancelRecorded reports that a caller has cancelled a job.
type CancelRecorded struct {
	// Job is the ID of the job.
	Job modeller.JobID
}

// RecordsLoaded reports that all records from before the duty was won have been
// applied.
type RecordsLoaded struct{}

// ReportReceived carries a worker's answer to a poll.
type ReportReceived struct {
	// Worker is the polled worker.
	Worker modeller.WorkerID
	// SentAt and ReceivedAt are when the poll was sent and when its answer
	// arrived.
	SentAt, ReceivedAt time.Time
	// Report is the worker's report.
	Report modeller.Report
}

// PollFailed reports that a poll got no report.
type PollFailed struct {
	// Worker is the polled worker.
	Worker modeller.WorkerID
	// SentAt is when the poll was sent.
	SentAt time.Time
	// Outcome is the reason.
	Outcome Outcome
}

// StartResult carries the result of a start order.
type StartResult struct {
	// Worker, Task and Attempt identify the run.
	Worker  modeller.WorkerID
	Task    modeller.TaskName
	Attempt int
	// Outcome is the result of the order.
	Outcome Outcome
	// Clock is the worker's own clock when it accepted the order, or zero if it
	// is not known.
	Clock time.Duration
}

// StopResult carries the result of a stop order.
type StopResult struct {
	// Worker, Task and Attempt identify the run.
	Worker  modeller.WorkerID
	Task    modeller.TaskName
	Attempt int
	// Outcome is the result of the order.
	Outcome Outcome
}

// PaceResult carries the result of a pace order.
type PaceResult struct {
	// Worker, Task and Attempt identify the run.
	Worker  modeller.WorkerID
	Task    modeller.TaskName
	Attempt int
	// Percent is the ordered pace.
	Percent int
	// Outcome is the result of the order.
	Outcome Outcome
}

// AdviceResult carries the tickets of an advice request; after a failed request
// there are none.
type AdviceResult struct {
	// Task is any task of the step.
	Task modeller.TaskName
	// Tickets are the tickets by worker.
	Tickets map[modeller.WorkerID]string
	// Failed is true if the request got no answer.
	Failed bool
}

// BatchStored reports that a batch has been stored.
type BatchStored struct {
	// Batch is the stored batch.
	Batch *Batch
}

// VMsListed carries the list of all VMs.
type VMsListed struct {
	// VMs are the listed VMs, or nil if the request failed.
	VMs []modeller.VM
	// RequestedAt is when the list was requested.
	RequestedAt time.Time
}

// WaveRecorded carries a maintenance wave.
type WaveRecorded struct {
	// Wave is the wave as the operators have defined it.
	Wave modeller.Wave
}

// WaveProgressLoaded carries the stored progress of a wave under earlier
// holders. It precedes the wave.
type WaveProgressLoaded struct {
	// Number is the number of the wave.
	Number int64
	// Maintained are the VMs that have been maintained, and Ordered those whose
	// maintenance an earlier holder may have ordered.
	Maintained, Ordered []string
	// Elapsed is how long the wave has run.
	Elapsed time.Duration
}

// VMOrderResult carries the result of a move or maintenance order.
type VMOrderResult struct {
	// Order is the order as it was sent.
	Order VMOrder
	// Outcome is the result of the order.
	Outcome Outcome
}

func (ConfigurationLoaded) event() {}
func (WorkerListed) event()        {}
func (WorkerUnlisted) event()      {}
func (RosterLoaded) event()        {}
func (JobRecorded) event()         {}
func (JobsSynced) event()          {}
func (JobRemoved) event()          {}
func (ProgressLoaded) event()      {}
func (CancelRecorded) event()      {}
func (RecordsLoaded) event()       {}
func (ReportReceived) event()      {}
func (PollFailed) event()          {}
func (StartResult) event()         {}
func (StopResult) event()          {}
func (PaceResult) event()          {}
func (AdviceResult) event()        {}
func (BatchStored) event()         {}
func (VMsListed) event()           {}
func (WaveRecorded) event()        {}
func (WaveProgressLoaded) event()  {}
func (VMOrderResult) event()       {}

// Outcome is the result of an order.
type Outcome int

// The outcomes of orders.
const (
	// Accepted means that the order has been carried out, now or before.
	Accepted Outcome = iota
	// Unanswered means that no answer arrived: the order may still take effect,
	// even later.
	Unanswered
	// NotSent means that the order was not sent.
	NotSent
	// Fenced means that the receiver has orders from a later holder.
	Fenced
	// Outdated means that the attempt, or a higher one, has already ended on
	// the worker.
	Outdated
	// Late means that the lease of the order had expired.
	Late
	// Full means that the worker has too little free capacity.
	Full
	// BadTicket means that the worker rejected the ticket.
	BadTicket
	// Replaced means that another worker answers at the address.
	Replaced
	// Unhealthy means that the worker is unhealthy and refused the order
	// without any effect.
	Unhealthy
	// Malformed means that the order was rejected as invalid.
	Malformed
	// Busy means that the state of the VM does not permit the order.
	Busy
	// KeeperLost means that the manager that was to send the poll was lost, which
	// says nothing about the worker.
	KeeperLost
	// Restarted means that another incarnation of the worker answers at the address,
	// and that the order was not sent to it.
	Restarted
)

// Apply applies an event to the state.
func (al *Allocator) Apply(now time.Time, ev Event) {
	al.noteEvent(ev)
	switch ev := ev.(type) {
	case ConfigurationLoaded:
		al.setConfiguration(now, ev.Configuration)
	case WorkerListed:
		al.updateWorker(now, ev.Worker)
	case WorkerUnlisted:
		al.markUnlisted(ev.Worker)
	case RosterLoaded:
		al.loadRoster(now, ev)
	case JobRecorded:
		al.addJob(now, ev.Record)
	case JobsSynced:
		al.jobsSyncedAt = ev.At
	case JobRemoved:
		delete(al.retained, ev.Job)
	case ProgressLoaded:
		al.loadProgress(ev)
	case CancelRecorded:
		al.cancelJob(now, ev.Job)
	case RecordsLoaded:
		al.isLoaded = true
	case ReportReceived:
		al.handleReport(now, ev)
	case PollFailed:
		al.handlePollFailed(now, ev)
	case StartResult:
		al.handleStartResult(now, ev)
	case StopResult:
		al.handleStopResult(now, ev)
	case PaceResult:
		al.handlePaceResult(ev)
	case AdviceResult:
		al.handleAdviceResult(now, ev)
	case BatchStored:
		al.handleBatchStored(now, ev.Batch)
	case VMsListed:
		al.updateVMs(ev)
	case WaveRecorded:
		al.addWave(now, ev.Wave)
	case WaveProgressLoaded:
		al.loadWaveProgress(ev)
	case VMOrderResult:
		al.handleVMOrderResult(now, ev)
	}
}
