package storer

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// The defaults of Follow.
const (
	defaultFollowWait  = 30 * time.Second
	initialFollowPause = 50 * time.Millisecond
	maxFollowPause     = 5 * time.Second
	// reconnectWait is the wait of the first watch after a failed call.
	reconnectWait = 10 * time.Millisecond
)

// FollowOption is an option of Follow.
type FollowOption func(*follower)

// WithWait sets how long a watch waits for changes. The wait also bounds the time
// until a connection that is dead without having been closed is detected.
func WithWait(wait time.Duration) FollowOption {
	return func(fr *follower) { fr.wait = wait }
}

// WithBackoff sets the bounds of the pauses after failed calls.
func WithBackoff(initial, limit time.Duration) FollowOption {
	return func(fr *follower) { fr.backoff = NewBackoff(initial, limit) }
}

// Follow passes all keys that start with prefix, and then their changes, to handle
// until the context is done, and returns the context's error.
//
// It lists the keys and watches them. If the service no longer holds the events
// that the watch needs, Follow lists the keys again and delivers those that
// have disappeared as deleted. It drops events that it has delivered before and
// rejects lists that are older than the last event delivered. Failed calls are
// retried with exponential backoff. Handle is called from one goroutine and
// must not block for long.
func Follow(ctx context.Context, store Store, prefix string, handle func(nt Notice), opts ...FollowOption) error {
	fr := &follower{
		store:   store,
		prefix:  prefix,
		handle:  handle,
		wait:    defaultFollowWait,
		backoff: NewBackoff(initialFollowPause, maxFollowPause),
		known:   map[string]Revision{},
	}
	for _, opt := range opts {
		opt(fr)
	}
	for ctx.Err() == nil {
		fr.step(ctx)
	}
	return ctx.Err()
}

// follower is the state of one call of Follow.
type follower struct {
	store   Store
	prefix  string
	handle  func(nt Notice)
	wait    time.Duration
	backoff *Backoff
	// known holds the last delivered revision of each key that is present.
	known map[string]Revision
	// position is the revision up to which all changes have been delivered.
	position Revision
	// currentAt is a time at which no change after the position existed.
	currentAt time.Time
	// isWatching is false while the keys have to be listed next.
	isWatching bool
	// isDisconnected is true after a failed call, until the next successful one.
	isDisconnected bool
}

// step makes one call to the service and delivers the result. It pauses after a
// failure.
func (fr *follower) step(ctx context.Context) {
	wasWatching := fr.isWatching
	var err error
	if wasWatching {
		err = fr.watch(ctx)
	} else {
		err = fr.list(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	isCompacted := wasWatching && classifier.CodeOf(err) == classifier.PlatformNotFound
	switch {
	case err == nil:
		fr.isDisconnected = false
		fr.handle(Synced{
			Revision: fr.position,
			Age:      time.Since(fr.currentAt),
		})
	case isCompacted:
		fr.isWatching = false
	default:
		fr.isDisconnected = true
		fr.handle(Disconnected{
			Err: err,
		})
	}
	switch {
	case IsOverdue(err):
		fr.backoff.Reset()
	case err != nil:
		_ = fr.backoff.Pause(ctx)
	case wasWatching:
		fr.backoff.Reset()
	}
}

// list lists the keys and delivers the differences from the known ones.
func (fr *follower) list(ctx context.Context) error {
	sentAt := time.Now()
	entries, revision, err := fr.store.List(ctx, fr.prefix)
	if err != nil {
		return err
	}
	if revision < fr.position {
		return classifier.New(classifier.PlatformUnavailable, "list of %s is stale: its revision %d is below %d, the last one delivered", fr.prefix, revision, fr.position)
	}
	listed := make(map[string]struct{}, len(entries))
	for _, et := range entries {
		listed[et.Key] = struct{}{}
		if et.Revision > fr.known[et.Key] {
			fr.deliver(Event{
				Entry: et,
			})
		}
	}
	for key := range fr.known {
		if _, ok := listed[key]; !ok {
			fr.deliver(Event{
				Entry: Entry{
					Key:      key,
					Revision: revision,
				},
				Deleted: true,
			})
		}
	}
	fr.position = revision
	fr.currentAt = sentAt
	fr.isWatching = true
	return nil
}

// watch delivers the changes after the position. After a failed call it uses the
// short reconnectWait, so that the handler gets Synced soon after the service
// recovers even if no key changes.
func (fr *follower) watch(ctx context.Context) error {
	wait := fr.wait
	if fr.isDisconnected {
		wait = min(wait, reconnectWait)
	}
	sentAt := time.Now()
	events, revision, err := fr.store.Watch(ctx, fr.prefix, fr.position, wait)
	if err != nil {
		return err
	}
	fr.currentAt = sentAt
	if len(events) == 0 && time.Since(sentAt) >= wait {
		fr.currentAt = sentAt.Add(wait)
	}
	before := fr.position
	for _, ev := range events {
		// All keys of one transaction have the same revision, so events are
		// compared with the position before the batch. The pages of a list are
		// read one after the other, so a listed key may be newer than the list.
		if ev.Entry.Revision <= before || ev.Entry.Revision <= fr.known[ev.Entry.Key] {
			continue
		}
		fr.deliver(ev)
		fr.position = max(fr.position, ev.Entry.Revision)
	}
	fr.position = max(fr.position, revision)
	return nil
}

// deliver records one change as known and passes it to the handler.
func (fr *follower) deliver(ev Event) {
	if ev.Deleted {
		delete(fr.known, ev.Entry.Key)
	} else {
		fr.known[ev.Entry.Key] = ev.Entry.Revision
	}
	fr.handle(Changed{
		Event: ev,
	})
}
