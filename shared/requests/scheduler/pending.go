package scheduler

import (
	"slices"
	"time"
)

// kind is one of the two kinds of work that share the slots of a service.
type kind int

const (
	urgentWork kind = iota
	longWork
	kindCount
)

// stage is the state of a request between Submit and its removal.
type stage int

const (
	// queued requests wait for a slot.
	queued stage = iota
	// backingOff requests wait until their next attempt is due.
	backingOff
	// running requests have at least one attempt in flight.
	running
	// answered requests are done, but may have attempts that are still in
	// flight.
	answered
)

// runningAttempt is an attempt in flight, which holds a slot.
type runningAttempt struct {
	attempt Attempt
	target  *target
	kind    kind
	probe   bool
}

// pending is a request held by the scheduler.
type pending struct {
	Request
	stage stage
	// enqueuedAt is when the request was last queued.
	enqueuedAt time.Time
	// attemptCount counts all attempts made.
	attemptCount int
	// failures counts failed attempts, without refusals by leaving targets.
	failures int
	// attempts are the attempts in flight.
	attempts []runningAttempt
	// tried lists the VMs of all attempts.
	tried []string

	// older and newer link the requests of a level by the time they were
	// queued.
	older, newer *pending
	// heapIndex is the index in the level's heap.
	heapIndex int
	// due and timerIndex are the time and the heap index of the request's
	// timer.
	due        time.Time
	timerIndex int
}

const notInHeap = -1

func newPending(request Request) *pending {
	return &pending{
		Request:    request,
		heapIndex:  notInHeap,
		timerIndex: notInHeap,
	}
}

// hasTried reports whether an attempt was made on the VM.
func (pd *pending) hasTried(vm string) bool {
	return slices.Contains(pd.tried, vm)
}

// detach removes and returns the running attempt with the given number.
func (pd *pending) detach(number int) (runningAttempt, bool) {
	for i, ra := range pd.attempts {
		if ra.attempt.Number == number {
			pd.attempts = slices.Delete(pd.attempts, i, i+1)
			return ra, true
		}
	}
	return runningAttempt{}, false
}
