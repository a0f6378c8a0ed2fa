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
	// watchTimeout is the wait of one watch call. It bounds the time until a
	// watcher detects that the service doesn't answer.
	watchTimeout = 10 * time.Second
	// platformTimeout is the time without an answer from the platform's service
	// after which a watcher hands over to another node.
	platformTimeout = 2 * time.Second
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// MemberChanged implements gossiper.Delegate. It triggers an election, and
// fetches missing topics from a member that has become alive.
func (rr *Relayer) MemberChanged(change gossiper.Change) {
	rr.triggerElection()
	if change.Update.State == messenger.Alive {
		rr.fetchMissing(change.Update.Member)
	}
}

// fetchMissing fetches from a member the topics that the node doesn't hold yet,
// and the settings if the member has a higher revision.
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

// isElected reports whether the node is the elected watcher of its zone. Nodes
// that can't reach the platform's service are excluded unless all nodes are.
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
	var connected []string
	for _, name := range names {
		if _, isDisconnected := rr.nameSets[disconnectedPrefix+rr.zone].addedAt[name]; !isDisconnected {
			connected = append(connected, name)
		}
	}
	if len(connected) == 0 {
		connected = names
	}
	return elect(rr.zone, connected) == self
}

// elect returns the member that rendezvous hashing elects for a zone.
func elect(zone string, names []string) string {
	return rendezvous.New(names, xxhash.Sum64String).Lookup(zone)
}

// watch follows the topics at the platform until another node is elected.
func (rr *Relayer) watch(ctx context.Context) {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	rr.setWatching(true)
	defer rr.setWatching(false)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	for prefix := range rr.topics {
		tasks.Go(func() { rr.follow(watchContext, prefix) })
	}
	for rr.isElected() {
		select {
		case <-rr.election:
		case <-ctx.Done():
			return
		}
	}
}

// setWatching records and logs whether the node watches for its zone.
func (rr *Relayer) setWatching(isWatching bool) {
	rr.mutex.Lock()
	rr.isWatching = isWatching
	rr.lastContact = time.Now()
	rr.mutex.Unlock()
	rr.logger.Info("zone watch changed", zap.Bool("watching", isWatching))
}

// follow applies the changes of one topic from the platform. The first list is
// applied even if it is empty, since keys may have been deleted.
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
			rr.logger.Debug("platform watch failed, retrying", zap.String("topic", prefix), zap.Error(nt.Err))
			rr.checkContact(ctx)
		}
	}, storer.WithWait(watchTimeout), storer.WithBackoff(minBackoff, maxBackoff))
}

// recordContact records that the platform's service has answered.
func (rr *Relayer) recordContact() {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	rr.lastContact = time.Now()
}

// checkContact hands the watch over to another node if the service hasn't
// answered for platformTimeout.
func (rr *Relayer) checkContact(ctx context.Context) {
	rr.mutex.Lock()
	elapsed := time.Since(rr.lastContact)
	rr.mutex.Unlock()
	if ctx.Err() == nil && elapsed >= platformTimeout {
		rr.broadcast(disconnectedPrefix+rr.zone, rr.membership.Self().Name)
	}
}

func (rr *Relayer) applyFromPlatform(prefix string, revision storer.Revision, entries map[string]storer.Entry) {
	if err := rr.applyEntries(prefix, revision, entries, fromPlatform); err != nil {
		rr.logger.Error("platform record rejected", zap.String("topic", prefix), zap.Error(err))
	}
}
