package scheduler

import (
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// minTickInterval is the minimum time between two ticks requested by NextTick.
const minTickInterval = time.Millisecond

// policy is the Scheduler used by entries. Queued requests start in order of
// urgency, then of deadline; see docs/decisions/0004-queues-and-shedding.md and
// docs/decisions/0005-retries-and-ejection.md.
type policy struct {
	config         Config
	now            time.Time
	requests       map[RequestID]*pending
	queue          *queue
	timers         timers
	fleet          *fleet
	picker         *picker
	ejector        *ejector
	divider        *divider
	shedder        *shedder
	budget         *budget
	estimator      estimator
	retryEstimator *retryAfterEstimator
	backoff        *backoff
	retries        uint64
	hedges         uint64
	// actions collects the actions that the current call returns.
	actions []Action
}

// New returns a Scheduler with the given settings.
func New(config Config, opts ...Option) Scheduler {
	ot := newOptions(opts)
	ft := &fleet{}
	return &policy{
		config:   config,
		requests: map[RequestID]*pending{},
		queue:    newQueue(config.LongFrom, !ot.excluded[Ageing]),
		fleet:    ft,
		picker: &picker{
			fleet:  ft,
			random: ot.random,
		},
		ejector: &ejector{
			fleet:    ft,
			random:   ot.random,
			maxShare: config.MaxEjectedShare,
			disabled: ot.excluded[Ejection],
		},
		divider: &divider{
			share:     config.LongShare,
			unlimited: ot.excluded[Headroom],
		},
		shedder:        newShedder(ot.excluded[Shedding]),
		budget:         newBudget(config.RetryShare, ot.excluded[RetryBudget]),
		retryEstimator: &retryAfterEstimator{random: ot.random},
		backoff:        &backoff{random: ot.random},
	}
}

func (po *policy) Configure(now time.Time, config Config) []Action {
	po.config = config
	po.queue.longFrom = config.LongFrom
	po.divider.share = config.LongShare
	po.budget.share = config.RetryShare
	po.ejector.maxShare = config.MaxEjectedShare
	po.ejector.readmitExcess()
	return po.process(now)
}

func (po *policy) SetTargets(now time.Time, targets []Target) []Action {
	po.fleet.set(targets)
	po.ejector.readmitExcess()
	return po.process(now)
}

func (po *policy) Submit(now time.Time, request Request) []Action {
	po.now = now
	if _, known := po.requests[request.ID]; known {
		return po.process(now)
	}
	request.Urgency = min(max(request.Urgency, 0), levelCount-1)
	pd := newPending(request)
	if code := po.admit(now, pd); code != classifier.OK {
		po.refuse(now, pd, code)
		return po.process(now)
	}
	po.requests[pd.ID] = pd
	po.queue.push(now, pd)
	return po.process(now)
}

func (po *policy) Cancel(now time.Time, request RequestID) []Action {
	pd, known := po.requests[request]
	if known && pd.stage != answered {
		po.closeRequest(pd)
	}
	return po.process(now)
}

func (po *policy) Tick(now time.Time) []Action { return po.process(now) }

func (po *policy) NextTick() time.Time {
	next := earlier(po.timers.next(), po.ejector.next())
	if po.queue.count > 0 {
		next = earlier(next, po.shedder.next())
		next = earlier(next, po.nextExpiry())
	}
	if next.IsZero() {
		return next
	}
	earliest := po.now.Add(minTickInterval)
	if next.Before(earliest) {
		return earliest
	}
	return next
}

func (po *policy) Stats() Stats {
	return Stats{
		Queued:      po.queue.count,
		QueuedBytes: po.queue.bytes,
		Running:     po.divider.running[urgentWork] + po.divider.running[longWork],
		Slots:       po.fleet.slots(),
		Retries:     po.retries,
		Hedges:      po.hedges,
		Ejected:     po.ejector.ejectedCount(),
	}
}

// process does all work that is due and returns the collected actions.
func (po *policy) process(now time.Time) []Action {
	po.now = now
	po.ejector.advance(now)
	po.fireTimers(now)
	po.shedder.observe(now, po.queue, po.config.TargetQueueDelay)
	po.expire(now)
	po.dispatch(now)
	po.enforceBounds(now)
	actions := po.actions
	po.actions = nil
	return actions
}

// dispatch starts queued requests while there are free slots for them.
func (po *policy) dispatch(now time.Time) {
	for po.queue.count > 0 {
		waiting := [kindCount]int{
			urgentWork: po.queue.lenOf(urgentWork),
			longWork:   po.queue.lenOf(longWork),
		}
		kd, ok := po.divider.choose(now, waiting, po.fleet.slots(), po.fleet.free(), po.estimator.mean(longWork))
		if !ok {
			return
		}
		started := po.startNext(now, kd)
		if !started && kd == longWork {
			started = po.startNext(now, urgentWork)
		}
		if !started {
			return
		}
	}
}

// startNext starts the next request of a kind. It returns false if none is
// queued or no target can serve it.
func (po *policy) startNext(now time.Time, kd kind) bool {
	pd := po.queue.next(kd)
	if pd == nil {
		return false
	}
	tt := po.picker.pick(now, pd, kd)
	if tt == nil {
		return false
	}
	po.queue.removeStarted(pd)
	if pd.attemptCount > 0 {
		po.retries++
	}
	po.start(now, pd, tt, kd, false)
	return true
}

// start starts an attempt of a request on a target.
func (po *policy) start(now time.Time, pd *pending, tt *target, kd kind, hedge bool) {
	pd.attemptCount++
	pd.stage = running
	pd.tried = append(pd.tried, tt.VM)
	at := Attempt{
		Request: pd.ID,
		Number:  pd.attemptCount,
		VM:      tt.VM,
	}
	pd.attempts = append(pd.attempts, runningAttempt{
		attempt: at,
		target:  tt,
		kind:    kd,
		probe:   tt.health == probing,
	})
	tt.inFlight++
	if kd == longWork {
		tt.longInFlight++
	}
	po.divider.start(kd)
	po.actions = append(po.actions, Start{
		Attempt: at,
		Hedge:   hedge,
	})
	if pd.attemptCount > 1 {
		return
	}
	po.budget.earn(now)
	if po.config.HedgeAfter > 0 && pd.Repeatable && kd == urgentWork {
		po.timers.set(pd, now.Add(po.config.HedgeAfter))
	}
}
