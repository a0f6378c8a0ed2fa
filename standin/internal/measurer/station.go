package measurer

import (
	"time"

	"coltsfootwick.example/shared/requests/scheduler"
)

// behaviour tells how a target ends an attempt that starts now.
type behaviour func(since time.Duration, rc *record) (scheduler.Result, time.Duration)

// sound is the behaviour of a target that serves every request.
func sound(_ time.Duration, rc *record) (scheduler.Result, time.Duration) {
	return scheduler.Succeeded, rc.service
}

// station is one scheduler with the targets behind it, in virtual time.
type station struct {
	timeline  *timeline
	scheduler scheduler.Scheduler
	// behaviours has the targets that are not sound.
	behaviours map[string]behaviour
	lastID     scheduler.RequestID
	requests   map[scheduler.RequestID]*pending
	running    map[attemptKey]bool
	tickAt     time.Time
	starts     []start
	// gate is the entry round the station; nil if there is none.
	gate gate
}

// gate is what the entry round a station does with its calls.
type gate interface {
	// pass runs a call of the scheduler, or puts it off while the entry is
	// frozen, or drops it if the entry is dead.
	pass(call func())
	// started and ended tell of an attempt at a target. An attempt ends at its
	// target also when the entry is gone.
	started(vm string)
	ended(vm string)
}

// start is an attempt begun.
type start struct {
	at time.Duration
	vm string
}

type attemptKey struct {
	request scheduler.RequestID
	number  int
}

type pending struct {
	stream *stream
	record *record
}

func newStation(tl *timeline, sc scheduler.Scheduler) *station {
	return &station{
		timeline:   tl,
		scheduler:  sc,
		behaviours: map[string]behaviour{},
		requests:   map[scheduler.RequestID]*pending{},
		running:    map[attemptKey]bool{},
	}
}

// pass runs a call of the scheduler when the entry is able to.
func (st *station) pass(call func()) {
	if st.gate != nil {
		st.gate.pass(call)
		return
	}
	call()
}

// send submits a request of a stream.
func (st *station) send(sm *stream, rc *record) {
	st.pass(func() { st.submit(sm, rc) })
}

func (st *station) submit(sm *stream, rc *record) {
	rc.received = st.timeline.since()
	st.lastID++
	st.requests[st.lastID] = &pending{
		stream: sm,
		record: rc,
	}
	st.apply(st.scheduler.Submit(st.timeline.now, sm.request(st.lastID, rc)))
}

func (st *station) setTargets(targets []scheduler.Target) {
	st.apply(st.scheduler.SetTargets(st.timeline.now, targets))
}

// apply carries out actions and arranges the next tick.
func (st *station) apply(actions []scheduler.Action) {
	for _, an := range actions {
		switch an := an.(type) {
		case scheduler.Start:
			st.start(an)
		case scheduler.Refuse:
			st.close(an.Request, refused)
		case scheduler.GiveUp:
			st.close(an.Request, failed)
		case scheduler.Abandon:
			st.timeline.after(0, func() { st.end(an.Attempt, scheduler.Cancelled, 0) })
		}
	}
	st.arrangeTick()
}

func (st *station) arrangeTick() {
	next := st.scheduler.NextTick()
	if next.IsZero() || (!st.tickAt.IsZero() && !next.Before(st.tickAt)) {
		return
	}
	st.tickAt = next
	st.timeline.at(next, func() {
		if st.tickAt.Equal(next) {
			st.pass(st.tick)
		}
	})
}

func (st *station) tick() {
	st.tickAt = time.Time{}
	st.apply(st.scheduler.Tick(st.timeline.now))
}

func (st *station) start(an scheduler.Start) {
	pd := st.requests[an.Attempt.Request]
	rc := pd.record
	now := st.timeline.since()
	if rc.started == notStarted {
		rc.started = now
	}
	rc.attempts++
	if an.Hedge {
		rc.hedges++
	}
	st.starts = append(st.starts, start{
		at: now,
		vm: an.Attempt.VM,
	})
	if st.gate != nil {
		st.gate.started(an.Attempt.VM)
	}
	st.running[keyOf(an.Attempt)] = true
	result, length := st.behave(an.Attempt.VM, rc)
	if deadline := rc.arrived + pd.stream.timeout; now+length > deadline {
		result = scheduler.Failed
		length = deadline - now
	}
	st.timeline.after(length, func() { st.end(an.Attempt, result, length) })
}

// end ends an attempt at its target; the scheduler hears of it when it can.
func (st *station) end(attempt scheduler.Attempt, result scheduler.Result, latency time.Duration) {
	if !st.running[keyOf(attempt)] {
		return
	}
	delete(st.running, keyOf(attempt))
	if st.gate != nil {
		st.gate.ended(attempt.VM)
	}
	st.pass(func() { st.finish(attempt, result, latency) })
}

func (st *station) behave(vm string, rc *record) (scheduler.Result, time.Duration) {
	if act := st.behaviours[vm]; act != nil {
		return act(st.timeline.since(), rc)
	}
	return sound(st.timeline.since(), rc)
}

func keyOf(attempt scheduler.Attempt) attemptKey {
	return attemptKey{
		request: attempt.Request,
		number:  attempt.Number,
	}
}

func (st *station) finish(attempt scheduler.Attempt, result scheduler.Result, latency time.Duration) {
	if result == scheduler.Succeeded {
		st.close(attempt.Request, succeeded)
	}
	st.apply(st.scheduler.Finish(st.timeline.now, attempt, result, latency))
}

func (st *station) close(id scheduler.RequestID, result recordResult) {
	rc := st.requests[id].record
	if rc.result == 0 {
		rc.result = result
		rc.ended = st.timeline.since()
	}
}
