package storer

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// The defaults of Follow.
const (
	defaultFollowWait = 30 * time.Second
	firstFollowPause  = 50 * time.Millisecond
	maxFollowPause    = 5 * time.Second
	// returnWait is how long the first watch after a failed call waits.
	returnWait = 10 * time.Millisecond
)

// FollowOption is an option of Follow.
type FollowOption func(*follower)

// WithWait sets how long a watch waits for changes. It bounds how late a
// connection that has fallen silent is noticed.
func WithWait(wait time.Duration) FollowOption {
	return func(fr *follower) { fr.wait = wait }
}

// WithBackoff sets the bounds of the pauses after failed calls.
func WithBackoff(first, limit time.Duration) FollowOption {
	return func(fr *follower) { fr.backoff = NewBackoff(first, limit) }
}

// Follow tells handle of all keys that start with prefix and of their changes
// until the context is done, and returns the context's error. It lists the
// keys, then watches, and starts again with a list when changes were missed;
// keys that are gone by then are told of as deleted. Events that were told of
// before, and lists older than what was told of, are passed over. Failed calls
// are repeated after growing random pauses. Handle is called by one goroutine
// and must not block for long.
func Follow(ctx context.Context, store Store, prefix string, handle func(nt Notice), opts ...FollowOption) error {
	fr := &follower{
		store:   store,
		prefix:  prefix,
		handle:  handle,
		wait:    defaultFollowWait,
		backoff: NewBackoff(firstFollowPause, maxFollowPause),
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

// follower is one run of Follow.
type follower struct {
	store   Store
	prefix  string
	handle  func(nt Notice)
	wait    time.Duration
	backoff *Backoff
	// known holds the revisions of the keys that are present.
	known map[string]Revision
	// position is the revision up to which all changes have been delivered.
	position Revision
	// isWatching is false while a list is due.
	isWatching bool
	// isOut is true from a failed call to the next answer.
	isOut bool
}

// step makes one call and delivers its answer, or pauses after a failure.
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
	isMissed := wasWatching && classifier.CodeOf(err) == classifier.PlatformNotFound
	switch {
	case err == nil:
		fr.isOut = false
		fr.handle(Synced{
			Revision: fr.position,
		})
	case isMissed:
		fr.isWatching = false
	default:
		fr.isOut = true
		fr.handle(Disconnected{
			Err: err,
		})
	}
	if err != nil {
		_ = fr.backoff.Pause(ctx)
	} else if wasWatching {
		fr.backoff.Reset()
	}
}

// list delivers the differences between the keys as known and as listed.
func (fr *follower) list(ctx context.Context) error {
	entries, revision, err := fr.store.List(ctx, fr.prefix)
	if err != nil {
		return err
	}
	if revision < fr.position {
		return classifier.New(classifier.PlatformUnavailable, "list of %s is at revision %d, before %d", fr.prefix, revision, fr.position)
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
	fr.isWatching = true
	return nil
}

// watch delivers the changes after the position. After a failed call it waits
// for a moment only, so that the handler is told soon that the service answers
// again, also when nothing changes.
func (fr *follower) watch(ctx context.Context) error {
	wait := fr.wait
	if fr.isOut {
		wait = min(wait, returnWait)
	}
	events, revision, err := fr.store.Watch(ctx, fr.prefix, fr.position, wait)
	if err != nil {
		return err
	}
	before := fr.position
	for _, ev := range events {
		// The keys of one transaction share its revision.
		if ev.Entry.Revision <= before {
			continue
		}
		fr.deliver(ev)
		fr.position = max(fr.position, ev.Entry.Revision)
	}
	fr.position = max(fr.position, revision)
	return nil
}

// deliver tells the handler of one change.
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
