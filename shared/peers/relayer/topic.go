package relayer

import (
	"slices"
	"strings"

	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// topic is the replica of the platform's entries whose keys start with a prefix,
// as of a revision.
type topic struct {
	prefix string
	// isZoneLocal is true if only the nodes of one availability zone hold the
	// topic.
	isZoneLocal bool

	revision storer.Revision
	entries  map[string]storer.Entry
	// deleted holds the revisions at which keys were missing for the first time.
	deleted map[string]storer.Revision
	// changed is closed when a higher revision has been applied.
	changed chan struct{}
}

func newTopic(prefix string, isZoneLocal bool) *topic {
	return &topic{
		prefix:      prefix,
		isZoneLocal: isZoneLocal,
		entries:     map[string]storer.Entry{},
		deleted:     map[string]storer.Revision{},
		changed:     make(chan struct{}),
	}
}

// topicVersion returns the topic with its revision, for peers.
func (tc *topic) topicVersion() messenger.TopicVersion {
	return messenger.TopicVersion{
		Topic: tc.prefix,
		Version: messenger.Version{
			Number: uint64(tc.revision),
		},
	}
}

// replace replaces the entries by those of a higher revision. It reports whether
// the revision is higher, and whether an entry has changed.
func (tc *topic) replace(revision storer.Revision, entries map[string]storer.Entry) (isNewer, isChanged bool) {
	if revision <= tc.revision {
		return false, false
	}
	isChanged = len(entries) != len(tc.entries)
	for key, et := range entries {
		isChanged = isChanged || tc.entries[key].Revision != et.Revision
		delete(tc.deleted, key)
	}
	for key := range tc.entries {
		if _, ok := entries[key]; !ok {
			tc.deleted[key] = revision
		}
	}
	tc.revision = revision
	tc.entries = entries
	close(tc.changed)
	tc.changed = make(chan struct{})
	return true, isChanged
}

// list returns the entries with a prefix, sorted by key.
func (tc *topic) list(prefix string) []storer.Entry {
	var entries []storer.Entry
	for key, et := range tc.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, et)
		}
	}
	slices.SortFunc(entries, func(left, right storer.Entry) int { return strings.Compare(left.Key, right.Key) })
	return entries
}

// eventsAfter returns the changes after a revision in order. Two deletions found
// at the same revision have no order, so the reader has to list again: the error
// is PlatformNotFound then.
func (tc *topic) eventsAfter(prefix string, after storer.Revision) ([]storer.Event, error) {
	var events []storer.Event
	for _, et := range tc.list(prefix) {
		if et.Revision > after {
			events = append(events, storer.Event{
				Entry: et,
			})
		}
	}
	for key, revision := range tc.deleted {
		if revision > after && strings.HasPrefix(key, prefix) {
			events = append(events, storer.Event{
				Entry: storer.Entry{
					Key:      key,
					Revision: revision,
				},
				Deleted: true,
			})
		}
	}
	slices.SortFunc(events, func(left, right storer.Event) int {
		return int(left.Entry.Revision) - int(right.Entry.Revision)
	})
	for index := 1; index < len(events); index++ {
		if events[index].Entry.Revision == events[index-1].Entry.Revision {
			return nil, classifier.New(classifier.PlatformNotFound, "changes of %s after revision %d can't be ordered", prefix, after)
		}
	}
	return events, nil
}
