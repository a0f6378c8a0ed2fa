package relayer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// watchTimeout bounds how late a watcher notices that the service is silent.
	watchTimeout = 10 * time.Second
	// platformTimeout is after what time without an answer a watcher gives up.
	platformTimeout = 2 * time.Second
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// MemberChanged implements gossiper.Companion: another node may have to watch, and
// a member that is new may have what the node lacks.
func (rr *Relayer) MemberChanged(change gossiper.Change) {
	rr.triggerElection()
	if change.Update.State == messenger.Alive {
		rr.fetchMissing(change.Update.Member)
	}
}

// fetchMissing fetches from a member what the node has nothing of, and settings of a
// higher revision.
func (rr *Relayer) fetchMissing(member messenger.Member) {
	var missing []string
	rr.mutex.Lock()
	for _, tc := range rr.topics {
		isEmpty := tc.revision == 0 && (!tc.isZoneLocal || member.Zone == rr.zone)
		isOlder := tc.prefix == storer.SettingsHeadKey && member.Revision > rr.highestSettings
		if isEmpty || isOlder {
			missing = append(missing, tc.prefix)
		}
	}
	rr.mutex.Unlock()
	if len(missing) > 0 {
		rr.send(member.PeerAddress, messenger.Fetch{
			Topics: missing,
		})
	}
}

// isElected tells whether the node is to watch for its zone. Nodes that can't
// reach the platform's service don't count as long as there are others.
func (rr *Relayer) isElected() bool {
	self := rr.membership.Self().Name
	names := []string{self}
	for _, member := range rr.membership.Live() {
		if member.Zone == rr.zone {
			names = append(names, member.Name)
		}
	}
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	var inTouch []string
	for _, name := range names {
		if _, isApart := rr.nameSets[disconnectedPrefix+rr.zone].addedAt[name]; !isApart {
			inTouch = append(inTouch, name)
		}
	}
	if len(inTouch) == 0 {
		inTouch = names
	}
	return elect(rr.zone, inTouch) == self
}

// elect returns the member that comes elect for a zone.
func elect(zone string, names []string) string {
	return rendezvous.New(names, xxhash.Sum64String).Lookup(zone)
}

// watch follows the topics at the platform until another node comes first.
func (rr *Relayer) watch(ctx context.Context) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	rr.setWatching(true)
	defer rr.setWatching(false)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	for prefix := range rr.topics {
		tasks.Go(func() { rr.follow(watching, prefix) })
	}
	for rr.isElected() {
		select {
		case <-rr.election:
		case <-ctx.Done():
			return
		}
	}
}

func (rr *Relayer) setWatching(watches bool) {
	rr.mutex.Lock()
	rr.isWatching = watches
	rr.lastContact = time.Now()
	rr.mutex.Unlock()
	rr.logger.Info("watch for the zone", zap.Bool("watching", watches))
}

// follow takes in one topic from the platform. The first list is taken in even
// if it is empty, since keys may have been deleted.
func (rr *Relayer) follow(ctx context.Context, prefix string) {
	entries := map[string]storer.Entry{}
	isChanged := true
	_ = storer.Follow(ctx, rr.platform, prefix, func(nt storer.Notice) {
		switch nt := nt.(type) {
		case storer.Changed:
			isChanged = true
			if nt.Event.Deleted {
				delete(entries, nt.Event.Entry.Key)
			} else {
				entries[nt.Event.Entry.Key] = nt.Event.Entry
			}
		case storer.Synced:
			rr.recordContact()
			if isChanged {
				isChanged = false
				rr.applyFromPlatform(prefix, nt.Revision, maps.Clone(entries))
			}
		case storer.Disconnected:
			rr.logger.Debug("out of touch", zap.String("topic", prefix), zap.Error(nt.Err))
			rr.checkContact(ctx)
		}
	}, storer.WithWait(watchTimeout), storer.WithBackoff(minBackoff, maxBackoff))
}

func (rr *Relayer) recordContact() {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	rr.lastContact = time.Now()
}

// checkContact leaves the watch to another node when the service has not
// answered for some time.
func (rr *Relayer) checkContact(ctx context.Context) {
	rr.mutex.Lock()
	silence := time.Since(rr.lastContact)
	rr.mutex.Unlock()
	if ctx.Err() == nil && silence >= platformTimeout {
		rr.broadcast(disconnectedPrefix+rr.zone, rr.membership.Self().Name)
	}
}

func (rr *Relayer) applyFromPlatform(prefix string, revision storer.Revision, entries map[string]storer.Entry) {
	if err := rr.applyEntries(prefix, revision, entries, fromPlatform); err != nil {
		rr.logger.Error("record passed over", zap.String("topic", prefix), zap.Error(err))
	}
}
