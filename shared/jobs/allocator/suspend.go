package allocator

import (
	"time"
)

const (
	// maxArrivalDoubt is the time without a confirmation of the duty and without a job
	// from which jobs are expected not to be accepted. Confirmations of a store that
	// answers in time are more frequent.
	maxArrivalDoubt = 400 * time.Millisecond
	// returnTime is the time within which callers who were refused in an outage are back:
	// the least Retry-After, and the time until all managers accept jobs again.
	returnTime = 1500 * time.Millisecond
)

// suspension is the state of an outage of the store, in which no jobs can be accepted. The
// demand has not ended then, since refused callers come back, so that pools keep the VMs
// that they required before.
type suspension struct {
	// isActive is true during the outage. The last one has ended at endedAt.
	isActive bool
	endedAt  time.Time
	// recent are the requirements of the last plans before the outage, in their order.
	recent []requirements
}

// requirements are the VMs that pools have required at a time.
type requirements struct {
	at       time.Time
	required map[string]int
}

// updateSuspension notices the beginning and the end of an outage.
func (al *Allocator) updateSuspension(now time.Time) {
	knownAt := al.confirmedAt
	if al.arrivedAt.After(knownAt) {
		knownAt = al.arrivedAt
	}
	sp := &al.suspension
	isActive := now.Sub(knownAt) > maxArrivalDoubt
	switch {
	case isActive && !sp.isActive:
		sp.isActive = true
		sp.forgetSince(knownAt)
		for _, fc := range al.arrivals {
			fc.Suspend(knownAt)
		}
		al.log(LogEntry{Message: "pools keep their VMs", Reason: "no jobs can be accepted while the store is unavailable"})
	case !isActive && sp.isActive:
		sp.isActive = false
		sp.endedAt = now
		for _, fc := range al.arrivals {
			fc.Resume(now)
		}
		al.log(LogEntry{Message: "jobs can be accepted again", Reason: "the store is available"})
	}
}

// forgetSince forgets the requirements of plans after a time, which is that of the last
// sign that jobs could be accepted.
func (sp *suspension) forgetSince(at time.Time) {
	for len(sp.recent) > 1 && sp.recent[len(sp.recent)-1].at.After(at) {
		sp.recent = sp.recent[:len(sp.recent)-1]
	}
}

// hold raises the requirements of pools to what they were before an outage, until refused
// callers are back. At other times it records them.
func (sp *suspension) hold(now time.Time, needs []poolNeed) {
	if sp.isActive || now.Sub(sp.endedAt) < returnTime {
		sp.raise(needs)
		return
	}
	required := make(map[string]int, len(needs))
	for _, pn := range needs {
		required[pn.name] = pn.required
	}
	sp.recent = append(sp.recent, requirements{
		at:       now,
		required: required,
	})
	for now.Sub(sp.recent[0].at) > maxArrivalDoubt+moveInterval {
		sp.recent = sp.recent[1:]
	}
}

func (sp *suspension) raise(needs []poolNeed) {
	if len(sp.recent) == 0 {
		return
	}
	held := sp.recent[len(sp.recent)-1].required
	for idx := range needs {
		pn := &needs[idx]
		pn.required = max(pn.required, held[pn.name])
	}
}
