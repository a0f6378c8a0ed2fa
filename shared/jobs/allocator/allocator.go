// Package allocator provides the placement logic of the job scheduler: it
// decides which worker runs which task. It performs no I/O and reads no clock:
// the scheduler passes in the time, applies events and carries out the returned
// orders. The same code therefore runs in the scheduler, in tests with virtual
// time and in the emulator.
//
// At most one execution: a task has at most one run. The run is dropped only
// when its worker has reported its end, when the worker's incarnation is known
// to be over, or when the longest lease that any holder may have granted has
// expired. A start without an answer keeps its run until a poll reports the
// run, or until the worker has acknowledged a stop of that attempt, after which
// it refuses the start.
//
// Worker capacity: a worker gets no start before it has reported its runs under
// the current fencing token, and each run counts against the capacity from the
// decision to start it until its end is reported.
package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/forecaster"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/jobs/sharer"
)

// Bounds are the durations that scheduling decisions depend on.
type Bounds struct {
	// RunLease is how long a worker keeps its runs after a holder has last
	// extended its lease.
	RunLease time.Duration
	// MaxRunLease is the longest lease that a worker accepts.
	MaxRunLease time.Duration
	// MaxOverrun is how long a holder may still act after its duty lease has
	// expired.
	MaxOverrun time.Duration
	// PollWait is how long a worker delays the answer to a poll while no run
	// ends.
	PollWait time.Duration
	// StopGrace is the longest time that a worker takes to stop a run.
	StopGrace time.Duration
	// StatusRetention is how long the state of an ended job stays available.
	StatusRetention time.Duration
	// DutyLease is how long the duty stays held after its last confirmation.
	DutyLease time.Duration
	// MaintenanceTime is how long a VM is down for maintenance.
	MaintenanceTime time.Duration
	// VMOrderRate is how many orders per second the VM interface accepts.
	VMOrderRate float64
}

// Durations and limits of scheduling decisions.
const (
	// maxReportAge is the greatest age of a worker's last report at which the
	// worker still gets starts. A report arrives at least once per PollWait.
	maxReportAge = 1800 * time.Millisecond
	// clockDrift is the largest fraction by which a worker's clock may run
	// slow.
	clockDrift = 0.02
	// clockRounding is the largest error of the reading of a worker's clock, which
	// is in whole milliseconds, with a reserve.
	clockRounding = 20 * time.Millisecond
	// leaseMargin covers the delay between the check of an order's lease and
	// the sending of the order.
	leaseMargin = 300 * time.Millisecond
	// maxCallDelay is how long a call without an answer may wait at a worker that is
	// about to start again, before it is carried out.
	maxCallDelay = 2 * time.Second
	// orderRetryInterval is the time after which an order that had no effect is
	// sent again.
	orderRetryInterval = 700 * time.Millisecond
	// minPollInterval is the minimum time between two polls of a worker, so
	// that one report carries several ends.
	minPollInterval = 30 * time.Millisecond
	// unstoredPollInterval is the initial interval between polls of a worker with
	// unstored ends, which each answer repeats. It doubles with each poll, up to
	// PollWait.
	unstoredPollInterval = 200 * time.Millisecond
	// maxAcknowledgementDelay is the time from the storage of ends after which no
	// further start delays their acknowledgement.
	maxAcknowledgementDelay = 100 * time.Millisecond
	// pollBackoff is the initial backoff after a poll without an answer. It
	// doubles with each further failure, up to maxPollBackoff.
	pollBackoff      = 150 * time.Millisecond
	maxPollBackoff   = 600 * time.Millisecond
	maxPollDoublings = 4
	// stopMargin is added to StopGrace, because an earlier holder's last orders
	// may still be in flight.
	stopMargin = 500 * time.Millisecond
	// refusalBackoff is how long a worker gets no starts after it has refused
	// one for lack of capacity or an expired lease.
	refusalBackoff = 100 * time.Millisecond
	// stallTimeout is the time without progress after which a task is restarted
	// on another worker for the first time.
	stallTimeout = 2500 * time.Millisecond
	// avoidanceTime is how long a task avoids a worker on which it has failed
	// or stalled.
	avoidanceTime = 10 * time.Second
	// shortAvoidanceTime replaces avoidanceTime for a long-running task if no other
	// worker has capacity, and for any task if no other worker can be expected to.
	// A long-running task must be available again within 6 s of its end, and no
	// task may wait for 3 s beside idle workers.
	shortAvoidanceTime = 2 * time.Second
	// quarantineTime is how long a worker gets no work after consecutive
	// failures.
	quarantineTime = 5 * time.Second
	// shortQuarantineTime replaces quarantineTime while all workers of a pool are
	// quarantined, which says more of the jobs than of the workers. No task may wait
	// for 3 s beside idle workers.
	shortQuarantineTime = 2 * time.Second
	// quarantineThreshold is the number of different jobs that have to fail on
	// a worker in a row for it to be quarantined.
	quarantineThreshold = 2
	// expiryMargin is added to StatusRetention before the record of an ended
	// job is removed.
	expiryMargin = 10 * time.Second
	// maxJobsAge is the age of the known cancellations at which starts cease.
	// The dispatcher sends a start at most 1 s after its decision, and no task
	// may start later than 3 s after its job's cancellation.
	maxJobsAge = 2 * time.Second
	// expiryInterval is the interval between searches for expired jobs, unless there
	// are more of them than a batch removes.
	expiryInterval = time.Second
)

// Allocator holds the scheduler's state of all jobs and workers and makes its
// decisions.
type Allocator struct {
	bounds Bounds
	// hasCostOrder is that of WithCostOrder.
	hasCostOrder  bool
	configuration modeller.Configuration
	workers       workerIndex
	// forgottenGenerations are the generations of workers that were removed. Those of a
	// worker that is back must not be lower.
	forgottenGenerations map[modeller.WorkerID]int
	// unacknowledged are the workers with unstored ends, and stopping the runs
	// whose stop was ordered. Both may contain ones that have ended since.
	unacknowledged map[*worker]struct{}
	stopping       map[*run]struct{}
	jobs           map[modeller.JobID]*job
	retained       map[modeller.JobID]retainedJob
	// waiting are the waiting lists by pool.
	waiting map[string]*waitingList
	// arrivals are the forecasts of the pools.
	arrivals map[string]*forecaster.Forecaster
	// arrivedAt is when the last job arrived.
	arrivedAt  time.Time
	suspension suspension
	// changes are those since tasks were last placed.
	changes changes
	usage   *teamUsage
	// shares measure the teams' shares of the pools, and weights are the weights of the
	// teams. Without teams there are none.
	shares  map[string]*sharer.Sharer
	weights map[string]float64
	// scheduledJobs counts all jobs with occurrences recorded so far.
	scheduledJobs int
	fleet         *fleet
	// startedAt is when the holder won the duty. isLoaded is true once all
	// records that existed by then have been applied.
	startedAt time.Time
	isLoaded  bool
	// wallClockOffset is the offset of the wall clock from the passed time.
	wallClockOffset time.Duration
	// confirmedAt is the latest time at which the duty was confirmed.
	confirmedAt time.Time
	// jobsSyncedAt is a time up to which all cancellations are known, or zero
	// if there is no watch on the jobs.
	jobsSyncedAt time.Time
	// dirtyJobs are the jobs whose progress has changed since it was last
	// stored.
	dirtyJobs map[modeller.JobID]*job
	// heldBytes is the estimated memory of jobs, and maxHeldBytes its limit, or zero.
	heldBytes, maxHeldBytes int64
	// dirtyQueue holds the dirty jobs that are in no batch, in the order in which
	// they are stored.
	dirtyQueue []*job
	// expiryCheckedAt is when expired jobs were last searched for.
	expiryCheckedAt time.Time
	isRosterDirty   bool
	// isRosterIncomplete is true if workers of earlier holders may be unknown.
	isRosterIncomplete bool
	advice             adviceState
	// laneUsedSince holds, for each lane with a batch in flight, when the batch
	// was submitted, and zero for the others.
	laneUsedSince [BatchLanes]time.Time
	// periodicAt is when the time-driven decisions were last made, and
	// stallsCheckedAt when stalled runs were last searched for.
	periodicAt, stallsCheckedAt time.Time
	// settledAt is when settled workers were last searched for.
	settledAt  time.Time
	effort     effort
	orders     []Order
	logEntries []LogEntry
	// reports and repeatedEnds are the counts of Load.
	reports, repeatedEnds int
}

// retainedJob is the final state of an ended job, which can still be queried.
type retainedJob struct {
	queue string
	// host and prefix are the address of the queue when the job was accepted.
	host, prefix string
	team         string

	state   modeller.JobState
	endedAt time.Time
	// isTombstone is true for a job that was cancelled before it was stored.
	isTombstone bool
}

// Option is an option of New.
type Option func(*Allocator)

// WithCostOrder orders the jobs that can still be on time by what their delay costs
// callers (package ranker) instead of by their size.
func WithCostOrder() Option {
	return func(al *Allocator) { al.hasCostOrder = true }
}

// New returns an Allocator for a holder that has won the duty at time now.
func New(now time.Time, bounds Bounds, opts ...Option) *Allocator {
	al := &Allocator{
		bounds:               bounds,
		workers:              newWorkerIndex(),
		forgottenGenerations: map[modeller.WorkerID]int{},
		unacknowledged:       map[*worker]struct{}{},
		stopping:             map[*run]struct{}{},
		jobs:                 map[modeller.JobID]*job{},
		retained:             map[modeller.JobID]retainedJob{},
		waiting:              map[string]*waitingList{},
		arrivals:             map[string]*forecaster.Forecaster{},
		usage:                newTeamUsage(),
		shares:               map[string]*sharer.Sharer{},
		fleet:                newFleet(),
		startedAt:            now,
		confirmedAt:          now,
		dirtyJobs:            map[modeller.JobID]*job{},
	}
	for _, opt := range opts {
		opt(al)
	}
	return al
}

// ConfirmDuty records that the duty was still held at the given time.
func (al *Allocator) ConfirmDuty(at time.Time) {
	if at.After(al.confirmedAt) {
		al.confirmedAt = at
	}
}

// isConfirmed reports whether the duty is certainly held now, so that there is
// no later holder.
func (al *Allocator) isConfirmed(now time.Time) bool {
	return now.Sub(al.confirmedAt) < al.bounds.DutyLease
}

// LogEntry is a decision or state change to be logged.
type LogEntry struct {
	// Message is the log message.
	Message string
	// Job, Task, VM and Worker identify the subject; those that don't apply are
	// empty.
	Job    modeller.JobID
	Task   string
	VM     string
	Worker modeller.WorkerID
	// Attempt is the attempt of the run, or zero.
	Attempt int
	// Reason is the cause or the result.
	Reason string
}

// IsLoaded reports whether all records from before the duty was won have been
// applied.
func (al *Allocator) IsLoaded() bool { return al.isLoaded }

func (al *Allocator) log(entry LogEntry) { al.logEntries = append(al.logEntries, entry) }

// LogEntries returns the log entries since the last call.
func (al *Allocator) LogEntries() []LogEntry {
	logEntries := al.logEntries
	al.logEntries = nil
	return logEntries
}

// oldRunsExpiry returns the time until which runs of earlier holders may
// continue on workers that have not reported: by the leases that a holder grants until it
// ends, or by the longest lease if the last orders of one that was killed have reached
// another incarnation of a worker.
func (al *Allocator) oldRunsExpiry() time.Time {
	lease := max(al.bounds.MaxOverrun+maxElapsed(al.bounds.RunLease), maxCallDelay+maxElapsed(al.bounds.MaxRunLease))
	return al.startedAt.Add(lease + leaseMargin)
}

// maxElapsed returns the longest real time in which a worker's clock advances
// by a duration.
func maxElapsed(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / (1 - clockDrift))
}
