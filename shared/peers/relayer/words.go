package relayer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/peers/messenger"
)

const (
	// LeavingTTL is the time after which a leaving target is removed from the
	// set. It covers the time until the directory lists the target as leaving; a
	// target that accepts requests again receives them after this time at the latest.
	LeavingTTL = 2 * time.Minute
	// disconnectedTTL is the time for which a node that can't reach the platform's
	// service is excluded from the election of its zone's watcher.
	disconnectedTTL = 30 * time.Second
	// maxNames bounds the number of names in a set.
	maxNames = 4096
)

// nameSet is a set of names with the times of their first broadcast, merged by
// union. Names leave it after the ttl or when they are removed.
type nameSet struct {
	ttl     time.Duration
	addedAt map[string]time.Time
	// removedAt holds when names were removed; broadcasts from before then are
	// ignored.
	removedAt map[string]time.Time
}

func newNameSet(ttl time.Duration) *nameSet {
	return &nameSet{
		ttl:       ttl,
		addedAt:   map[string]time.Time{},
		removedAt: map[string]time.Time{},
	}
}

// add adds a name that was first broadcast at since, and reports whether it is
// new.
func (ns *nameSet) add(name string, since, now time.Time) bool {
	_, isKnown := ns.addedAt[name]
	if isKnown || !since.After(ns.removedAt[name]) || now.Sub(since) >= ns.ttl || len(ns.addedAt) >= maxNames {
		return false
	}
	ns.addedAt[name] = since
	return true
}

// expire removes names older than the ttl, and reports whether there were any.
func (ns *nameSet) expire(now time.Time) bool {
	previous := len(ns.addedAt)
	for name, since := range ns.addedAt {
		if now.Sub(since) >= ns.ttl {
			delete(ns.addedAt, name)
		}
	}
	for name, at := range ns.removedAt {
		if now.Sub(at) >= ns.ttl {
			delete(ns.removedAt, name)
		}
	}
	return len(ns.addedAt) != previous
}

// removeReturned removes the names of targets that are in service in a directory
// and were not in the previous one. It reports whether it removed any.
func (ns *nameSet) removeReturned(previous, current registrar.Directory, now time.Time) bool {
	states := map[string]registrar.TargetState{}
	for _, target := range previous.Targets {
		states[target.VM] = target.State
	}
	isChanged := false
	for _, target := range current.Targets {
		_, isNamed := ns.addedAt[target.VM]
		if isNamed && target.State == registrar.InService && states[target.VM] != registrar.InService {
			delete(ns.addedAt, target.VM)
			ns.removedAt[target.VM] = now
			isChanged = true
		}
	}
	return isChanged
}

// list returns the sorted names.
func (ns *nameSet) list() []string {
	names := make([]string, 0, len(ns.addedAt))
	for name := range ns.addedAt {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// topicVersion returns the topic with a checksum of the set as its version, or
// zero for an empty set.
func (ns *nameSet) topicVersion(topic string) messenger.TopicVersion {
	hash := xxhash.New()
	for _, name := range ns.list() {
		_, _ = hash.WriteString(name + "\n")
	}
	number := uint64(0)
	if len(ns.addedAt) > 0 {
		number = hash.Sum64()
	}
	return messenger.TopicVersion{
		Topic: topic,
		Version: messenger.Version{
			Number: number,
		},
	}
}
