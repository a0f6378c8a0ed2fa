package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Event is something that has happened.
type Event interface {
	event()
}

// ConfigurationLoaded tells of the operators' configuration.
type ConfigurationLoaded struct {
	// Configuration is the newest.
	Configuration modeller.Configuration
}

// WorkerListed tells of a worker in the directory, new or changed.
type WorkerListed struct {
	// Worker is the worker.
	Worker modeller.Worker
}

// WorkerUnlisted tells that a worker is no longer in the directory.
type WorkerUnlisted struct {
	// Worker is the worker.
	Worker modeller.WorkerID
}

// RosterLoaded tells of the workers that an earlier holder gave orders to.
type RosterLoaded struct {
	// Workers are the workers.
	Workers []modeller.Worker
}

// JobRecorded tells of a job's record.
type JobRecorded struct {
	// Record is the record.
	Record modeller.JobRecord
}

// JobRemoved tells that a job's record has been removed.
type JobRemoved struct {
	// Job is the job.
	Job modeller.JobID
}

// ProgressLoaded tells of a job's progress under earlier holders. It comes
// before the job's record.
type ProgressLoaded struct {
	// Progress is the progress.
	Progress modeller.Progress
}

// CancelRecorded tells that a job is to be cancelled.
type CancelRecorded struct {
	// Job is the job.
	Job modeller.JobID
}

// RecordsLoaded tells that all records from before the duty was won have been told of.
type RecordsLoaded struct{}

// ReportReceived tells of a worker's answer to a poll.
type ReportReceived struct {
	// Worker is the worker.
	Worker modeller.WorkerID
	// SentAt and ReceivedAt are when the poll left and its answer came.
	SentAt, ReceivedAt time.Time
	// Report is the answer.
	Report modeller.Report
}

// PollFailed tells that a poll got no report.
type PollFailed struct {
	// Worker is the worker.
	Worker modeller.WorkerID
	// SentAt is when the poll left.
	SentAt time.Time
	// Outcome says why.
	Outcome Outcome
}

// StartResult tells what became of a start.
type StartResult struct {
	// Worker is the worker, Task and Attempt name the run.
	Worker  modeller.WorkerID
	Task    modeller.TaskName
	Attempt int
	// Outcome is the outcome.
	Outcome Outcome
}

// StopResult tells what became of a stop.
type StopResult struct {
	// Worker is the worker, Task and Attempt name the run.
	Worker  modeller.WorkerID
	Task    modeller.TaskName
	Attempt int
	// Outcome is the outcome.
	Outcome Outcome
}

// PaceResult tells what became of a change of pace.
type PaceResult struct {
	// Worker is the worker, Task and Attempt name the run.
	Worker  modeller.WorkerID
	Task    modeller.TaskName
	Attempt int
	// Percent is the pace.
	Percent int
	// Outcome is the outcome.
	Outcome Outcome
}

// AdviceResult tells of the tickets for a step; without any after a failed call.
type AdviceResult struct {
	// Task is any task of the step.
	Task modeller.TaskName
	// Tickets are by worker.
	Tickets map[modeller.WorkerID]string
	// Failed is true if the call got no answer.
	Failed bool
}

// BatchStored tells that a batch of records has been stored.
type BatchStored struct {
	// Batch is the batch.
	Batch *Batch
}

// VMsListed tells of all VMs.
type VMsListed struct {
	// VMs are the VMs.
	VMs []modeller.VM
	// RequestedAt is when the list was asked for.
	RequestedAt time.Time
}

// WaveRecorded tells of a maintenance wave.
type WaveRecorded struct {
	// Wave is the wave.
	Wave modeller.Wave
}

// WaveProgressLoaded tells which VMs of a wave have been maintained under
// earlier holders. It comes before the wave.
type WaveProgressLoaded struct {
	// Number names the wave.
	Number int64
	// Maintained are the VMs.
	Maintained []string
	// Elapsed is how long the wave has lasted.
	Elapsed time.Duration
}

// VMOrderResult tells what became of a move or maintenance.
type VMOrderResult struct {
	// Order is the order.
	Order VMOrder
	// Outcome is the outcome.
	Outcome Outcome
}

func (ConfigurationLoaded) event() {}
func (WorkerListed) event()        {}
func (WorkerUnlisted) event()      {}
func (RosterLoaded) event()        {}
func (JobRecorded) event()         {}
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

// Outcome is what became of an order.
type Outcome int

// The outcomes of orders.
const (
	// Accepted means: the order is or was carried out.
	Accepted Outcome = iota
	// Unanswered means: the order may be carried out, also later.
	Unanswered
	// NotSent means: the order has not left.
	NotSent
	// Fenced means: a later holder has given orders.
	Fenced
	// Outdated means: the attempt has ended there, or a higher one has.
	Outdated
	// Late means: the order's lease had ended.
	Late
	// Full means: the worker has no room.
	Full
	// BadTicket means: the worker refused the ticket.
	BadTicket
	// Replaced means: another worker is at the address.
	Replaced
	// Unhealthy means: the worker refused and did nothing.
	Unhealthy
	// Malformed means: the order was refused as unreadable.
	Malformed
	// Busy means: the VM is in no state for the order.
	Busy
)

// Apply takes an event in.
func (al *Allocator) Apply(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case ConfigurationLoaded:
		al.configure(ev.Configuration)
	case WorkerListed:
		al.listWorker(now, ev.Worker)
	case WorkerUnlisted:
		al.unlistWorker(ev.Worker)
	case RosterLoaded:
		al.loadRoster(now, ev.Workers)
	case JobRecorded:
		al.recordJob(now, ev.Record)
	case JobRemoved:
		delete(al.ended, ev.Job)
	case ProgressLoaded:
		al.loadProgress(ev.Progress)
	case CancelRecorded:
		al.cancel(now, ev.Job)
	case RecordsLoaded:
		al.isLoaded = true
	case ReportReceived:
		al.report(now, ev)
	case PollFailed:
		al.pollFailed(now, ev)
	case StartResult:
		al.startEnded(now, ev)
	case StopResult:
		al.stopEnded(now, ev)
	case PaceResult:
		al.paceEnded(ev)
	case AdviceResult:
		al.advised(now, ev)
	case BatchStored:
		al.batchStored(now, ev.Batch)
	case VMsListed:
		al.listVMs(now, ev)
	case WaveRecorded:
		al.recordWave(now, ev.Wave)
	case WaveProgressLoaded:
		al.loadWave(ev)
	case VMOrderResult:
		al.vmOrderEnded(now, ev)
	}
}
