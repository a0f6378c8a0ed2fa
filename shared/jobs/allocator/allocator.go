// Package allocator decides which worker runs which task. It is pure: the time
// comes in with each call, events tell it what has happened, and its orders are
// carried out by others. So the same code runs in the scheduler, in virtual
// time and in the emulator.
//
// What keeps a task from running twice: a task has at most one run, and the run
// is given up only when its worker has listed its end, when the worker's life is
// known to be over, or when the longest lease that any holder may have granted
// has passed. A start without an answer keeps its run until a poll shows it, or
// until a stop of that attempt is acknowledged, after which the worker refuses it.
//
// What keeps a worker within its capacity: it gets no start before it has
// reported its runs under the present fence, and each run counts from the
// decision to start it until its end is listed.
package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Bounds are the times that decisions depend on.
type Bounds struct {
	// RunLease is how long runs outlive the holder's last word.
	RunLease time.Duration
	// MaxOverrun is how long a holder may act after its duty's lease has ended.
	MaxOverrun time.Duration
	// PollWait is how long a worker waits for an end before it reports.
	PollWait time.Duration
	// StopGrace is the longest time that a stop takes.
	StopGrace time.Duration
	// StatusRetention is how long an ended job is remembered.
	StatusRetention time.Duration
	// DutyLease is how long the duty stays taken after it was confirmed.
	DutyLease time.Duration
	// MaintenanceTime is how long maintenance takes a VM away.
	MaintenanceTime time.Duration
}

// Times and limits of decisions.
const (
	// reportFreshness is how old a worker's report may be for a new start. A
	// report comes at least after each poll's wait.
	reportFreshness = 1800 * time.Millisecond
	// clockDrift is how much slower a worker's clock may run.
	clockDrift = 0.02
	// leaseMargin covers the time between an order's check and its sending.
	leaseMargin = 300 * time.Millisecond
	// orderRepeat is after what time an unanswered stop is sent again.
	orderRepeat = 700 * time.Millisecond
	// pollPause is the least time between two polls of a worker, so that one
	// poll carries several ends.
	pollPause = 30 * time.Millisecond
	// pollRetry is the pause after a poll that got no answer. It doubles with
	// each further one, up to maxPollRetry.
	pollRetry        = 150 * time.Millisecond
	maxPollRetry     = 600 * time.Millisecond
	maxPollDoublings = 4
	// stopMargin is added to the time that a stop takes, for the time that an
	// earlier holder's last orders may be on their way.
	stopMargin = 500 * time.Millisecond
	// retryPause is the pause before a task that was refused is placed again.
	retryPause = 100 * time.Millisecond
	// stallTimeout is after what time without progress a task is started elsewhere.
	stallTimeout = 2500 * time.Millisecond
	// avoidTime is how long a task stays away from a worker that failed it.
	avoidTime = 10 * time.Second
	// lastingAvoidTime is for how long a long-running task does so if no other
	// worker has room. Such tasks may fail at any time, and have to be back at
	// work 6 s after they ended.
	lastingAvoidTime = 2 * time.Second
	// quarantineTime is how long a worker that fails what it runs gets no work.
	quarantineTime = 5 * time.Second
	// quarantineFailures is how many failures in a row of different jobs put a
	// worker under quarantine.
	quarantineFailures = 2
	// expiryMargin is added to the retention of ended jobs.
	expiryMargin = 10 * time.Second
)

// Allocator is the state of all jobs and workers as their scheduler knows it.
type Allocator struct {
	bounds        Bounds
	configuration modeller.Configuration
	workers       map[modeller.WorkerID]*worker
	// ordered are the workers by ID, or nil after a change: decisions must not
	// depend on the order of a map.
	ordered []*worker
	jobs    map[modeller.JobID]*job
	ended   map[modeller.JobID]endedJob
	// timed counts the jobs with occurrences that were ever told of.
	timed int
	fleet *fleet
	// startedAt is when the duty was won, and isLoaded is true once all records
	// from before have been told of.
	startedAt time.Time
	isLoaded  bool
	// confirmedAt is when the duty was last known to be held.
	confirmedAt time.Time
	// dirty are the jobs whose progress has to be stored.
	dirty          map[modeller.JobID]*job
	isRosterDirty  bool
	isStoring      bool
	adviceInFlight bool
	// choresAt is when what depends on time alone was last decided.
	choresAt time.Time
	orders   []Order
	findings []LogEntry
}

// endedJob is a job that has ended and is still asked for.
type endedJob struct {
	queue   string
	state   modeller.JobState
	endedAt time.Time
}

// New returns an Allocator for a holder that has won its duty at a time.
func New(now time.Time, bounds Bounds) *Allocator {
	return &Allocator{
		bounds:      bounds,
		workers:     map[modeller.WorkerID]*worker{},
		jobs:        map[modeller.JobID]*job{},
		ended:       map[modeller.JobID]endedJob{},
		fleet:       newFleet(),
		startedAt:   now,
		confirmedAt: now,
		dirty:       map[modeller.JobID]*job{},
	}
}

// ConfirmDuty tells that the duty was still held at a time.
func (al *Allocator) ConfirmDuty(at time.Time) {
	if at.After(al.confirmedAt) {
		al.confirmedAt = at
	}
}

// LogEntry is a decision or a changed belief that is worth a line in the log.
type LogEntry struct {
	// Message says what was decided.
	Message string
	// Job, Task, VM and Worker are what it is about, where there are any.
	Job    modeller.JobID
	Task   string
	VM     string
	Worker modeller.WorkerID
	// Attempt is the run's attempt, or zero.
	Attempt int
	// Reason says why.
	Reason string
}

// IsLoaded reports whether all records from before the duty was won are known.
func (al *Allocator) IsLoaded() bool { return al.isLoaded }

func (al *Allocator) note(fi LogEntry) { al.findings = append(al.findings, fi) }

// LogEntries returns the findings since the last call.
func (al *Allocator) LogEntries() []LogEntry {
	findings := al.findings
	al.findings = nil
	return findings
}

// uncertainUntil is until when runs of earlier holders may go on at workers
// that have not reported.
func (al *Allocator) uncertainUntil() time.Time {
	return al.startedAt.Add(al.bounds.MaxOverrun + stretched(al.bounds.RunLease) + leaseMargin)
}

// stretched returns how long a time on a worker's clock may last.
func stretched(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / (1 - clockDrift))
}
