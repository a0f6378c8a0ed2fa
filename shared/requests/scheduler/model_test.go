package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// testStart is the virtual time at which tests start.
var testStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// model executes the actions of a Scheduler as an entry does and records each
// violation of the Scheduler's contract.
type model struct {
	scheduler     Scheduler
	config        Config
	now           time.Time
	targets       map[string]Target
	requests      map[RequestID]*modelRequest
	running       []Attempt
	inFlight      map[string]int
	firstAttempts int
	extraAttempts int
	refusals      int
	lastID        RequestID
	violations    []string
	// log describes each action with its time.
	log []string
}

type modelRequest struct {
	request Request
	// answers counts the answers to the request: success, Refuse, GiveUp or
	// cancellation.
	answers int
	// attempts counts all attempts, running those still in flight.
	attempts, running int
	// mayHaveRun is true once an attempt has failed after the target may have
	// read the request.
	mayHaveRun bool
}

func newModel(config Config, opts ...Option) *model {
	opts = append([]Option{WithRandom(rand.New(rand.NewPCG(1, 2)))}, opts...)
	return &model{
		scheduler: New(config, opts...),
		config:    config,
		now:       testStart,
		targets:   map[string]Target{},
		requests:  map[RequestID]*modelRequest{},
		inFlight:  map[string]int{},
	}
}

func (mo *model) addViolation(format string, args ...any) {
	mo.violations = append(mo.violations, fmt.Sprintf(format, args...))
}

func (mo *model) setTargets(targets []Target) {
	mo.targets = map[string]Target{}
	for _, tt := range targets {
		mo.targets[tt.VM] = tt
	}
	mo.apply(mo.scheduler.SetTargets(mo.now, targets))
}

func (mo *model) submit(request Request) {
	mo.lastID++
	if request.ID == 0 {
		request.ID = mo.lastID
	}
	mo.requests[request.ID] = &modelRequest{request: request}
	mo.apply(mo.scheduler.Submit(mo.now, request))
}

func (mo *model) cancel(id RequestID) {
	if rt := mo.requests[id]; rt.answers == 0 {
		rt.answers++
	}
	mo.apply(mo.scheduler.Cancel(mo.now, id))
}

func (mo *model) finish(index int, result Result, latency time.Duration) {
	at := mo.running[index]
	mo.running = append(mo.running[:index:index], mo.running[index+1:]...)
	mo.inFlight[at.VM]--
	rt := mo.requests[at.Request]
	rt.running--
	if rt.answers == 0 && (result == Succeeded || result == Cancelled) {
		rt.answers++
	}
	if result == Refused {
		mo.refusals++
	}
	rt.mayHaveRun = rt.mayHaveRun || result == Failed
	mo.apply(mo.scheduler.Finish(mo.now, at, result, latency))
}

// advance advances the virtual time and calls Tick whenever it is due.
func (mo *model) advance(by time.Duration) {
	until := mo.now.Add(by)
	for {
		next := mo.scheduler.NextTick()
		if next.IsZero() || next.After(until) {
			mo.now = until
			return
		}
		if next.Before(mo.now) {
			next = mo.now
		}
		mo.now = next
		mo.apply(mo.scheduler.Tick(next))
		if again := mo.scheduler.NextTick(); !again.IsZero() && !again.After(next) {
			mo.addViolation("NextTick does not advance past %v", next)
			return
		}
	}
}

func (mo *model) apply(actions []Action) {
	for _, an := range actions {
		mo.log = append(mo.log, fmt.Sprintf("%v: %s", mo.now.Sub(testStart), describe(an)))
		switch an := an.(type) {
		case Start:
			mo.start(an)
		case Refuse:
			mo.answer(an.Request, "Refuse")
			if mo.requests[an.Request].attempts > 0 {
				mo.addViolation("Refuse of request %d after an attempt", an.Request)
			}
		case GiveUp:
			mo.answer(an.Request, "GiveUp")
			if mo.requests[an.Request].attempts == 0 {
				mo.addViolation("GiveUp of request %d before any attempt", an.Request)
			}
		case Abandon:
			if mo.requests[an.Attempt.Request].answers != 1 {
				mo.addViolation("Abandon of %v before its request was answered", an.Attempt)
			}
		}
	}
	mo.check()
}

func (mo *model) answer(id RequestID, action string) {
	rt := mo.requests[id]
	rt.answers++
	if rt.answers != 1 {
		mo.addViolation("%s is a second answer to request %d", action, id)
	}
	if rt.running > 0 {
		mo.addViolation("%s of request %d with an attempt in flight", action, id)
	}
}

func (mo *model) start(an Start) {
	rt := mo.requests[an.Attempt.Request]
	tt, listed := mo.targets[an.Attempt.VM]
	rt.attempts++
	rt.running++
	mo.inFlight[tt.VM]++
	mo.running = append(mo.running, an.Attempt)
	if rt.attempts == 1 {
		mo.firstAttempts++
	} else {
		mo.extraAttempts++
	}
	switch {
	case !listed || tt.Leaving:
		mo.addViolation("Start of %v on a target that is leaving", an.Attempt)
	case mo.inFlight[tt.VM] > tt.Slots:
		mo.addViolation("Start of %v beyond %d slots", an.Attempt, tt.Slots)
	case rt.answers > 0:
		mo.addViolation("Start of %v after its request was answered", an.Attempt)
	case !mo.now.Before(rt.request.Deadline):
		mo.addViolation("Start of %v after the deadline of its request", an.Attempt)
	case !rt.request.Repeatable && (rt.mayHaveRun || rt.running > 1):
		mo.addViolation("Start of %v may run its request twice", an.Attempt)
	case an.Hedge != (rt.running > 1):
		mo.addViolation("Start of %v has a wrong value of Hedge", an.Attempt)
	}
}

func (mo *model) check() {
	stats := mo.scheduler.Stats()
	if stats.Queued > mo.config.MaxQueued || stats.QueuedBytes > mo.config.MaxQueuedBytes {
		mo.addViolation("queue exceeds its bounds with %d requests of %d bytes", stats.Queued, stats.QueuedBytes)
	}
	if stats.Running != len(mo.running) {
		mo.addViolation("Stats reports %d attempts in flight instead of %d", stats.Running, len(mo.running))
	}
	reserve := reserveTokens + mo.now.Sub(testStart).Seconds()/reserveInterval.Seconds()
	allowed := mo.config.RetryShare*float64(mo.firstAttempts) + reserve + float64(mo.refusals)
	if float64(mo.extraAttempts) > allowed+1e-6 {
		mo.addViolation("%d extra attempts for %d requests exceed the retry budget", mo.extraAttempts, mo.firstAttempts)
	}
}

// isEjectionBounded reports whether the number of ejected targets is within the
// limit or exceeds it by no more than a single rack.
func (mo *model) isEjectionBounded(ejectedTargets int) bool {
	largest := 0
	total := 0
	racks := map[string]int{}
	for _, tt := range mo.targets {
		if !tt.Leaving {
			total++
			racks[tt.Rack]++
			largest = max(largest, racks[tt.Rack])
		}
	}
	limit := max(1, int(mo.config.MaxEjectedShare*float64(total)))
	return ejectedTargets <= max(limit, largest+limit-1) && (ejectedTargets < total || total == 0)
}

// drain finishes every attempt and advances the time past the last deadline.
func (mo *model) drain() {
	for range 100 {
		for len(mo.running) > 0 {
			mo.finish(0, Succeeded, time.Millisecond)
		}
		mo.advance(time.Minute)
	}
	for id, rt := range mo.requests {
		if rt.answers != 1 {
			mo.addViolation("request %d has %d answers", id, rt.answers)
		}
	}
}
