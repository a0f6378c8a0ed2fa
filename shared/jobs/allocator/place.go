package allocator

import (
	"cmp"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// ticketMargin is how much longer than a start takes a ticket must hold.
const ticketMargin = 300 * time.Millisecond

// adviceWorkers is how many workers a call for advice names; the users' account
// of a step's time counts as many.
const adviceWorkers = 30

// standing says how much a job still earns.
type standing int

// The standings, in the order in which jobs are served.
const (
	// standingLasting is for long-running jobs, which earn all the time.
	standingLasting standing = iota
	// standingInTime is for jobs that can still meet their objective.
	standingInTime
	// standingLate is for jobs that can't.
	standingLate
	// standingWorthless is for jobs that are too late to earn.
	standingWorthless
)

// lateFactor is up to how many times its objective a late job earns.
const lateFactor = 3

// rank is a job's place in the order of service.
type rank struct {
	job      *job
	standing standing
	priority int
	work     time.Duration
}

// place starts waiting tasks on workers that have room.
func (al *Allocator) place(now time.Time) {
	if !al.isLoaded {
		return
	}
	open := al.openWorkers(now)
	uncertain := map[string]bool{}
	for _, rk := range al.ranks(now) {
		jb := rk.job
		pool := al.poolOf(jb)
		if len(open[pool]) == 0 {
			continue
		}
		if !jb.isMarked || !al.mayStart(now, jb) {
			continue
		}
		if jb.isOld {
			isUncertain, ok := uncertain[pool]
			if !ok {
				isUncertain = al.isUncertain(pool)
				uncertain[pool] = isUncertain
			}
			if isUncertain {
				continue
			}
		}
		for _, oc := range jb.occurrences {
			for _, st := range oc.steps {
				if !oc.isDone && st.waiting > 0 && oc.isReady(st) {
					al.placeStep(now, st, open[pool])
				}
			}
		}
	}
}

// mayStart reports whether a job's tasks may be started. While the duty is not
// confirmed there may be a later holder; it treats the jobs from before its time
// with care, and those that came after it are its own.
func (al *Allocator) mayStart(now time.Time, jb *job) bool {
	return now.Sub(al.confirmedAt) < al.bounds.DutyLease || !jb.acceptedAt.After(al.confirmedAt)
}

// openWorkers returns the workers that take work, by pool.
func (al *Allocator) openWorkers(now time.Time) map[string][]*worker {
	open := map[string][]*worker{}
	for _, wk := range al.inOrder() {
		if al.takesWork(now, wk) {
			open[wk.info.Pool] = append(open[wk.info.Pool], wk)
		}
	}
	return open
}

// ranks returns the jobs with waiting tasks in the order of service: those that
// can still meet their objective before the rest, urgent queues first, and then
// those with the most worth for their work, which are the small ones.
func (al *Allocator) ranks(now time.Time) []rank {
	var ranks []rank
	for _, jb := range al.jobs {
		if jb.outcome != "" || jb.isCancelled || !jb.isWaiting() {
			continue
		}
		qu, ok := al.configuration.Queues[jb.info.Queue]
		if !ok {
			continue
		}
		ranks = append(ranks, rank{
			job:      jb,
			standing: jb.standing(now, qu),
			priority: qu.Priority,
			work:     jb.work,
		})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		if order := cmp.Or(cmp.Compare(a.standing, b.standing), cmp.Compare(a.priority, b.priority)); order != 0 {
			return order
		}
		if a.standing == standingInTime {
			if order := cmp.Compare(a.work, b.work); order != 0 {
				return order
			}
		}
		return cmp.Or(a.job.acceptedAt.Compare(b.job.acceptedAt), cmp.Compare(a.job.info.ID, b.job.info.ID))
	})
	return ranks
}

func (jb *job) isWaiting() bool {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.waiting > 0 {
				return true
			}
		}
	}
	return false
}

// standing returns how much the job still earns.
func (jb *job) standing(now time.Time, qu modeller.Queue) standing {
	for _, st := range jb.info.Steps {
		if st.IsLongRunning {
			return standingLasting
		}
	}
	if jb.info.Occurrences > 0 {
		return standingInTime
	}
	objective := time.Duration(qu.Stretch*float64(jb.chain)) + qu.Slack
	age := now.Sub(jb.acceptedAt)
	switch remaining := jb.remainingChain(); {
	case age+remaining <= objective:
		return standingInTime
	case age+remaining <= lateFactor*objective:
		return standingLate
	}
	return standingWorthless
}

// remainingChain returns the longest chain of steps that aren't done.
func (jb *job) remainingChain() time.Duration {
	var longest time.Duration
	for _, oc := range jb.occurrences {
		ends := make([]time.Duration, len(oc.steps))
		for idx, st := range oc.steps {
			if st.done == len(st.tasks) {
				continue
			}
			ends[idx] = st.spec.Estimate
			for _, earlier := range st.spec.After {
				ends[idx] = max(ends[idx], ends[earlier]+st.spec.Estimate)
			}
			longest = max(longest, ends[idx])
		}
	}
	return longest
}

// placeStep starts a step's waiting tasks.
func (al *Allocator) placeStep(now time.Time, st *step, open []*worker) {
	if qu := al.configuration.Queues[st.job.info.Queue]; qu.Advice != nil && !al.hasAdvice(now, st, qu, open) {
		return
	}
	if st.spec.IsGang {
		al.placeGang(now, st, open)
		return
	}
	for _, tk := range st.tasks {
		if tk.run != nil || tk.isDone || now.Before(tk.notBefore) {
			continue
		}
		wk := al.choose(now, tk, open, "")
		if wk == nil && len(tk.avoided) == 0 {
			return
		}
		if wk != nil {
			al.start(now, tk, wk, tk.nextAttempt())
		}
	}
}

// nextAttempt returns the attempt of a task's next start. An earlier holder may
// have started a task of an old job without having stored it.
func (tk *task) nextAttempt() int {
	if tk.step.job.isOld && tk.run == nil && tk.attempt > 0 {
		return tk.attempt + 2
	}
	return tk.attempt + 1
}

// placeGang starts all tasks of a gang at once or none, on one rack if there is
// one with room. Members whose starts had no effect join those that wait for them.
func (al *Allocator) placeGang(now time.Time, st *step, open []*worker) {
	if running := st.runningAttempt(); running > 0 {
		al.rejoinGang(now, st, open, running)
		return
	}
	attempt := 0
	checkpoint := ""
	for _, tk := range st.tasks {
		if tk.isDone || now.Before(tk.notBefore) {
			return
		}
		attempt = max(attempt, tk.nextAttempt())
		checkpoint = max(checkpoint, tk.checkpoint)
	}
	// All members have to go on from the same checkpoint.
	for _, tk := range st.tasks {
		tk.checkpoint = checkpoint
	}
	racks := []string{""}
	if st.spec.IsSameRack {
		racks = append(racksOf(open), "")
	}
	for _, rack := range racks {
		if al.startGang(now, st, open, rack, attempt) {
			return
		}
	}
}

// runningAttempt returns the attempt that members of a gang run at, or zero.
func (st *step) runningAttempt() int {
	for _, tk := range st.tasks {
		if tk.run != nil {
			return tk.run.attempt
		}
	}
	return 0
}

// rejoinGang starts the members again whose starts at an attempt had no effect.
// Once a member's run at that attempt has ended, the others end as well.
func (al *Allocator) rejoinGang(now time.Time, st *step, open []*worker, attempt int) {
	for _, tk := range st.tasks {
		if tk.endedAttempt >= attempt || tk.run != nil && (tk.run.isStopping || tk.run.attempt != attempt) {
			return
		}
	}
	for _, tk := range st.tasks {
		if tk.run != nil || tk.isDone {
			continue
		}
		if wk := al.choose(now, tk, open, ""); wk != nil {
			al.start(now, tk, wk, attempt)
		}
	}
}

func racksOf(open []*worker) []string {
	var racks []string
	for _, wk := range open {
		if rack := rackOf(wk.info); rack != "" && !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	return racks
}

// rackOf returns a worker's rack, which is the last of its labels.
func rackOf(info modeller.Worker) string {
	if len(info.Labels) < 2 {
		return ""
	}
	return info.Labels[len(info.Labels)-1]
}

// startGang starts all tasks on workers of a rack, or of any for an empty rack.
func (al *Allocator) startGang(now time.Time, st *step, open []*worker, rack string, attempt int) bool {
	held := map[*worker]modeller.Resources{}
	chosen := make([]*worker, 0, len(st.tasks))
	undo := func() {
		for wk, resources := range held {
			wk.used = wk.used.Minus(resources)
		}
		for _, wk := range chosen {
			st.perWorker[wk.info.ID]--
		}
	}
	for _, tk := range st.tasks {
		wk := al.choose(now, tk, open, rack)
		if wk == nil {
			undo()
			return false
		}
		demand := st.spec.Occupies()
		wk.used = wk.used.Plus(demand)
		held[wk] = held[wk].Plus(demand)
		st.perWorker[wk.info.ID]++
		chosen = append(chosen, wk)
	}
	undo()
	for idx, tk := range st.tasks {
		al.start(now, tk, chosen[idx], attempt)
	}
	return true
}

// choose returns the best worker for a task, or nil if none has room. Tasks go
// near their data, filling tasks away from serving ones, and all others to the
// fullest worker that has room.
func (al *Allocator) choose(now time.Time, tk *task, open []*worker, rack string) *worker {
	st := tk.step
	demand := st.spec.Occupies()
	var best *worker
	var bestScore float64
	for _, wk := range open {
		if rack != "" && rackOf(wk.info) != rack {
			continue
		}
		if !wk.info.HasLabel(st.spec.RequiredLabel) || !wk.used.Plus(demand).FitsIn(wk.info.Capacity) {
			continue
		}
		if st.spec.MaxPerWorker > 0 && st.perWorker[wk.info.ID] >= st.spec.MaxPerWorker {
			continue
		}
		if now.Before(tk.avoided[wk.info.ID]) || wk.runs[tk.name] != nil {
			continue
		}
		if st.tickets != nil && !st.tickets[wk.info.ID].isValid(now) {
			continue
		}
		score := suitability(tk, wk)
		if best == nil || score > bestScore {
			best, bestScore = wk, score
		}
	}
	return best
}

// Weights of a worker's suitability beside its free share, which is at most 1.
const (
	nearDataWeight      = 4
	besideServerWeight  = 2
	crowdedWeight       = 3
	besideLastingWeight = 0.2
)

// evictionRounds is how many times a long-running step's tasks on one worker may
// have to be moved one lot after the other; a lot takes about two seconds.
const evictionRounds = 2

// suitability returns how well a worker suits a task. Fuller workers come first,
// so that others stay free for a move or an upkeep, and long-running tasks share
// workers, since they keep a worker where it is.
func suitability(tk *task, wk *worker) float64 {
	score := float64(wk.used.MilliCores) / float64(max(wk.info.Capacity.MilliCores, 1))
	if rack := tk.step.spec.PreferredRack; rack != "" && wk.info.HasLabel(rack) {
		score += nearDataWeight
	}
	if st := tk.step; st.spec.IsLongRunning && st.perWorker[wk.info.ID] >= evictionRounds*max(st.spec.MaxAway, 1) {
		score -= crowdedWeight
	}
	isServing := tk.step.spec.LatencyTarget > 0
	for _, rn := range wk.runs {
		if rn.task == nil {
			continue
		}
		other := rn.task.step.spec
		if other.IsLongRunning && !other.IsFilling {
			score += besideLastingWeight
		}
		if tk.step.spec.IsFilling && (other.LatencyTarget > 0 || other.IsFilling) || isServing && other.IsFilling {
			score -= besideServerWeight
		}
	}
	return score
}

func (ti ticket) isValid(now time.Time) bool {
	return ti.text != "" && now.Add(ticketMargin).Before(ti.validUntil)
}

// hasAdvice reports whether a step has valid tickets, and asks for some if not.
func (al *Allocator) hasAdvice(now time.Time, st *step, qu modeller.Queue, open []*worker) bool {
	for _, wk := range open {
		if st.tickets[wk.info.ID].isValid(now) {
			return true
		}
	}
	if al.adviceInFlight {
		return false
	}
	order := AdviseOrder{
		Task:   st.tasks[0].name,
		Advice: *qu.Advice,
	}
	byRoom := slices.SortedFunc(slices.Values(open), func(a, b *worker) int {
		return cmp.Compare(a.used.MilliCores, b.used.MilliCores)
	})
	for _, wk := range byRoom[:min(len(byRoom), adviceWorkers)] {
		order.Workers = append(order.Workers, wk.info.ID)
	}
	al.adviceInFlight = true
	al.orders = append(al.orders, order)
	return false
}

func (al *Allocator) advised(now time.Time, ev Advised) {
	al.adviceInFlight = false
	tk := al.findTask(ev.Task)
	if tk == nil || ev.Failed {
		return
	}
	st := tk.step
	validity := al.configuration.Queues[st.job.info.Queue].Advice
	if validity == nil {
		return
	}
	if st.tickets == nil {
		st.tickets = map[modeller.WorkerID]ticket{}
	}
	for id, text := range ev.Tickets {
		st.tickets[id] = ticket{
			text:       text,
			validUntil: now.Add(validity.Validity),
		}
	}
}

// start decides that a worker is to run a task.
func (al *Allocator) start(now time.Time, tk *task, wk *worker, attempt int) {
	rn := &run{
		name:       tk.name,
		attempt:    attempt,
		worker:     wk,
		task:       tk,
		occupies:   tk.step.spec.Occupies(),
		state:      runStarting,
		sentAt:     now,
		progressAt: now,
		progress:   -1,
	}
	al.attach(tk, rn)
	wk.addRun(rn)
	al.touch(tk.step.job)
	al.orders = append(al.orders, StartOrder{
		Worker:     wk.info,
		Task:       tk.name,
		Attempt:    attempt,
		Payload:    tk.step.job.info.Payload,
		Checkpoint: tk.checkpoint,
		Ticket:     tk.step.tickets[wk.info.ID].text,
		LeaseEnd:   wk.leaseEnd,
	})
}

// moveStalled stops runs that make no progress, so that they start elsewhere.
func (al *Allocator) moveStalled(now time.Time) {
	for _, wk := range al.inOrder() {
		for _, rn := range wk.runsInOrder() {
			isStuck := rn.state == runRunning && !rn.isStopping && rn.task != nil && now.Sub(wk.reportedAt) < reportFreshness &&
				now.Sub(rn.progressAt) > stallTimeout
			if !isStuck || rn.progress >= 100 || rn.task.step.spec.IsFilling {
				continue
			}
			if rn.task.avoided == nil {
				rn.task.avoided = map[modeller.WorkerID]time.Time{}
			}
			rn.task.avoided[wk.info.ID] = now.Add(avoidTime)
			al.note(Finding{Message: "run stalled", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "no progress"})
			al.stop(now, rn)
		}
	}
}
