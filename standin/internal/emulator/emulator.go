// Package emulator simulates a fleet in virtual time. It runs the allocator
// against model workers and a model store, injects scheduled faults and checks
// the guarantees given to callers. The same seed gives the same simulation.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
)

// The sizes and durations of a simulation.
const (
	// tick is the step of virtual time.
	tick = 5 * time.Millisecond
	// submissionTime is how long callers submit jobs, and settleTime how long
	// the fleet then has to finish them by default.
	submissionTime = 25 * time.Second
	settleTime     = 25 * time.Second
	// messageDelay is the time to deliver a message, and storeDelay the time to
	// commit a batch to the store.
	messageDelay = 2 * time.Millisecond
	storeDelay   = 6 * time.Millisecond
	// slowStoreDelay is the longest further time while the store is slow.
	slowStoreDelay = 600 * time.Millisecond
	// orderTimeout is the time after which an order counts as unanswered.
	orderTimeout = 500 * time.Millisecond
	// takeoverTime is the time from the loss of a duty holder to the election
	// of its successor.
	takeoverTime = 1600 * time.Millisecond
	loadTime     = 60 * time.Millisecond
	// workersPerPool, workerCores and pools define the size of the fleet.
	workersPerPool = 6
	workerCores    = 16
	pools          = 2
	maxAttempts    = 3
	// checkInterval is the interval between readiness checks of long-running tasks.
	checkInterval = 50 * time.Millisecond
	// unavailableAfter is the time without readiness after which a task counts
	// as unavailable.
	unavailableAfter = 4500 * time.Millisecond
	maxInMaintenance = 2
	// maxSkew bounds the error of a holder's wall clock.
	maxSkew = 2 * time.Second
)

// bounds are the bounds of the standard deployments.
var bounds = allocator.Bounds{
	RunLease:        5 * time.Second,
	MaxRunLease:     10 * time.Second,
	MaxOverrun:      6 * time.Second,
	PollWait:        time.Second,
	DutyLease:       1500 * time.Millisecond,
	StopGrace:       900 * time.Millisecond,
	StatusRetention: 120 * time.Second,
	MaintenanceTime: 2 * time.Second,
	VMOrderRate:     64,
}

// Simulation is one simulated run of a fleet.
type Simulation struct {
	seed   uint64
	random *rand.Rand
	begin  time.Time
	now    time.Time
	faults []fault
	nodes  map[modeller.WorkerID]*node
	// sortedNodes holds the nodes sorted by ID; nil after a change.
	sortedNodes []*node
	jobs        map[modeller.JobID]*submittedJob
	store       *store
	operators   *operators
	// vmRandom decides which VM orders are carried out late; nil if none is.
	vmRandom *rand.Rand
	// keepsConnections is true if connections lead on to the next incarnation of a
	// worker.
	keepsConnections bool
	// networkRandom draws the delay on the network of orders that are carried out late;
	// nil if they have none.
	networkRandom *rand.Rand
	// clockRandom draws the clocks of restarted workers; nil if they begin at zero.
	clockRandom *rand.Rand
	terms       []*term
	fence       uint64
	timers      timerQueue
	nextID      int
	// nextElectionAt is when the next holder is elected; zero if no election is due.
	nextElectionAt time.Time
	managers       []*manager
	// partitionedUntil is the time until which the two sides of a partition can't
	// reach each other, and side that of the next holder.
	partitionedUntil time.Time
	side             int
	wave             *modeller.Wave
	violations       []string
	completions      map[modeller.TaskName][]*completion
	starts           map[modeller.TaskName][]time.Time
	failures         map[modeller.TaskName]int
	longRunning      map[modeller.TaskName]*longRunningTask
	checkedAt        time.Time
	counts           Counts
	// settleTime is how long the fleet has to finish the jobs.
	settleTime time.Duration
	// trace, if set, receives a line for each fault and each log entry of a holder.
	trace func(line string)
}

// Trace sets the function that receives a line for each fault and each log
// entry of a holder.
func (sm *Simulation) Trace(trace func(line string)) { sm.trace = trace }

func (sm *Simulation) tracef(format string, args ...any) {
	if sm.trace != nil {
		sm.trace(fmt.Sprintf("%8.3f ", sm.now.Sub(sm.begin).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// Counts are the event counts of a simulation.
type Counts struct {
	// Jobs, Starts, Done and Terms count jobs accepted, runs started, tasks
	// done and holders of the duty.
	Jobs, Starts, Done, Terms int
}

// completion is the end of a run that completed its task.
type completion struct {
	at             time.Time
	node           modeller.WorkerID
	incarnation    int
	number         int64
	isAcknowledged bool
}

// term is the term of one holder of the allocator duty.
type term struct {
	al    *allocator.Allocator
	fence uint64
	// endsAt is the latest time at which the holder stops; zero while its
	// lease is valid.
	endsAt time.Time
	isOver bool
	// skew is the offset of the holder's wall clock from the true time.
	skew time.Duration
	// missesEvents is true if the holder no longer receives store events.
	missesEvents bool
	distributor  *distributor.Distributor
	conns        map[assigner.KeeperID]*connection
	// electedAt is when the holder was elected, and awareness the time after
	// which each manager knows of it.
	electedAt time.Time
	awareness map[assigner.KeeperID]time.Duration
	// side is the side of a partition that the holder is on.
	side int
	// plannedAt is the time of the last plan; hasChanges is true if events have
	// arrived since then.
	plannedAt  time.Time
	hasChanges bool
}

// canReach reports whether a manager and a node can exchange messages.
func (sm *Simulation) canReach(mg *manager, nd *node) bool {
	return nd != nil && nd.isUp && !sm.now.Before(nd.unreachableUntil) && sm.isSameSide(mg.side, nd.side)
}

// New returns the simulation of a seed.
func New(seed uint64, opts ...Option) *Simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	begin := time.Unix(1_700_000_000, 0)
	sm := &Simulation{
		seed:        seed,
		random:      random,
		begin:       begin,
		now:         begin,
		nodes:       map[modeller.WorkerID]*node{},
		jobs:        map[modeller.JobID]*submittedJob{},
		store:       newStore(),
		operators:   newOperators(),
		completions: map[modeller.TaskName][]*completion{},
		starts:      map[modeller.TaskName][]time.Time{},
		failures:    map[modeller.TaskName]int{},
		longRunning: map[modeller.TaskName]*longRunningTask{},
		settleTime:  settleTime,
	}
	sm.faults = schedule(random)
	sm.addManagers()
	for pool := range pools {
		for number := range workersPerPool {
			sm.addNode(fmt.Sprintf("p%d", pool), fmt.Sprintf("m%d-%d", pool, number), zoneName(number))
		}
	}
	for _, opt := range opts {
		opt(sm)
	}
	return sm
}

// Run runs the simulation, up to the first violated guarantee, and returns the
// violations found.
func (sm *Simulation) Run() ([]string, Counts) {
	sm.elect()
	end := sm.begin.Add(submissionTime + sm.settleTime)
	for sm.now.Before(end) && len(sm.violations) == 0 {
		sm.now = sm.now.Add(tick)
		sm.applyFaults()
		if sm.now.Before(sm.begin.Add(submissionTime)) {
			sm.submit()
		}
		sm.step()
	}
	if len(sm.violations) == 0 {
		sm.checkOutcome()
	}
	return sm.violations, sm.counts
}

// step lets nodes, managers and holders do what is due.
func (sm *Simulation) step() {
	sm.runTimers()
	sm.advance()
	if sm.now.Sub(sm.checkedAt) >= checkInterval {
		sm.checkedAt = sm.now
		sm.observeLongRunning()
	}
	sm.runManagers()
	sm.runHolders()
}

// recordViolation records the violation of a guarantee.
func (sm *Simulation) recordViolation(name, format string, args ...any) {
	sm.violations = append(sm.violations, fmt.Sprintf("%.3f s %s: %s", sm.now.Sub(sm.begin).Seconds(), name, fmt.Sprintf(format, args...)))
}

// notifyHolders sends a store event to all holders that still receive events.
// During a store outage it defers the event.
func (sm *Simulation) notifyHolders(ev allocator.Event) {
	for _, tm := range sm.terms {
		if tm.missesEvents {
			continue
		}
		if !sm.store.isDown {
			sm.notify(tm, messageDelay, ev)
		} else {
			sm.store.deferred = append(sm.store.deferred, ev)
		}
	}
}

func (sm *Simulation) notify(tm *term, after time.Duration, ev allocator.Event) {
	sm.timers.add(sm.now.Add(after), func() {
		if !tm.isOver {
			tm.hasChanges = true
			tm.al.Apply(sm.now, ev)
		}
	})
}
