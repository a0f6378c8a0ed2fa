package soaker

import (
	"net/http"
	"slices"
	"time"
)

const (
	// ackTimeout is how long a cancellation without an answer waits in calm times until it
	// counts as one that was acknowledged.
	ackTimeout = 4 * time.Second
	// startupTime is the time after the start of a process in which it may have no
	// configuration, and so doesn't know whose job is to be cancelled.
	startupTime = 10 * time.Second
)

// processEnd is the end of a process of a manager.
type processEnd struct {
	manager int
	at      time.Time
}

// recordEnd records that a process of a manager has ended.
func (pl *play) recordEnd(manager int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.processEnds = append(pl.processEnds, processEnd{
		manager: manager,
		at:      time.Now(),
	})
}

func (pl *play) ends() []processEnd {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return slices.Clone(pl.processEnds)
}

// cancelledAt returns the time from which a job counts as cancelled: when a cancellation was
// acknowledged, or ackTimeout after one that a manager has to carry out later.
func (ck *checker) cancelledAt(jb *job) (time.Time, bool) {
	if as, ok := jb.find(http.MethodDelete, answer.isSuccess); ok {
		return as.at, true
	}
	as, ok := jb.find(http.MethodDelete, ck.isKept)
	return as.at.Add(ackTimeout), ok
}

// isKept reports whether a manager has to carry out a cancellation later: it couldn't do so at
// once, or stood still, and its process goes on.
func (ck *checker) isKept(as answer) bool {
	isPutOff := as.status == http.StatusServiceUnavailable || as.status == http.StatusGatewayTimeout
	if !isPutOff && !as.isTimedOut {
		return false
	}
	return !ck.plan.HasKeys && !ck.hasFrontFault(as.manager) && !slices.ContainsFunc(ck.processEnds, func(pe processEnd) bool {
		return pe.manager == as.manager && pe.at.After(as.sentAt.Add(-startupTime))
	})
}

// hasFrontFault reports whether requests to a manager may be lost on their way.
func (ck *checker) hasFrontFault(manager int) bool {
	return slices.ContainsFunc(ck.plan.Moments, func(mt Moment) bool {
		lf, ok := mt.Event.(LinkFault)
		return ok && lf.Kind == linkFront && lf.Manager == manager
	})
}
