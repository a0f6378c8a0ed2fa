package scheduler

import (
	"slices"
	"time"
)

// kind tells the two kinds of work apart that share a service's slots.
type kind int

const (
	urgentWork kind = iota
	longWork
	kindCount
)

// stage is where a request stands between Submit and its end.
type stage int

const (
	// queued requests wait for a slot.
	queued stage = iota
	// backingOff requests wait until their next attempt is due.
	backingOff
	// running requests have at least one running attempt.
	running
	// over requests have been answered; only their attempts still run.
	over
)

// runningAttempt is an attempt that holds a slot.
type runningAttempt struct {
	attempt Attempt
	target  *target
	kind    kind
	probe   bool
}

// pending is a request that the scheduler knows.
type pending struct {
	Request
	stage stage
	// joined is when the request last joined the queue.
	joined time.Time
	// made counts the attempts made so far.
	made int
	// failures counts its failed attempts, refusals by leaving targets left out.
	failures int
	// attempts are those that still run.
	attempts []runningAttempt
	// tried names the VMs of all attempts.
	tried []string

	// older and newer link the requests of a level by the time they joined.
	older, newer *pending
	// place is the index in the level's heap.
	place int
	// due and alarm are the time and the index in the heap of alarms.
	due   time.Time
	alarm int
}

const noPlace = -1

func newPending(request Request) *pending {
	return &pending{
		Request: request,
		place:   noPlace,
		alarm:   noPlace,
	}
}

// hasTried reports whether an attempt was made on the VM.
func (pd *pending) hasTried(vm string) bool {
	return slices.Contains(pd.tried, vm)
}

// detach removes and returns the running attempt with the number.
func (pd *pending) detach(number int) (runningAttempt, bool) {
	for i, ra := range pd.attempts {
		if ra.attempt.Number == number {
			pd.attempts = slices.Delete(pd.attempts, i, i+1)
			return ra, true
		}
	}
	return runningAttempt{}, false
}
