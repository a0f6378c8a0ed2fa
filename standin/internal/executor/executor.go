// Package executor is a model of a worker that runs tasks on orders: fences,
// attempts, leases on its own clock, ends that are listed until they are
// acknowledged. It has no clock and no locks: the time comes with each call.
package executor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Refusal says why an order was refused.
type Refusal string

// The refusals, as workers name them.
const (
	RefusedFence Refusal = "fence"
	RefusedOld   Refusal = "old"
	RefusedLate  Refusal = "late"
	RefusedRoom  Refusal = "room"
)

// Profile is what the model knows of a task that the scheduler doesn't.
type Profile struct {
	// Demand is what the task takes up.
	Demand modeller.Resources
	// Duration is how long it works.
	Duration time.Duration
	// IsLongRunning is true if it works until it is stopped; Duration is then
	// how long it takes to start up.
	IsLongRunning bool
	// IsCheckpointing is true if it saves its progress.
	IsCheckpointing bool
	// IsFailing is true if its runs end as failed.
	IsFailing bool
}

// Settings are an executor's settings.
type Settings struct {
	// Worker is the executor as the directory lists it.
	Worker modeller.Worker
	// StopTime is how long a stop takes, MaxLease the longest lease.
	StopTime, MaxLease time.Duration
	// Drift is by which share its clock is slow.
	Drift float64
	// IsGuarded is true if it refuses what doesn't fit.
	IsGuarded bool
	// Profile returns what is known of a task.
	Profile func(name modeller.TaskName) Profile
	// Ended is told of each end, if it is set.
	Ended func(end modeller.End)
}

// Executor is one life of an executor.
type Executor struct {
	settings Settings
	bornAt   time.Time
	fence    uint64
	leaseEnd time.Duration
	runs     map[modeller.TaskName]*run
	// highest are the highest attempts that ended or were stopped.
	highest map[modeller.TaskName]int
	ended   []modeller.End
	lastEnd int64
	// lapsedAt is when the lease last ran out.
	lapsedAt time.Time
	// IsFailing and IsHanging have all that is started fail or stand still.
	IsFailing, IsHanging bool
	// Slowness is how many times as long tasks take.
	Slowness float64
}

// run is a task that holds capacity.
type run struct {
	attempt    int
	profile    Profile
	checkpoint string
	startedAt  time.Time
	slowness   float64
	isHanging  bool
	isFailing  bool
	// stopAt is when a stop takes effect; zero without one.
	stopAt time.Time
	pace   int
}

// New returns an executor that starts at a time.
func New(now time.Time, settings Settings) *Executor {
	return &Executor{
		settings: settings,
		bornAt:   now,
		runs:     map[modeller.TaskName]*run{},
		highest:  map[modeller.TaskName]int{},
		Slowness: 1,
	}
}

// Worker returns the executor as the directory lists it.
func (ex *Executor) Worker() modeller.Worker { return ex.settings.Worker }

// Clock returns the executor's own clock.
func (ex *Executor) Clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(ex.bornAt)) * (1 - ex.settings.Drift))
}

// bornMS returns the Unix millisecond of its start.
func (ex *Executor) bornMS() int64 { return ex.bornAt.UnixMilli() }

// Used returns what the present runs take up.
func (ex *Executor) Used() modeller.Resources {
	var used modeller.Resources
	for _, rn := range ex.runs {
		used = used.Plus(rn.profile.Demand)
	}
	return used
}

// Runs returns the attempts of the present runs by task.
func (ex *Executor) Runs() map[modeller.TaskName]int {
	runs := make(map[modeller.TaskName]int, len(ex.runs))
	for name, rn := range ex.runs {
		runs[name] = rn.attempt
	}
	return runs
}

// IsAtWork reports whether a task runs and is past its start-up.
func (ex *Executor) IsAtWork(now time.Time, name modeller.TaskName) bool {
	rn := ex.runs[name]
	return rn != nil && rn.stopAt.IsZero() && !rn.isHanging && ex.progress(now, rn) >= 100
}

// Start takes an order to start a task.
func (ex *Executor) Start(now time.Time, fence uint64, name modeller.TaskName, attempt int, checkpoint string, leaseEnd time.Duration) (Refusal, bool) {
	ex.Advance(now)
	if !ex.admit(fence) {
		return RefusedFence, false
	}
	ex.extend(now, leaseEnd)
	if rn := ex.runs[name]; rn != nil {
		if rn.attempt == attempt {
			return "", true
		}
		return RefusedOld, false
	}
	if attempt <= ex.highest[name] {
		return RefusedOld, false
	}
	if ex.leaseEnd <= ex.Clock(now) {
		return RefusedLate, false
	}
	profile := ex.settings.Profile(name)
	if ex.settings.IsGuarded && !ex.Used().Plus(profile.Demand).FitsIn(ex.settings.Worker.Capacity) {
		return RefusedRoom, false
	}
	ex.runs[name] = &run{
		attempt:    attempt,
		profile:    profile,
		checkpoint: checkpoint,
		startedAt:  now,
		slowness:   ex.Slowness,
		isHanging:  ex.IsHanging,
		isFailing:  ex.IsFailing || profile.IsFailing,
		pace:       100,
	}
	return "", true
}

// Stop takes an order to stop a run.
func (ex *Executor) Stop(now time.Time, fence uint64, name modeller.TaskName, attempt int) (Refusal, bool) {
	ex.Advance(now)
	if !ex.admit(fence) {
		return RefusedFence, false
	}
	ex.highest[name] = max(ex.highest[name], attempt)
	if rn := ex.runs[name]; rn != nil && rn.attempt == attempt && rn.stopAt.IsZero() {
		rn.stopAt = now.Add(ex.settings.StopTime)
	}
	return "", true
}

// Pace takes an order to let a run work at a share, in percent.
func (ex *Executor) Pace(now time.Time, fence uint64, name modeller.TaskName, attempt, percent int) (Refusal, bool) {
	ex.Advance(now)
	if !ex.admit(fence) {
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
	if !ex.admit(fence) {
		return modeller.Report{}, RefusedFence, false
	}
	ex.extend(now, leaseEnd)
	ex.ended = slices.DeleteFunc(ex.ended, func(end modeller.End) bool { return end.Number <= acknowledged })
	return ex.Report(now), "", true
}

// Report returns the executor's report as it is.
func (ex *Executor) Report(now time.Time) modeller.Report {
	report := modeller.Report{
		StartedAtMS: ex.bornMS(),
		Clock:       ex.Clock(now),
		Ended:       slices.Clone(ex.ended[:min(len(ex.ended), modeller.EndsPerReport)]),
	}
	for _, name := range slices.SortedFunc(maps.Keys(ex.runs), modeller.TaskName.Compare) {
		rn := ex.runs[name]
		report.Running = append(report.Running, modeller.Run{
			Task:       name,
			Attempt:    rn.attempt,
			Checkpoint: rn.checkpoint,
			Progress:   ex.progress(now, rn),
		})
	}
	return report
}

// HasEnds reports whether ends wait to be acknowledged beyond a number.
func (ex *Executor) HasEnds(beyond int64) bool { return ex.lastEnd > beyond }

func (ex *Executor) admit(fence uint64) bool {
	if fence < ex.fence {
		return false
	}
	ex.fence = fence
	return true
}

func (ex *Executor) extend(now time.Time, leaseEnd time.Duration) {
	ex.leaseEnd = max(ex.leaseEnd, min(leaseEnd, ex.Clock(now)+ex.settings.MaxLease))
}

func (ex *Executor) progress(now time.Time, rn *run) int {
	if rn.isHanging {
		return 0
	}
	whole := float64(rn.profile.Duration) * rn.slowness
	return int(min(100, 100*float64(now.Sub(rn.startedAt))/max(whole, 1)))
}

// HasLapsedSince reports whether the lease has run out after a time.
func (ex *Executor) HasLapsedSince(at time.Time) bool { return ex.lapsedAt.After(at) }

// Advance lets time pass: runs end, stops take effect, leases lapse.
func (ex *Executor) Advance(now time.Time) {
	if ex.leaseEnd > 0 && ex.leaseEnd <= ex.Clock(now) {
		ex.lapsedAt = now
	}
	if !ex.isDue(now) {
		return
	}
	for _, name := range slices.SortedFunc(maps.Keys(ex.runs), func(a, b modeller.TaskName) int {
		return cmp.Or(ex.endOf(ex.runs[a]).Compare(ex.endOf(ex.runs[b])), a.Compare(b))
	}) {
		rn := ex.runs[name]
		switch {
		case ex.leaseEnd > 0 && ex.leaseEnd <= ex.Clock(now):
			ex.end(name, rn, modeller.EndLeaseExpired)
		case !rn.stopAt.IsZero() && !now.Before(rn.stopAt):
			ex.end(name, rn, modeller.EndStopped)
		case rn.isHanging || rn.profile.IsLongRunning && !rn.isFailing || now.Before(ex.endOf(rn)):
		case rn.isFailing:
			ex.end(name, rn, modeller.EndFailed)
		default:
			ex.end(name, rn, modeller.EndDone)
		}
	}
}

// isDue reports whether a run may end by a time.
func (ex *Executor) isDue(now time.Time) bool {
	if len(ex.runs) > 0 && ex.leaseEnd > 0 && ex.leaseEnd <= ex.Clock(now) {
		return true
	}
	for _, rn := range ex.runs {
		if !rn.stopAt.IsZero() && !now.Before(rn.stopAt) || !now.Before(ex.endOf(rn)) {
			return true
		}
	}
	return false
}

// endOf returns when a run ends by itself.
func (ex *Executor) endOf(rn *run) time.Time {
	return rn.startedAt.Add(time.Duration(float64(rn.profile.Duration) * rn.slowness))
}

func (ex *Executor) end(name modeller.TaskName, rn *run, kind modeller.EndKind) {
	delete(ex.runs, name)
	ex.highest[name] = max(ex.highest[name], rn.attempt)
	ex.lastEnd++
	end := modeller.End{
		Number:     ex.lastEnd,
		Task:       name,
		Attempt:    rn.attempt,
		Kind:       kind,
		Checkpoint: rn.checkpoint,
	}
	ex.ended = append(ex.ended, end)
	if ex.settings.Ended != nil {
		ex.settings.Ended(end)
	}
}
