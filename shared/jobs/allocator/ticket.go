package allocator

import (
	"cmp"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// ticketMargin is the minimum remaining validity of a ticket, so that it does
	// not expire while the start is in flight. It is half of the validity if that is
	// less.
	ticketMargin = 300 * time.Millisecond
	// maxAdviceWorkers is the maximum number of workers in one advice request. The
	// users' accounting of a step's time assumes this number.
	maxAdviceWorkers = 30
	// adviceSearchInterval is the interval between searches for workers that the
	// advice service has to be asked about, for a step that had none.
	adviceSearchInterval = 100 * time.Millisecond
	// stepBackoff is the initial pause before a step is asked about again after a
	// failed request, and adviceBackoff that before any step is. They double with
	// each further failure, up to maxStepBackoff and maxAdviceBackoff.
	stepBackoff       = 500 * time.Millisecond
	maxStepBackoff    = 8 * time.Second
	adviceBackoff     = 50 * time.Millisecond
	maxAdviceBackoff  = 800 * time.Millisecond
	maxAdviceFailures = 4
)

// permission is what the advice service has said of a worker and a step. It holds
// for one incarnation of the worker.
type permission struct {
	incarnation int
	// ticket is the ticket for starts of the step, or empty if the worker may not
	// run it. It has to be renewed after usableUntil.
	ticket      string
	usableUntil time.Time
}

// stepAdvice is what the advice service has said of the workers for a step. What
// it says of an incarnation doesn't change.
type stepAdvice struct {
	permissions map[modeller.WorkerID]permission
	// waitsSince is when the step was last asked about, or first had to be.
	waitsSince time.Time
	// notBefore is the time before which no request is proposed, and failures
	// counts the consecutive failed ones.
	notBefore time.Time
	failures  int
}

// of returns what is known of a worker, and false if nothing is.
func (sa *stepAdvice) of(wk *worker) (permission, bool) {
	pm, ok := sa.permissions[wk.info.ID]
	return pm, ok && pm.incarnation == wk.incarnation
}

// isDenied reports whether a worker may not run the step.
func (sa *stepAdvice) isDenied(wk *worker) bool {
	pm, ok := sa.of(wk)
	return ok && pm.ticket == ""
}

// isPermitted reports whether a worker may run the step, with or without a valid
// ticket.
func (sa *stepAdvice) isPermitted(wk *worker) bool {
	pm, ok := sa.of(wk)
	return ok && pm.ticket != ""
}

// hasTicket reports whether there is a valid ticket for a worker.
func (sa *stepAdvice) hasTicket(now time.Time, wk *worker) bool {
	pm, ok := sa.of(wk)
	return ok && pm.ticket != "" && now.Before(pm.usableUntil)
}

// ticketFor returns the ticket for a worker, or an empty string for a step that
// needs none.
func (st *step) ticketFor(wk *worker) string {
	if st.advice == nil {
		return ""
	}
	return st.advice.permissions[wk.info.ID].ticket
}

// forgetPermission discards what is known of a worker that has rejected a ticket.
func (st *step) forgetPermission(wk *worker) {
	if st.advice != nil {
		delete(st.advice.permissions, wk.info.ID)
	}
}

// adviceState is the state of the requests to the advice service, which handles one
// at a time.
type adviceState struct {
	// asked are the workers of the request in flight with their incarnations, or
	// nil if none is in flight.
	asked map[modeller.WorkerID]int
	// retryAt is the time before which no request is sent after a failed one, and
	// failures counts the consecutive failures.
	retryAt  time.Time
	failures int
}

// isReady reports whether a request may be sent.
func (as *adviceState) isReady(now time.Time) bool {
	return as.asked == nil && !now.Before(as.retryAt)
}

// adviceRequest is a request that a placement has found to be due.
type adviceRequest struct {
	step    *step
	advice  modeller.Advice
	workers []*worker
	// hasRoom is true if one of the workers has room for a task of the step, and
	// isLate if the job can't meet its objective any more.
	hasRoom, isLate bool
}

// precedes reports whether the request is sent before another one. Steps whose
// requests fail come last, and steps that are equal otherwise take turns, so that
// none keeps the others waiting.
func (ar *adviceRequest) precedes(other *adviceRequest) bool {
	switch {
	case other == nil:
		return true
	case ar.hasRoom != other.hasRoom:
		return ar.hasRoom
	case ar.isLate != other.isLate:
		return other.isLate
	case ar.step.advice.failures != other.step.advice.failures:
		return ar.step.advice.failures < other.step.advice.failures
	}
	return ar.step.advice.waitsSince.Before(other.step.advice.waitsSince)
}

// updateAdvice begins or ends the use of tickets for a step, as its queue asks.
func (st *step) updateAdvice() {
	switch {
	case st.job.queue.Advice == nil:
		st.advice = nil
	case st.advice == nil:
		st.advice = &stepAdvice{
			permissions: map[modeller.WorkerID]permission{},
		}
	}
}

// considerAdvice proposes a request for a step with waiting tasks, if there are
// workers that the advice service has to be asked about.
func (al *Allocator) considerAdvice(pl *placement, pp *poolPlacement, st *step) {
	if st.advice == nil || st.waitingCount == 0 || !al.advice.isReady(pl.now) || pl.now.Before(st.advice.notBefore) {
		return
	}
	if st.advice.waitsSince.IsZero() {
		st.advice.waitsSince = pl.now
	}
	workers := al.workersToAsk(pl.now, pp, st)
	if len(workers) == 0 {
		st.advice.notBefore = pl.now.Add(adviceSearchInterval)
		return
	}
	request := &adviceRequest{
		step:    st,
		advice:  *st.job.queue.Advice,
		workers: workers,
		hasRoom: st.fitsOn(workers[0]),
		isLate:  st.job.rank.class > classOnTime,
	}
	if request.precedes(pl.advice) {
		pl.advice = request
	}
}

// workersToAsk returns the workers for a request. Renewals for permitted workers
// with room come first, and alone, since a request takes time for each worker.
// While a worker is permitted, others without room aren't asked about.
func (al *Allocator) workersToAsk(now time.Time, pp *poolPlacement, st *step) []*worker {
	var renewals, unknown []*worker
	isAnyPermitted := false
	for _, wk := range pp.workers {
		if !wk.info.HasLabel(st.spec.RequiredLabel) || !al.isEligible(now, wk) {
			continue
		}
		switch {
		case st.advice.hasTicket(now, wk):
			isAnyPermitted = true
		case st.advice.isPermitted(wk):
			isAnyPermitted = true
			if st.fitsOn(wk) {
				renewals = append(renewals, wk)
			}
		case !st.advice.isDenied(wk):
			unknown = append(unknown, wk)
		}
	}
	workers := renewals
	if len(workers) == 0 {
		workers = unknown
	}
	if isAnyPermitted {
		workers = slices.DeleteFunc(workers, func(wk *worker) bool { return !st.fitsOn(wk) })
	}
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Or(compareBool(st.fitsOn(b), st.fitsOn(a)), cmp.Compare(a.used.MilliCores, b.used.MilliCores))
	})
	return workers[:min(len(workers), maxAdviceWorkers)]
}

// fitsOn reports whether a worker has room for a further task of the step.
func (st *step) fitsOn(wk *worker) bool {
	return st.reserved.FitsIn(wk.free()) && (st.spec.MaxPerWorker == 0 || st.runsPerWorker[wk.info.ID] < st.spec.MaxPerWorker)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// orderAdvice sends the request that a placement has found to be the first.
func (al *Allocator) orderAdvice(pl *placement) {
	if pl.advice == nil {
		return
	}
	order := AdviceOrder{
		Task:   pl.advice.step.tasks[0].name,
		Advice: pl.advice.advice,
	}
	al.advice.asked = make(map[modeller.WorkerID]int, len(pl.advice.workers))
	for _, wk := range pl.advice.workers {
		order.Workers = append(order.Workers, wk.info.ID)
		al.advice.asked[wk.info.ID] = wk.incarnation
	}
	al.orders = append(al.orders, order)
}

func (al *Allocator) handleAdviceResult(now time.Time, ev AdviceResult) {
	asked := al.advice.asked
	al.advice.asked = nil
	if ev.Failed {
		al.advice.retryAt = now.Add(min(adviceBackoff<<al.advice.failures, maxAdviceBackoff))
		al.advice.failures = min(al.advice.failures+1, maxAdviceFailures)
	} else {
		al.advice.failures = 0
	}
	tk := al.findTask(ev.Task)
	if tk == nil || tk.step.advice == nil {
		return
	}
	sa := tk.step.advice
	sa.waitsSince = now
	if ev.Failed {
		sa.notBefore = now.Add(min(stepBackoff<<sa.failures, maxStepBackoff))
		sa.failures = min(sa.failures+1, maxAdviceFailures)
		return
	}
	sa.failures = 0
	advice := tk.step.job.queue.Advice
	if advice == nil {
		return
	}
	usableUntil := now.Add(advice.Validity - min(ticketMargin, advice.Validity/2))
	for id, incarnation := range asked {
		sa.permissions[id] = permission{
			incarnation: incarnation,
			ticket:      ev.Tickets[id],
			usableUntil: usableUntil,
		}
	}
}
