package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// start0 is the time at which tests begin.
var start0 = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// model follows a Scheduler's actions as an entry does and notes every breach
// of what a Scheduler promises.
type model struct {
	scheduler Scheduler
	config    Config
	now       time.Time
	targets   map[string]Target
	requests  map[RequestID]*modelRequest
	running   []Attempt
	inFlight  map[string]int
	firsts    int
	extras    int
	refusals  int
	lastID    RequestID
	breaches  []string
	// log describes the actions seen, each with its time.
	log []string
}

type modelRequest struct {
	request Request
	// ends counts the answers: success, Refuse, GiveUp or cancelled.
	ends int
	// made counts attempts, running those that still run.
	made, running int
	// mayHaveRun is true once an attempt failed after it may have been read.
	mayHaveRun bool
}

func newModel(config Config, list ...Option) *model {
	list = append([]Option{WithRandom(rand.New(rand.NewPCG(1, 2)))}, list...)
	return &model{
		scheduler: New(config, list...),
		config:    config,
		now:       start0,
		targets:   map[string]Target{},
		requests:  map[RequestID]*modelRequest{},
		inFlight:  map[string]int{},
	}
}

func (mo *model) breach(format string, args ...any) {
	mo.breaches = append(mo.breaches, fmt.Sprintf(format, args...))
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
	if rt := mo.requests[id]; rt.ends == 0 {
		rt.ends++
	}
	mo.apply(mo.scheduler.Cancel(mo.now, id))
}

func (mo *model) finish(index int, result Result, latency time.Duration) {
	at := mo.running[index]
	mo.running = append(mo.running[:index:index], mo.running[index+1:]...)
	mo.inFlight[at.VM]--
	rt := mo.requests[at.Request]
	rt.running--
	if rt.ends == 0 && (result == Succeeded || result == Cancelled) {
		rt.ends++
	}
	if result == Refused {
		mo.refusals++
	}
	rt.mayHaveRun = rt.mayHaveRun || result == Failed
	mo.apply(mo.scheduler.Finish(mo.now, at, result, latency))
}

// advance moves the time on and ticks whenever the scheduler asks for it.
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
			mo.breach("NextTick does not move on from %v", next)
			return
		}
	}
}

func (mo *model) apply(actions []Action) {
	for _, an := range actions {
		mo.log = append(mo.log, fmt.Sprintf("%v: %s", mo.now.Sub(start0), describe(an)))
		switch an := an.(type) {
		case Start:
			mo.start(an)
		case Refuse:
			mo.answer(an.Request, "Refuse")
			if mo.requests[an.Request].made > 0 {
				mo.breach("Refuse of %d after an attempt", an.Request)
			}
		case GiveUp:
			mo.answer(an.Request, "GiveUp")
			if mo.requests[an.Request].made == 0 {
				mo.breach("GiveUp of %d before any attempt", an.Request)
			}
		case Abandon:
			if mo.requests[an.Attempt.Request].ends != 1 {
				mo.breach("Abandon of %v before its request is over", an.Attempt)
			}
		}
	}
	mo.check()
}

func (mo *model) answer(id RequestID, way string) {
	rt := mo.requests[id]
	rt.ends++
	if rt.ends != 1 {
		mo.breach("%s answers %d again", way, id)
	}
	if rt.running > 0 {
		mo.breach("%s of %d while it runs", way, id)
	}
}

func (mo *model) start(an Start) {
	rt := mo.requests[an.Attempt.Request]
	tt, listed := mo.targets[an.Attempt.VM]
	rt.made++
	rt.running++
	mo.inFlight[tt.VM]++
	mo.running = append(mo.running, an.Attempt)
	if rt.made == 1 {
		mo.firsts++
	} else {
		mo.extras++
	}
	switch {
	case !listed || tt.Leaving:
		mo.breach("Start of %v on a target that is leaving", an.Attempt)
	case mo.inFlight[tt.VM] > tt.Slots:
		mo.breach("Start of %v beyond %d slots", an.Attempt, tt.Slots)
	case rt.ends > 0:
		mo.breach("Start of %v after its request is over", an.Attempt)
	case !mo.now.Before(rt.request.Deadline):
		mo.breach("Start of %v after its deadline", an.Attempt)
	case !rt.request.Repeatable && (rt.mayHaveRun || rt.running > 1):
		mo.breach("Start of %v may run it again", an.Attempt)
	case an.Hedge != (rt.running > 1):
		mo.breach("Start of %v has the wrong Hedge", an.Attempt)
	}
}

func (mo *model) check() {
	stats := mo.scheduler.Stats()
	if stats.Queued > mo.config.MaxQueued || stats.QueuedBytes > mo.config.MaxQueuedBytes {
		mo.breach("queue holds %d requests of %d bytes", stats.Queued, stats.QueuedBytes)
	}
	if stats.Running != len(mo.running) {
		mo.breach("Stats has %d running, not %d", stats.Running, len(mo.running))
	}
	reserve := reserveTokens + mo.now.Sub(start0).Seconds()/reserveInterval.Seconds()
	allowed := mo.config.RetryShare*float64(mo.firsts) + reserve + float64(mo.refusals)
	if float64(mo.extras) > allowed+1e-6 {
		mo.breach("%d extra attempts of %d requests", mo.extras, mo.firsts)
	}
}

// isEjectionBounded reports whether the share of targets held back is within
// the limit, or exceeds it by a single rack.
func (mo *model) isEjectionBounded(held int) bool {
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
	return held <= max(limit, largest+limit-1) && (held < total || total == 0)
}

// drain ends every attempt and passes the last deadline.
func (mo *model) drain() {
	for range 100 {
		for len(mo.running) > 0 {
			mo.finish(0, Succeeded, time.Millisecond)
		}
		mo.advance(time.Minute)
	}
	for id, rt := range mo.requests {
		if rt.ends != 1 {
			mo.breach("request %d has %d answers", id, rt.ends)
		}
	}
}
