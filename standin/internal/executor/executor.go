// Package executor provides a model of a worker that runs tasks on orders. It
// checks fencing tokens and attempts, keeps a lease on the worker's own clock and
// reports ends until they are acknowledged. It reads no clock and is not safe for
// concurrent use: each call passes the time.
package executor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Refusal is the reason for refusing an order.
type Refusal string

// The refusals. Their values are those of the workers' protocol.
const (
	RefusedFence    Refusal = "fence"
	RefusedStale    Refusal = "old"
	RefusedExpired  Refusal = "late"
	RefusedCapacity Refusal = "room"
	RefusedTicket   Refusal = "ticket"
)

// Profile is the actual behaviour of a task, which the scheduler doesn't know.
type Profile struct {
	// Demand is the resources that the task uses.
	Demand modeller.Resources
	// Duration is the run time of the task.
	Duration time.Duration
	// IsLongRunning is true if the task runs until it is stopped; Duration is
	// then its start-up time.
	IsLongRunning bool
	// IsCheckpointing is true if the task saves checkpoints.
	IsCheckpointing bool
	// IsGang is true if the task is a member of a gang, which waits for the others
	// until Assemble is called.
	IsGang bool
	// IsFailing is true if all runs of the task fail.
	IsFailing bool
}

// Settings are an executor's settings.
type Settings struct {
	// Worker is the executor's entry in the directory.
	Worker modeller.Worker
	// StopTime is the time that a stop takes, and MaxLease the longest lease.
	StopTime, MaxLease time.Duration
	// Drift is the fraction by which the executor's clock runs slow.
	Drift float64
	// ClockOffset is the reading of the executor's clock at its start, and
	// WallClockOffset the error of its time of day.
	ClockOffset, WallClockOffset time.Duration
	// GangWait is how long a member of a gang waits for the others.
	GangWait time.Duration
	// CheckpointInterval is the work between two checkpoints of a run; zero means
	// that none are saved. RestoreTime is the time to resume from one.
	CheckpointInterval, RestoreTime time.Duration
	// IsCapacityEnforced is true if the executor refuses tasks that exceed its
	// capacity.
	IsCapacityEnforced bool
	// Profile returns the profile of a task.
	Profile func(name modeller.TaskName) Profile
	// OnEnd, if set, is called with each end.
	OnEnd func(end modeller.End)
}

// Executor is one incarnation of a worker.
type Executor struct {
	settings  Settings
	createdAt time.Time
	fence     uint64
	leaseEnd  time.Duration
	runs      map[modeller.TaskName]*run
	// highestAttempt holds by task the highest attempt that ended or was stopped.
	highestAttempt map[modeller.TaskName]int
	unacknowledged []modeller.End
	lastEndNumber  int64
	// leaseExpiredAt is the last time at which the lease was seen expired.
	leaseExpiredAt time.Time
	// IsFailing and IsHanging make each run started from now on fail or hang.
	IsFailing, IsHanging bool
	// Slowness is the factor by which runs started from now on take longer.
	Slowness float64
}

// run is a run in progress, which uses capacity.
type run struct {
	attempt    int
	profile    Profile
	checkpoint string
	startedAt  time.Time
	// beganAt is when the work began. It is startedAt but for a member of a gang,
	// which waits first.
	beganAt   time.Time
	isWaiting bool
	// resumed is the checkpoint that the run resumed from; restoreTime is the time
	// that this took.
	resumed     checkpoint
	restoreTime time.Duration
	slowness    float64
	isHanging   bool
	isFailing   bool
	// stopAt is when a stop takes effect; zero if no stop was ordered.
	stopAt time.Time
	pace   int
}

// New returns an executor that starts at a time.
func New(now time.Time, settings Settings) *Executor {
	return &Executor{
		settings:       settings,
		createdAt:      now,
		runs:           map[modeller.TaskName]*run{},
		highestAttempt: map[modeller.TaskName]int{},
		Slowness:       1,
	}
}

// Worker returns the executor's entry in the directory.
func (ex *Executor) Worker() modeller.Worker { return ex.settings.Worker }

// Clock returns the reading of the executor's own clock.
func (ex *Executor) Clock(now time.Time) time.Duration {
	return ex.settings.ClockOffset + time.Duration(float64(now.Sub(ex.createdAt))*(1-ex.settings.Drift))
}

// createdAtMS returns the executor's creation time in Unix milliseconds, by its own
// time of day.
func (ex *Executor) createdAtMS() int64 {
	return ex.createdAt.Add(ex.settings.WallClockOffset).UnixMilli()
}

// Used returns the resources in use by the current runs.
func (ex *Executor) Used() modeller.Resources {
	var used modeller.Resources
	for _, rn := range ex.runs {
		used = used.Plus(rn.profile.Demand)
	}
	return used
}

// Runs returns the attempts of the current runs by task.
func (ex *Executor) Runs() map[modeller.TaskName]int {
	runs := make(map[modeller.TaskName]int, len(ex.runs))
	for name, rn := range ex.runs {
		runs[name] = rn.attempt
	}
	return runs
}

// IsReady reports whether a task runs and has finished its start-up.
func (ex *Executor) IsReady(now time.Time, name modeller.TaskName) bool {
	rn := ex.runs[name]
	return rn != nil && rn.stopAt.IsZero() && !rn.isHanging && ex.progress(now, rn) >= 100
}

// StartOrder is an order to start a task.
type StartOrder struct {
	// Fence is the fencing token of the order.
	Fence uint64
	// Task and Attempt identify the run.
	Task    modeller.TaskName
	Attempt int
	// Checkpoint is the progress to resume from, or empty.
	Checkpoint string
	// LeaseEnd is the end of the executor's lease on its own clock.
	LeaseEnd time.Duration
	// IsTicketInvalid is true if the task needs a ticket and has no valid one.
	IsTicketInvalid bool
}

// Start carries out an order to start a task. It is idempotent for an attempt
// that already runs.
func (ex *Executor) Start(now time.Time, od StartOrder) (Refusal, bool) {
	ex.Advance(now)
	if !ex.acceptFence(od.Fence) {
		return RefusedFence, false
	}
	ex.extendLease(now, od.LeaseEnd)
	if rn := ex.runs[od.Task]; rn != nil {
		if rn.attempt == od.Attempt {
			return "", true
		}
		return RefusedStale, false
	}
	if od.Attempt <= ex.highestAttempt[od.Task] {
		return RefusedStale, false
	}
	if ex.leaseEnd <= ex.Clock(now) {
		return RefusedExpired, false
	}
	if od.IsTicketInvalid {
		return RefusedTicket, false
	}
	profile := ex.settings.Profile(od.Task)
	if ex.settings.IsCapacityEnforced && !ex.Used().Plus(profile.Demand).FitsIn(ex.settings.Worker.Capacity) {
		return RefusedCapacity, false
	}
	ex.runs[od.Task] = ex.newRun(now, od, profile)
	return "", true
}

func (ex *Executor) newRun(now time.Time, od StartOrder, profile Profile) *run {
	rn := &run{
		attempt:    od.Attempt,
		profile:    profile,
		checkpoint: od.Checkpoint,
		startedAt:  now,
		beganAt:    now,
		isWaiting:  profile.IsGang,
		slowness:   ex.Slowness,
		isHanging:  ex.IsHanging,
		isFailing:  ex.IsFailing || profile.IsFailing,
		pace:       100,
	}
	if profile.IsCheckpointing {
		rn.resumed = parseCheckpoint(od.Checkpoint, checkpointOwner(od.Task, profile.IsGang))
	}
	if rn.resumed.work > 0 {
		rn.restoreTime = ex.settings.RestoreTime
	}
	return rn
}

// Stop carries out an order to stop a run.
func (ex *Executor) Stop(now time.Time, fence uint64, name modeller.TaskName, attempt int) (Refusal, bool) {
	ex.Advance(now)
	if !ex.acceptFence(fence) {
		return RefusedFence, false
	}
	ex.highestAttempt[name] = max(ex.highestAttempt[name], attempt)
	if rn := ex.runs[name]; rn != nil && rn.attempt == attempt && rn.stopAt.IsZero() {
		rn.stopAt = now.Add(ex.settings.StopTime)
	}
	return "", true
}

// Pace carries out an order to set the pace of a run, in percent.
func (ex *Executor) Pace(now time.Time, fence uint64, name modeller.TaskName, attempt, percent int) (Refusal, bool) {
	ex.Advance(now)
	if !ex.acceptFence(fence) {
		return RefusedFence, false
	}
	if rn := ex.runs[name]; rn != nil && rn.attempt == attempt {
		rn.pace = percent
	}
	return "", true
}

// Poll acknowledges ends, extends the lease and returns the executor's report.
func (ex *Executor) Poll(now time.Time, fence uint64, leaseEnd time.Duration, acknowledged int64) (modeller.Report, Refusal, bool) {
	ex.Advance(now)
	if !ex.acceptFence(fence) {
		return modeller.Report{}, RefusedFence, false
	}
	ex.extendLease(now, leaseEnd)
	ex.unacknowledged = slices.DeleteFunc(ex.unacknowledged, func(end modeller.End) bool { return end.Number <= acknowledged })
	return ex.Report(now), "", true
}

// Report returns the executor's current report.
func (ex *Executor) Report(now time.Time) modeller.Report {
	report := modeller.Report{
		StartedAtMS: ex.createdAtMS(),
		Clock:       ex.Clock(now),
		Ended:       slices.Clone(ex.unacknowledged[:min(len(ex.unacknowledged), modeller.EndsPerReport)]),
		HasMoreEnds: len(ex.unacknowledged) >= modeller.EndsPerReport,
	}
	for _, name := range slices.SortedFunc(maps.Keys(ex.runs), modeller.TaskName.Compare) {
		rn := ex.runs[name]
		report.Running = append(report.Running, modeller.Run{
			Task:       name,
			Attempt:    rn.attempt,
			Checkpoint: ex.save(now, rn),
			Progress:   ex.progress(now, rn),
		})
	}
	return report
}

// HasEnds reports whether there are ends with numbers above the given number.
func (ex *Executor) HasEnds(beyond int64) bool { return ex.lastEndNumber > beyond }

func (ex *Executor) acceptFence(fence uint64) bool {
	if fence < ex.fence {
		return false
	}
	ex.fence = fence
	return true
}

func (ex *Executor) extendLease(now time.Time, leaseEnd time.Duration) {
	ex.leaseEnd = max(ex.leaseEnd, min(leaseEnd, ex.Clock(now)+ex.settings.MaxLease))
}

func (ex *Executor) progress(now time.Time, rn *run) int {
	if rn.isHanging {
		return 0
	}
	total := float64(rn.profile.Duration) * rn.slowness
	done := float64(rn.resumed.work) * rn.slowness
	if !rn.isWaiting {
		done += float64(max(now.Sub(rn.beganAt)-rn.restoreTime, 0))
	}
	return int(min(100, 100*done/max(total, 1)))
}

// worked returns the work that a run has done by a time, with what it resumed from.
func (rn *run) worked(now time.Time) time.Duration {
	if rn.isHanging || rn.isWaiting {
		return rn.resumed.work
	}
	work := time.Duration(float64(max(now.Sub(rn.beganAt)-rn.restoreTime, 0)) / rn.slowness)
	return min(rn.resumed.work+work, rn.profile.Duration)
}

// save saves a run's progress if a checkpoint is due, and returns the last one.
func (ex *Executor) save(now time.Time, rn *run) string {
	interval := ex.settings.CheckpointInterval
	if !rn.profile.IsCheckpointing || interval == 0 {
		return rn.checkpoint
	}
	if periods := (rn.worked(now) - rn.resumed.work) / interval; periods > 0 {
		rn.saveWork(rn.resumed.work + periods*interval)
	}
	return rn.checkpoint
}

func (rn *run) saveWork(work time.Duration) {
	rn.checkpoint = checkpoint{
		work:  work,
		owner: rn.resumed.owner,
	}.String()
}

// LeaseExpiredSince reports whether the lease has expired since a time.
func (ex *Executor) LeaseExpiredSince(at time.Time) bool { return ex.leaseExpiredAt.After(at) }

// Advance moves the executor to a time: it ends runs that are finished, stopped
// or no longer covered by the lease.
func (ex *Executor) Advance(now time.Time) {
	if ex.leaseEnd > 0 && ex.leaseEnd <= ex.Clock(now) {
		ex.leaseExpiredAt = now
	}
	if !ex.hasRunDue(now) {
		return
	}
	for _, name := range slices.SortedFunc(maps.Keys(ex.runs), func(a, b modeller.TaskName) int {
		return cmp.Or(ex.endTime(ex.runs[a]).Compare(ex.endTime(ex.runs[b])), a.Compare(b))
	}) {
		rn := ex.runs[name]
		switch {
		case rn == nil:
			// It has ended with another member of its gang.
		case ex.leaseEnd > 0 && ex.leaseEnd <= ex.Clock(now):
			ex.end(now, name, rn, modeller.EndLeaseExpired)
		case !rn.stopAt.IsZero() && !now.Before(rn.stopAt):
			ex.end(rn.stopAt, name, rn, modeller.EndStopped)
		case rn.isWaiting && !now.Before(ex.endTime(rn)):
			ex.end(now, name, rn, modeller.EndGangIncomplete)
		case rn.isWaiting || rn.isHanging || rn.profile.IsLongRunning && !rn.isFailing || now.Before(ex.endTime(rn)):
		case rn.isFailing:
			ex.end(now, name, rn, modeller.EndFailed)
		default:
			ex.end(now, name, rn, modeller.EndDone)
		}
	}
}

// hasRunDue reports whether a run may end by a time.
func (ex *Executor) hasRunDue(now time.Time) bool {
	if len(ex.runs) > 0 && ex.leaseEnd > 0 && ex.leaseEnd <= ex.Clock(now) {
		return true
	}
	for _, rn := range ex.runs {
		if !rn.stopAt.IsZero() && !now.Before(rn.stopAt) || !now.Before(ex.endTime(rn)) {
			return true
		}
	}
	return false
}

// endTime returns when a run ends without a stop.
func (ex *Executor) endTime(rn *run) time.Time {
	if rn.isWaiting {
		return rn.startedAt.Add(ex.settings.GangWait)
	}
	return rn.beganAt.Add(rn.restoreTime + time.Duration(float64(rn.profile.Duration-rn.resumed.work)*rn.slowness))
}

// end ends a run at a time.
func (ex *Executor) end(now time.Time, name modeller.TaskName, rn *run, kind modeller.EndKind) {
	ex.save(now, rn)
	if kind == modeller.EndStopped && rn.profile.IsCheckpointing && ex.settings.CheckpointInterval > 0 {
		rn.saveWork(rn.worked(now))
	}
	delete(ex.runs, name)
	ex.highestAttempt[name] = max(ex.highestAttempt[name], rn.attempt)
	ex.lastEndNumber++
	end := modeller.End{
		Number:     ex.lastEndNumber,
		Task:       name,
		Attempt:    rn.attempt,
		Kind:       kind,
		Checkpoint: rn.checkpoint,
	}
	ex.unacknowledged = append(ex.unacknowledged, end)
	if ex.settings.OnEnd != nil {
		ex.settings.OnEnd(end)
	}
}
