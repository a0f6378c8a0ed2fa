// Package emulator plays days of a fleet in virtual time: the allocator's
// decisions against model workers and a model store, with faults by a schedule,
// while the promises made to callers are checked. The same seed plays the same
// day.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// The sizes and times of a day.
const (
	// tick is the step of virtual time.
	tick = 5 * time.Millisecond
	// dayLength is how long jobs come, and finishTime how long is then left.
	dayLength  = 25 * time.Second
	finishTime = 25 * time.Second
	// hop is how long a message takes, storeTime how long the store does.
	hop       = 2 * time.Millisecond
	storeTime = 6 * time.Millisecond
	// orderTimeout is after what time an order counts as unanswered.
	orderTimeout = 500 * time.Millisecond
	// takeoverTime is from the end of one holder to the next one's start.
	takeoverTime = 1600 * time.Millisecond
	loadTime     = 60 * time.Millisecond
	// workersPerPool and pools are the fleet's size.
	workersPerPool = 6
	pools          = 2
	maxAttempts    = 3
	// watchInterval is how often long-running tasks are checked.
	watchInterval = 50 * time.Millisecond
	// awayNotice is from when a task that isn't at work counts as away.
	awayNotice = 4500 * time.Millisecond
	waveBound  = 2
	// maxSkew is how far a holder's time of day may be off.
	maxSkew = 2 * time.Second
)

// bounds are the bounds of the standard deployments.
var bounds = allocator.Bounds{
	RunLease:        5 * time.Second,
	MaxOverrun:      6 * time.Second,
	PollWait:        time.Second,
	DutyLease:       1500 * time.Millisecond,
	StopGrace:       900 * time.Millisecond,
	StatusRetention: 120 * time.Second,
	MaintenanceTime: 2 * time.Second,
}

// Day is a day that is played.
type Day struct {
	random *rand.Rand
	begin  time.Time
	now    time.Time
	faults []fault
	nodes  map[modeller.WorkerID]*node
	// ordered are the nodes by ID, or nil after a change.
	ordered []*node
	jobs    map[modeller.JobID]*submitted
	store   *store
	terms   []*term
	fence   uint64
	due     agenda
	nextID  int
	// nextTermAt is when the duty is won again; zero while it is held.
	nextTermAt time.Time
	// nextCut is what the next holder doesn't reach.
	nextCut   map[*node]time.Time
	wave      *modeller.Wave
	broken    []string
	done      map[modeller.TaskName][]*doneEnd
	starts    map[modeller.TaskName][]time.Time
	failures  map[modeller.TaskName]int
	lasting   map[modeller.TaskName]*lastingTask
	watchedAt time.Time
	counts    Counts
	// trace takes a line for each fault and each finding of a holder, if set.
	trace func(line string)
}

// Trace has a line written for each fault and each finding of a holder.
func (dy *Day) Trace(trace func(line string)) { dy.trace = trace }

func (dy *Day) tracef(format string, args ...any) {
	if dy.trace != nil {
		dy.trace(fmt.Sprintf("%8.3f ", dy.now.Sub(dy.begin).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// Counts say what happened on a day.
type Counts struct {
	// Jobs, Starts, Done and Terms count jobs accepted, runs started, tasks
	// done and holders of the duty.
	Jobs, Starts, Done, Terms int
}

// doneEnd is the end of a run that was done.
type doneEnd struct {
	at             time.Time
	node           modeller.WorkerID
	life           int
	number         int64
	isAcknowledged bool
}

// term is one holder of the duty.
type term struct {
	al    *allocator.Allocator
	fence uint64
	// endsAt is when it stops at the latest; zero while its lease holds.
	endsAt time.Time
	isOver bool
	// skew is how far its time of day is ahead of the true time.
	skew time.Duration
	// isDeaf is true if it no longer hears of what is in the store.
	isDeaf bool
	// cutFrom are the nodes that it doesn't reach, until a time.
	cutFrom map[*node]time.Time
	// plannedAt is when it planned last, and hasNews is true after an event.
	plannedAt time.Time
	hasNews   bool
}

// reaches reports whether messages pass between a holder and a node.
func (dy *Day) reaches(tm *term, nd *node) bool {
	return nd != nil && nd.isUp && !dy.now.Before(nd.cutUntil) && !dy.now.Before(tm.cutFrom[nd])
}

// New returns the day of a seed.
func New(seed uint64) *Day {
	random := rand.New(rand.NewPCG(seed, 1))
	begin := time.Unix(1_700_000_000, 0)
	dy := &Day{
		random:   random,
		begin:    begin,
		now:      begin,
		nodes:    map[modeller.WorkerID]*node{},
		jobs:     map[modeller.JobID]*submitted{},
		store:    newStore(),
		done:     map[modeller.TaskName][]*doneEnd{},
		starts:   map[modeller.TaskName][]time.Time{},
		failures: map[modeller.TaskName]int{},
		lasting:  map[modeller.TaskName]*lastingTask{},
	}
	dy.faults = schedule(random)
	for pool := range pools {
		for number := range workersPerPool {
			dy.addNode(fmt.Sprintf("p%d", pool), fmt.Sprintf("m%d-%d", pool, number))
		}
	}
	return dy
}

// Play plays the day and returns the promises that were broken.
func (dy *Day) Play() ([]string, Counts) {
	dy.win()
	end := dy.begin.Add(dayLength + finishTime)
	for dy.now.Before(end) && len(dy.broken) == 0 {
		dy.now = dy.now.Add(tick)
		dy.strike()
		if dy.now.Before(dy.begin.Add(dayLength)) {
			dy.submit()
		}
		dy.deliver()
		dy.advance()
		if dy.now.Sub(dy.watchedAt) >= watchInterval {
			dy.watchedAt = dy.now
			dy.watchLasting()
		}
		dy.hold()
	}
	if len(dy.broken) == 0 {
		dy.checkFinished()
	}
	return dy.broken, dy.counts
}

// breakPromise notes a broken promise.
func (dy *Day) breakPromise(name, format string, args ...any) {
	dy.broken = append(dy.broken, fmt.Sprintf("%.3f s %s: %s", dy.now.Sub(dy.begin).Seconds(), name, fmt.Sprintf(format, args...)))
}

// tellAll tells all holders of something that is in the store.
func (dy *Day) tellAll(ev allocator.Event) {
	for _, tm := range dy.terms {
		if tm.isDeaf {
			continue
		}
		if !dy.store.isDown {
			dy.tell(tm, hop, ev)
		} else {
			dy.store.held = append(dy.store.held, ev)
		}
	}
}

func (dy *Day) tell(tm *term, after time.Duration, ev allocator.Event) {
	dy.due.add(dy.now.Add(after), func() {
		if !tm.isOver {
			tm.hasNews = true
			tm.al.Apply(dy.now, ev)
		}
	})
}
