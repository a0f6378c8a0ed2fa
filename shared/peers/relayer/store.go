package relayer

import (
	"context"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// initialReadTimeout is how long a read waits for the first word from the platform or
// from a peer.
const initialReadTimeout = 5 * time.Second

// catchUpTimeout is how long the first read of settings waits for the highest
// revision that any live member is known to have.
const (
	catchUpTimeout      = 2 * time.Second
	catchUpPollInterval = 50 * time.Millisecond
)

// Store returns the platform's service with the relayed records read from what
// the node holds. Writes and all else go to the platform. Get goes there too,
// as it is what writes are compared with.
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
		return nil, 0, classifier.New(classifier.PlatformUnavailable, "no word of %s from the platform or from peers", prefix)
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

// awaitRevision waits until a topic has a higher revision, for a bounded time. The
// error is PlatformUnavailable when the context ends.
func (rr *Relayer) awaitRevision(ctx context.Context, tc *topic, after storer.Revision, wait time.Duration) error {
	rr.mutex.Lock()
	isThere := tc.revision > after
	changed := tc.changed
	rr.mutex.Unlock()
	if isThere {
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

// awaitHighestSettings waits, for a bounded time, until the node has the highest
// settings revision that it knows a live member to have.
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

// hasOlderSettings tells whether a live member is known to have newer settings.
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
