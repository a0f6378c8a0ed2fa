package relayer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/peers/messenger"
)

const (
	// LeavingTime is for how long word of a leaving target counts. It bridges
	// the time until the directory says so; a target that takes requests again
	// gets them after it at the latest.
	LeavingTime = 2 * time.Minute
	// apartTime is for how long a node that can't reach the platform's service
	// doesn't watch for its zone if there are others.
	apartTime = 30 * time.Second
	// maxWords bounds the names in a set.
	maxWords = 4096
)

// words is a set of names, each with when it was first said. It only grows but
// for names that were said long ago.
type words struct {
	lifetime time.Duration
	since    map[string]time.Time
	// revoked holds when names were taken out; word from before then no longer
	// counts.
	revoked map[string]time.Time
}

func newWords(lifetime time.Duration) *words {
	return &words{
		lifetime: lifetime,
		since:    map[string]time.Time{},
		revoked:  map[string]time.Time{},
	}
}

// add takes in a name that was said at a time, and tells whether it is new.
func (ws *words) add(name string, since, now time.Time) bool {
	_, isKnown := ws.since[name]
	if isKnown || !since.After(ws.revoked[name]) || now.Sub(since) >= ws.lifetime || len(ws.since) >= maxWords {
		return false
	}
	ws.since[name] = since
	return true
}

// expire forgets old word and tells whether there was any.
func (ws *words) expire(now time.Time) bool {
	before := len(ws.since)
	for vm, since := range ws.since {
		if now.Sub(since) >= ws.lifetime {
			delete(ws.since, vm)
		}
	}
	for vm, at := range ws.revoked {
		if now.Sub(at) >= ws.lifetime {
			delete(ws.revoked, vm)
		}
	}
	return len(ws.since) != before
}

// compare ends the word about targets that a directory lists in service and the
// one before it didn't. It tells whether there was any.
func (ws *words) compare(before, after registrar.Directory, now time.Time) bool {
	states := map[string]registrar.TargetState{}
	for _, target := range before.Targets {
		states[target.VM] = target.State
	}
	isChanged := false
	for _, target := range after.Targets {
		_, isNamed := ws.since[target.VM]
		if isNamed && target.State == registrar.InService && states[target.VM] != registrar.InService {
			delete(ws.since, target.VM)
			ws.revoked[target.VM] = now
			isChanged = true
		}
	}
	return isChanged
}

// list returns the names in order.
func (ws *words) list() []string {
	names := make([]string, 0, len(ws.since))
	for vm := range ws.since {
		names = append(names, vm)
	}
	slices.Sort(names)
	return names
}

// holding tells peers of the set by a checksum.
func (ws *words) holding(topic string) messenger.Holding {
	digest := xxhash.New()
	for _, vm := range ws.list() {
		_, _ = digest.WriteString(vm + "\n")
	}
	number := uint64(0)
	if len(ws.since) > 0 {
		number = digest.Sum64()
	}
	return messenger.Holding{
		Topic: topic,
		Version: messenger.Version{
			Number: number,
		},
	}
}
