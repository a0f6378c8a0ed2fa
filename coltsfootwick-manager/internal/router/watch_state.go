package router

import (
	"context"
	"sync"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

const (
	// maxAge is the age of the knowledge of the configuration above which a call waits
	// for newer knowledge. It is longer than the longest time between two notices of
	// the watch (its wait, a call without an answer and a pause: 2.4 s), and shorter
	// than the 3 s within which a configuration has to be in force.
	maxAge = 2500 * time.Millisecond
	// maxAgeWait bounds the wait of a call. An answer of the store takes some hundred
	// milliseconds, and a call to it without an answer ends after a second.
	maxAgeWait = 1500 * time.Millisecond
)

// watchState is what is known of the age of the configuration. A process that was
// paused has an outdated one without having noticed a failure.
type watchState struct {
	mu sync.Mutex
	// currentAt is a time at which the configuration in force was the newest.
	currentAt time.Time
	// noticedAt is the time of the last notice of the watch.
	noticedAt time.Time
	// isCutOff is true after a failed call to the store that was not sent before a
	// pause, until one succeeds.
	isCutOff bool
	// changed is closed at the next notice.
	changed chan struct{}
}

// noteSynced notes that the configuration in force was the newest some time ago.
func (ws *watchState) noteSynced(now time.Time, age time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if at := now.Add(-age); at.After(ws.currentAt) {
		ws.currentAt = at
	}
	ws.isCutOff = false
	ws.note(now)
}

// noteFailure notes that a call to the store failed. The call was sent soon after the
// last notice. If that is long ago, the process was paused meanwhile, and the failure
// shows nothing of the time after the pause.
func (ws *watchState) noteFailure(now time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.isCutOff = now.Sub(ws.noticedAt) <= maxAge
	ws.note(now)
}

// note wakes the calls that wait for a notice.
func (ws *watchState) note(now time.Time) {
	ws.noticedAt = now
	close(ws.changed)
	ws.changed = make(chan struct{})
}

// isCurrent reports whether calls may be served by the configuration in force: it was
// the newest a short time ago, or the store can't be reached. It also returns a channel
// that is closed at the next notice.
func (ws *watchState) isCurrent(now time.Time) (bool, <-chan struct{}) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	isCutOff := ws.isCutOff && now.Sub(ws.noticedAt) <= maxAge
	return isCutOff || now.Sub(ws.currentAt) <= maxAge, ws.changed
}

// awaitCurrent waits until calls may be served by the configuration in force, or
// returns a JobUnavailable error.
func (ws *watchState) awaitCurrent(ctx context.Context) error {
	ok, changed := ws.isCurrent(time.Now())
	if ok {
		return nil
	}
	timer := time.NewTimer(maxAgeWait)
	defer timer.Stop()
	for !ok {
		select {
		case <-changed:
			ok, changed = ws.isCurrent(time.Now())
		case <-timer.C:
			return classifier.New(classifier.JobUnavailable, "the configuration may be outdated")
		case <-ctx.Done():
			return classifier.Wrap(ctx.Err(), classifier.JobUnavailable, "the configuration may be outdated")
		}
	}
	return nil
}
