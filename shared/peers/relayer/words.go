package relayer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/peers/messenger"
)

const (
	// LeavingTTL is for how long word of a leaving target counts. It bridges
	// the time until the directory says so; a target that takes requests again
	// gets them after it at the latest.
	LeavingTTL = 2 * time.Minute
	// disconnectedTTL is for how long a node that can't reach the platform's service
	// doesn't watch for its zone if there are others.
	disconnectedTTL = 30 * time.Second
	// maxNames bounds the names in a set.
	maxNames = 4096
)

// nameSet is a set of names, each with when it was first said. It only grows but
// for names that were said long ago.
type nameSet struct {
	ttl     time.Duration
	addedAt map[string]time.Time
	// removedAt holds when names were taken out; word from before then no longer
	// counts.
	removedAt map[string]time.Time
}

func newNameSet(lifetime time.Duration) *nameSet {
	return &nameSet{
		ttl:       lifetime,
		addedAt:   map[string]time.Time{},
		removedAt: map[string]time.Time{},
	}
}

// add takes in a name that was said at a time, and tells whether it is new.
func (ws *nameSet) add(name string, since, now time.Time) bool {
	_, isKnown := ws.addedAt[name]
	if isKnown || !since.After(ws.removedAt[name]) || now.Sub(since) >= ws.ttl || len(ws.addedAt) >= maxNames {
		return false
	}
	ws.addedAt[name] = since
	return true
}

// expire forgets old word and tells whether there was any.
func (ws *nameSet) expire(now time.Time) bool {
	before := len(ws.addedAt)
	for vm, since := range ws.addedAt {
		if now.Sub(since) >= ws.ttl {
			delete(ws.addedAt, vm)
		}
	}
	for vm, at := range ws.removedAt {
		if now.Sub(at) >= ws.ttl {
			delete(ws.removedAt, vm)
		}
	}
	return len(ws.addedAt) != before
}

// removeReturned ends the word about targets that a directory lists in service and the
// one before it didn't. It tells whether there was any.
func (ws *nameSet) removeReturned(before, after registrar.Directory, now time.Time) bool {
	states := map[string]registrar.TargetState{}
	for _, target := range before.Targets {
		states[target.VM] = target.State
	}
	isChanged := false
	for _, target := range after.Targets {
		_, isNamed := ws.addedAt[target.VM]
		if isNamed && target.State == registrar.InService && states[target.VM] != registrar.InService {
			delete(ws.addedAt, target.VM)
			ws.removedAt[target.VM] = now
			isChanged = true
		}
	}
	return isChanged
}

// list returns the names in order.
func (ws *nameSet) list() []string {
	names := make([]string, 0, len(ws.addedAt))
	for vm := range ws.addedAt {
		names = append(names, vm)
	}
	slices.Sort(names)
	return names
}

// topicVersion tells peers of the set by a checksum.
func (ws *nameSet) topicVersion(topic string) messenger.TopicVersion {
	digest := xxhash.New()
	for _, vm := range ws.list() {
		_, _ = digest.WriteString(vm + "\n")
	}
	number := uint64(0)
	if len(ws.addedAt) > 0 {
		number = digest.Sum64()
	}
	return messenger.TopicVersion{
		Topic: topic,
		Version: messenger.Version{
			Number: number,
		},
	}
}
