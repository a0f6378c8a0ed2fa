package scheduler

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// fifo starts requests in order of arrival on the least loaded target and never
// retries. It is the simplest baseline.
type fifo struct {
	config  Config
	targets []Target
	running map[string]int
	waiting []Request
	bytes   int64
	total   int
}

// NewFIFO returns a Scheduler that serves requests in order of arrival, without
// urgency, delay-based shedding, retries or ejection. It is the baseline of
// comparative measurements.
func NewFIFO(config Config) Scheduler {
	return &fifo{
		config:  config,
		running: map[string]int{},
	}
}

func (ff *fifo) Configure(now time.Time, config Config) []Action {
	ff.config = config
	return ff.start(now)
}

func (ff *fifo) SetTargets(now time.Time, targets []Target) []Action {
	ff.targets = slices.Clone(targets)
	return ff.start(now)
}

func (ff *fifo) Submit(now time.Time, request Request) []Action {
	if len(ff.waiting) >= ff.config.MaxQueued || ff.bytes+request.Bytes > ff.config.MaxQueuedBytes {
		return []Action{Refuse{
			Request:    request.ID,
			Code:       classifier.QueueFull,
			RetryAfter: time.Second,
		}}
	}
	ff.waiting = append(ff.waiting, request)
	ff.bytes += request.Bytes
	return ff.start(now)
}

func (ff *fifo) Cancel(_ time.Time, request RequestID) []Action {
	for i, rt := range ff.waiting {
		if rt.ID == request {
			ff.waiting = slices.Delete(ff.waiting, i, i+1)
			ff.bytes -= rt.Bytes
			return nil
		}
	}
	return nil
}

func (ff *fifo) Finish(now time.Time, attempt Attempt, result Result, _ time.Duration) []Action {
	ff.running[attempt.VM]--
	ff.total--
	if ff.running[attempt.VM] == 0 {
		delete(ff.running, attempt.VM)
	}
	var actions []Action
	if result != Succeeded && result != Cancelled {
		actions = append(actions, GiveUp{Request: attempt.Request})
	}
	return append(actions, ff.start(now)...)
}

func (ff *fifo) Tick(now time.Time) []Action { return ff.start(now) }

func (ff *fifo) NextTick() time.Time {
	if len(ff.waiting) == 0 {
		return time.Time{}
	}
	return ff.waiting[0].Deadline
}

func (ff *fifo) Stats() Stats {
	slots := 0
	for _, tt := range ff.targets {
		if !tt.Leaving {
			slots += tt.Slots
		}
	}
	return Stats{
		Queued:      len(ff.waiting),
		QueuedBytes: ff.bytes,
		Running:     ff.total,
		Slots:       slots,
	}
}

func (ff *fifo) start(now time.Time) []Action {
	var actions []Action
	for len(ff.waiting) > 0 {
		rt := ff.waiting[0]
		if !now.Before(rt.Deadline) {
			ff.drop()
			actions = append(actions, Refuse{
				Request: rt.ID,
				Code:    classifier.DeadlineUnreachable,
			})
			continue
		}
		vm, ok := ff.leastLoaded()
		if !ok {
			return actions
		}
		ff.drop()
		ff.running[vm]++
		ff.total++
		actions = append(actions, Start{
			Attempt: Attempt{
				Request: rt.ID,
				Number:  1,
				VM:      vm,
			},
		})
	}
	return actions
}

func (ff *fifo) drop() {
	ff.bytes -= ff.waiting[0].Bytes
	ff.waiting = ff.waiting[1:]
}

func (ff *fifo) leastLoaded() (string, bool) {
	best := ""
	bestFree := 0
	for _, tt := range ff.targets {
		free := tt.Slots - ff.running[tt.VM]
		if !tt.Leaving && free > bestFree {
			best = tt.VM
			bestFree = free
		}
	}
	return best, best != ""
}
