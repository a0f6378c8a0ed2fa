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
	// watchWait bounds how late a watcher notices that the service is silent.
	watchWait = 10 * time.Second
	// touchTime is after what time without an answer a watcher gives up.
	touchTime  = 2 * time.Second
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// NoteChange implements gossiper.Companion: another node may have to watch, and
// a member that is new may have what the node lacks.
func (rr *Relayer) NoteChange(change gossiper.Change) {
	rr.wake()
	if change.Update.State == messenger.Alive {
		rr.ask(change.Update.Member)
	}
}

// ask fetches from a member what the node has nothing of, and settings of a
// higher revision.
func (rr *Relayer) ask(member messenger.Member) {
	var missing []string
	rr.mutex.Lock()
	for _, tc := range rr.topics {
		isEmpty := tc.revision == 0 && (!tc.isLocal || member.Zone == rr.zone)
		isOlder := tc.prefix == storer.SettingsHeadKey && member.Revision > rr.revision
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

// isFirst tells whether the node is to watch for its zone. Nodes that can't
// reach the platform's service don't count as long as there are others.
func (rr *Relayer) isFirst() bool {
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
		if _, isApart := rr.words[apartPrefix+rr.zone].since[name]; !isApart {
			inTouch = append(inTouch, name)
		}
	}
	if len(inTouch) == 0 {
		inTouch = names
	}
	return first(rr.zone, inTouch) == self
}

// first returns the member that comes first for a zone.
func first(zone string, names []string) string {
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
	for rr.isFirst() {
		select {
		case <-rr.rethink:
		case <-ctx.Done():
			return
		}
	}
}

func (rr *Relayer) setWatching(watches bool) {
	rr.mutex.Lock()
	rr.watches = watches
	rr.touched = time.Now()
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
			rr.touch()
			if isChanged {
				isChanged = false
				rr.takeFromPlatform(prefix, nt.Revision, maps.Clone(entries))
			}
		case storer.Disconnected:
			rr.logger.Debug("out of touch", zap.String("topic", prefix), zap.Error(nt.Err))
			rr.noteOutOfTouch(ctx)
		}
	}, storer.WithWait(watchWait), storer.WithBackoff(firstPause, maxPause))
}

func (rr *Relayer) touch() {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	rr.touched = time.Now()
}

// noteOutOfTouch leaves the watch to another node when the service has not
// answered for some time.
func (rr *Relayer) noteOutOfTouch(ctx context.Context) {
	rr.mutex.Lock()
	silence := time.Since(rr.touched)
	rr.mutex.Unlock()
	if ctx.Err() == nil && silence >= touchTime {
		rr.say(apartPrefix+rr.zone, rr.membership.Self().Name)
	}
}

func (rr *Relayer) takeFromPlatform(prefix string, revision storer.Revision, entries map[string]storer.Entry) {
	if err := rr.take(prefix, revision, entries, fromPlatform); err != nil {
		rr.logger.Error("record passed over", zap.String("topic", prefix), zap.Error(err))
	}
}
