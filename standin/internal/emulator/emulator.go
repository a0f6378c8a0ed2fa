// Package emulator plays days of a fleet in virtual time: the allocator's
// decisions against model workers and a model store, with faults by a schedule,
// while the promises made to callers are checked. The same seed plays the same
// day.
package emulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/executor"
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
	waveBound      = 2
)

// bounds are the bounds of the standard deployments.
var bounds = allocator.Bounds{
	RunLease:        5 * time.Second,
	MaxOverrun:      6 * time.Second,
	LookWait:        time.Second,
	DutyLease:       1500 * time.Millisecond,
	StopGrace:       900 * time.Millisecond,
	StatusRetention: 120 * time.Second,
	UpkeepTime:      2 * time.Second,
	AwayNotice:      4500 * time.Millisecond,
}

// Day is a day that is played.
type Day struct {
	random *rand.Rand
	begin  time.Time
	now    time.Time
	faults []fault
	nodes  map[modeller.WorkerID]*node
	jobs   map[modeller.JobID]*submitted
	store  *store
	terms  []*term
	fence  uint64
	due    agenda
	nextID int
	// nextTermAt is when the duty is won again; zero while it is held.
	nextTermAt time.Time
	// nextCut is what the next holder doesn't reach.
	nextCut  map[*node]time.Time
	wave     *modeller.Wave
	broken   []string
	done     map[modeller.TaskName][]*doneEnd
	starts   map[modeller.TaskName][]time.Time
	failures map[modeller.TaskName]int
	lasting  map[modeller.TaskName]*lastingTask
	counts   Counts
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

// node is a VM with the present life of its worker.
type node struct {
	ex       *executor.Executor
	info     modeller.Worker
	isUp     bool
	isListed bool
	// cutUntil is until when messages to it are lost.
	cutUntil time.Time
	backAt   time.Time
	state    modeller.VMState
	life     int
	// look is the look that waits here.
	look *waitingLook
	// lateShare of the orders get no answer and are carried out late.
	lateShare float64
}

// waitingLook is a look that waits for an end.
type waitingLook struct {
	term  *term
	order allocator.LookOrder
	sent  time.Time
	until time.Time
}

// submitted is a job that a caller has submitted.
type submitted struct {
	job         modeller.Job
	isPoison    bool
	cancelledAt time.Time
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
		dy.watchLasting()
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

func (dy *Day) addNode(pool, vm string) {
	nd := &node{
		isUp:     true,
		isListed: true,
		state:    modeller.VMUp,
	}
	nd.info = modeller.Worker{
		Pool:   pool,
		Labels: []string{"a", "r1"},
		Capacity: modeller.Resources{
			MilliCores: 16_000,
			MemoryMB:   64_000,
		},
		VM: vm,
	}
	dy.renew(nd, modeller.WorkerID("w-"+vm))
}

// renew gives a node a new life under an ID.
func (dy *Day) renew(nd *node, id modeller.WorkerID) {
	if nd.info.ID != "" {
		delete(dy.nodes, nd.info.ID)
	}
	nd.info.ID = id
	nd.info.BornMS = dy.now.UnixMilli()
	nd.life++
	dy.dropLook(nd)
	life := nd.life
	nd.ex = executor.New(dy.now, executor.Settings{
		Worker:   nd.info,
		StopTime: time.Duration(150+dy.random.IntN(750)) * time.Millisecond,
		MaxLease: 10 * time.Second,
		Drift:    0.02 * dy.random.Float64(),
		Profile:  dy.profile,
		Ended:    func(end modeller.End) { dy.noteEnd(nd, life, end) },
	})
	dy.nodes[id] = nd
	dy.list(nd)
}

// list tells the holders of a worker's entry in the directory.
func (dy *Day) list(nd *node) {
	nd.isListed = true
	info := nd.info
	dy.tellAll(allocator.WorkerListed{Worker: info})
}

func (dy *Day) unlist(nd *node) {
	nd.isListed = false
	dy.tellAll(allocator.WorkerUnlisted{Worker: nd.info.ID})
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

// profile returns what is true of a task.
func (dy *Day) profile(name modeller.TaskName) executor.Profile {
	sj := dy.jobs[name.Job]
	if sj == nil {
		dy.breakPromise("UNASKED", "%s is of no job", name)
		return executor.Profile{}
	}
	st := sj.job.Steps[name.Step]
	return executor.Profile{
		Demand:          st.Occupies(),
		Duration:        time.Duration(float64(st.Estimate) * (0.7 + 0.6*fraction(name))),
		IsLongRunning:   st.IsLongRunning,
		IsCheckpointing: st.IsCheckpointing,
		IsFailing:       sj.isPoison,
	}
}

// fraction returns a figure from zero to one that depends on a name alone.
func fraction(name modeller.TaskName) float64 {
	hash := uint32(2166136261)
	for _, letter := range []byte(name.String()) {
		hash = (hash ^ uint32(letter)) * 16777619
	}
	return float64(hash%1000) / 1000
}

// submit has callers submit and cancel jobs.
func (dy *Day) submit() {
	if dy.store.isDown {
		return
	}
	if dy.random.Float64() < 0.02 {
		dy.accept(dy.draw())
	}
	if dy.random.Float64() < 0.002 {
		dy.cancelOne()
	}
}

func (dy *Day) accept(sj *submitted) {
	dy.jobs[sj.job.ID] = sj
	dy.counts.Jobs++
	dy.store.jobs[sj.job.ID] = modeller.JobRecord{Job: sj.job}
	dy.tellAll(allocator.JobRecorded{Record: modeller.JobRecord{Job: sj.job}})
}

func (dy *Day) cancelOne() {
	for _, id := range slices.Sorted(maps.Keys(dy.store.jobs)) {
		jr := dy.store.jobs[id]
		if jr.FinalState == "" && dy.jobs[id].cancelledAt.IsZero() && dy.random.Float64() < 0.3 {
			dy.jobs[id].cancelledAt = dy.now
			dy.store.cancels[id] = true
			dy.tellAll(allocator.CancelRecorded{Job: id})
			return
		}
	}
}

// draw returns a job of one of the kinds that callers submit.
func (dy *Day) draw() *submitted {
	dy.nextID++
	queue := dy.random.IntN(pools)
	sj := &submitted{
		job: modeller.Job{
			ID:    modeller.JobID(fmt.Sprintf("%016x", dy.nextID)),
			Queue: fmt.Sprintf("q%d", queue),
		},
	}
	step := modeller.Step{
		Count: 1 + dy.random.IntN(6),
		Demand: modeller.Resources{
			MilliCores: 500 + dy.random.IntN(4000),
			MemoryMB:   500 + dy.random.IntN(8000),
		},
		Estimate: 200*time.Millisecond + time.Duration(dy.random.IntN(1200))*time.Millisecond,
	}
	switch kind := dy.random.Float64(); {
	case kind < 0.03:
		step.IsLongRunning = true
		step.Count = 4
		step.MaxAway = 1
		step.MaxPerWorker = 1
		step.Demand.MilliCores = 800
		sj.job.Steps = []modeller.Step{step}
	case kind < 0.06:
		sj.isPoison = true
		step.Count = 1
		sj.job.Steps = []modeller.Step{step}
	case kind < 0.1:
		step.IsGang = true
		step.Count = 3
		sj.job.Steps = []modeller.Step{step}
	default:
		sj.job.Steps = []modeller.Step{step}
		for number := range dy.random.IntN(3) {
			later := step
			later.Count = 1 + dy.random.IntN(4)
			later.After = []int{number}
			sj.job.Steps = append(sj.job.Steps, later)
		}
	}
	return sj
}

// advance lets the workers' time pass and answers the looks that wait.
func (dy *Day) advance() {
	for _, id := range slices.Sorted(maps.Keys(dy.nodes)) {
		nd := dy.nodes[id]
		if !nd.isUp {
			if !nd.backAt.IsZero() && !dy.now.Before(nd.backAt) {
				dy.comeBack(nd)
			}
			continue
		}
		nd.ex.Advance(dy.now)
		if lk := nd.look; lk != nil && (nd.ex.HasEnds(lk.order.AcknowledgedEnds) || !dy.now.Before(lk.until)) {
			nd.look = nil
			dy.answerLook(nd, lk)
		}
	}
}

// comeBack starts a node's next life, under its old ID or a new one.
func (dy *Day) comeBack(nd *node) {
	nd.isUp = true
	nd.backAt = time.Time{}
	nd.state = modeller.VMUp
	id := nd.info.ID
	if dy.random.Float64() < 0.5 {
		id = modeller.WorkerID(fmt.Sprintf("w-%s-%d", nd.info.VM, nd.life))
		dy.unlist(nd)
	}
	nd.info.IsDraining = false
	dy.renew(nd, id)
}
