package modeller

import "time"

// RosterEntry is a worker of the roster: one that may have runs.
type RosterEntry struct {
	// Worker is the worker as the holder knows it.
	Worker Worker
	// Settled is the incarnation that has reported to the holder and has no longer lease
	// than a holder grants. It is zero if there is none.
	Settled Incarnation
}

// Incarnation identifies an incarnation of a worker, also for later holders.
type Incarnation struct {
	// StartedAtMS is the Unix millisecond at which it started, by its own wall clock.
	// It is zero for no incarnation.
	StartedAtMS int64
	// Clock was the reading of its own clock at ReadAt, by a holder's wall clock.
	Clock  time.Duration
	ReadAt time.Time
}
