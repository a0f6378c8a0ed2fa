package scheduler

import (
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// minTickInterval is the least time between two ticks that NextTick asks for.
const minTickInterval = time.Millisecond

// policy is the Scheduler of the request path. Waiting requests start by
// urgency, then by deadline; see docs/decisions/0004-queues-and-shedding.md and
// docs/decisions/0005-retries-and-ejection.md.
type policy struct {
	config    Config
	now       time.Time
	requests  map[RequestID]*pending
	queue     *queue
	alarms    alarms
	fleet     *fleet
	picker    *picker
	ejector   *ejector
	divider   *divider
	shedder   *shedder
	budget    *budget
	estimator estimator
	adviser   *adviser
	backoff   *backoff
	retries   uint64
	hedges    uint64
	// actions collects what the present call asks for.
	actions []Action
}

// New returns a Scheduler that follows the settings.
func New(config Config, list ...Option) Scheduler {
	ot := newOptions(list)
	ft := &fleet{}
	return &policy{
		config:   config,
		requests: map[RequestID]*pending{},
		queue:    newQueue(config.LongFrom, !ot.without[Ageing]),
		fleet:    ft,
		picker: &picker{
			fleet:  ft,
			random: ot.random,
		},
		ejector: &ejector{
			fleet:    ft,
			random:   ot.random,
			maxShare: config.MaxEjectedShare,
			disabled: ot.without[Ejection],
		},
		divider: &divider{
			share:     config.LongShare,
			unlimited: ot.without[Headroom],
		},
		shedder: newShedder(ot.without[Shedding]),
		budget:  newBudget(config.RetryShare, ot.without[RetryBudget]),
		adviser: &adviser{random: ot.random},
		backoff: &backoff{random: ot.random},
	}
}

func (po *policy) Configure(now time.Time, config Config) []Action {
	po.config = config
	po.queue.longFrom = config.LongFrom
	po.divider.share = config.LongShare
	po.budget.share = config.RetryShare
	po.ejector.maxShare = config.MaxEjectedShare
	po.ejector.trim()
	return po.run(now)
}

func (po *policy) SetTargets(now time.Time, targets []Target) []Action {
	po.fleet.set(targets)
	po.ejector.trim()
	return po.run(now)
}

func (po *policy) Submit(now time.Time, request Request) []Action {
	po.now = now
	if _, known := po.requests[request.ID]; known {
		return po.run(now)
	}
	request.Urgency = min(max(request.Urgency, 0), levelCount-1)
	pd := newPending(request)
	if code := po.admit(now, pd); code != classifier.OK {
		po.refuse(now, pd, code)
		return po.run(now)
	}
	po.requests[pd.ID] = pd
	po.queue.push(now, pd)
	return po.run(now)
}

func (po *policy) Cancel(now time.Time, request RequestID) []Action {
	pd, known := po.requests[request]
	if known && pd.stage != over {
		po.end(pd)
	}
	return po.run(now)
}

func (po *policy) Tick(now time.Time) []Action { return po.run(now) }

func (po *policy) NextTick() time.Time {
	next := sooner(po.alarms.next(), po.ejector.next())
	if po.queue.count > 0 {
		next = sooner(next, po.shedder.next())
		next = sooner(next, po.nextExpiry())
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
		Ejected:     po.ejector.held(),
	}
}

// run does all that is due and returns the actions collected in this call.
func (po *policy) run(now time.Time) []Action {
	po.now = now
	po.ejector.advance(now)
	po.ring(now)
	po.shedder.observe(now, po.queue, po.config.TargetQueueDelay)
	po.expire(now)
	po.dispatch(now)
	po.bound(now)
	actions := po.actions
	po.actions = nil
	return actions
}

// dispatch starts waiting requests while there are slots for them.
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

// startNext starts or drops the next request of a kind; false if there is
// neither one nor a target for it.
func (po *policy) startNext(now time.Time, kd kind) bool {
	pd := po.queue.next(kd)
	if pd == nil {
		return false
	}
	tt := po.picker.pick(now, pd, kd)
	if tt == nil {
		return false
	}
	po.queue.started(pd)
	if pd.made > 0 {
		po.retries++
	}
	po.start(now, pd, tt, kd, false)
	return true
}

// start makes an attempt.
func (po *policy) start(now time.Time, pd *pending, tt *target, kd kind, hedge bool) {
	pd.made++
	pd.stage = running
	pd.tried = append(pd.tried, tt.VM)
	at := Attempt{
		Request: pd.ID,
		Number:  pd.made,
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
		tt.long++
	}
	po.divider.start(kd)
	po.actions = append(po.actions, Start{
		Attempt: at,
		Hedge:   hedge,
	})
	if pd.made > 1 {
		return
	}
	po.budget.earn(now)
	if po.config.HedgeAfter > 0 && pd.Repeatable && kd == urgentWork {
		po.alarms.set(pd, now.Add(po.config.HedgeAfter))
	}
}
