package relayer

import (
	"context"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// initialReadTimeout bounds the wait of a read for the first entries from the
// platform or from a peer.
const initialReadTimeout = 5 * time.Second

// catchUpTimeout bounds the wait of a read of the settings for the highest
// revision that a live member is known to hold.
const (
	catchUpTimeout      = 2 * time.Second
	catchUpPollInterval = 50 * time.Millisecond
)

// Store returns the platform's service with List and Watch of the relayed topics
// served from the node's replica. Writes and other reads go to the platform, as
// does Get, since writes are compared with its revision.
func (rr *Relayer) Store() storer.Store {
	return &relayedStore{
		Store:   rr.platform,
		relayer: rr,
	}
}

// relayedStore is the Store of a Relayer.
type relayedStore struct {
	storer.Store

	relayer *Relayer
}

// List implements storer.Store.
func (rs *relayedStore) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	tc := rs.relayer.topicOf(prefix)
	if tc == nil {
		return rs.Store.List(ctx, prefix)
	}
	if err := rs.relayer.awaitRevision(ctx, tc, 0, initialReadTimeout); err != nil {
		return nil, 0, err
	}
	if tc.prefix == storer.SettingsHeadKey {
		rs.relayer.awaitHighestSettings(ctx)
	}
	rs.relayer.mutex.Lock()
	defer rs.relayer.mutex.Unlock()
	if tc.revision == 0 {
		return nil, 0, classifier.New(classifier.PlatformUnavailable, "neither the platform nor a peer has sent %s yet", prefix)
	}
	return tc.list(prefix), tc.revision, nil
}

// Watch implements storer.Store.
func (rs *relayedStore) Watch(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	tc := rs.relayer.topicOf(prefix)
	if tc == nil {
		return rs.Store.Watch(ctx, prefix, after, wait)
	}
	if err := rs.relayer.awaitRevision(ctx, tc, after, wait); err != nil {
		return nil, 0, err
	}
	rs.relayer.mutex.Lock()
	defer rs.relayer.mutex.Unlock()
	events, err := tc.eventsAfter(prefix, after)
	return events, max(tc.revision, after), err
}

// topicOf returns the topic that holds all keys with a prefix, or nil.
func (rr *Relayer) topicOf(prefix string) *topic {
	for _, tc := range rr.topics {
		if strings.HasPrefix(prefix, tc.prefix) {
			return tc
		}
	}
	return nil
}

// awaitRevision waits until a topic has a revision above after, for a bounded
// time. The error is PlatformUnavailable if the context ends.
func (rr *Relayer) awaitRevision(ctx context.Context, tc *topic, after storer.Revision, wait time.Duration) error {
	rr.mutex.Lock()
	isReached := tc.revision > after
	changed := tc.changed
	rr.mutex.Unlock()
	if isReached {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return classifier.Wrap(ctx.Err(), classifier.PlatformUnavailable, "wait for %s", tc.prefix)
	}
	return nil
}

// awaitHighestSettings waits, for a bounded time, until the node holds the
// highest settings revision that a live member is known to hold.
func (rr *Relayer) awaitHighestSettings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	ticker := time.NewTicker(catchUpPollInterval)
	defer ticker.Stop()
	for rr.hasOlderSettings() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// hasOlderSettings reports whether a live member is known to hold newer
// settings.
func (rr *Relayer) hasOlderSettings() bool {
	rr.mutex.Lock()
	revision := rr.highestSettings
	rr.mutex.Unlock()
	for _, member := range rr.membership.Live() {
		if member.Revision > revision {
			return true
		}
	}
	return false
}
