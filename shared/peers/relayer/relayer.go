// Package relayer replicates topics among peers: the head of the settings, the
// members' records, the directory of the node's availability zone, and the
// targets that are leaving.
//
// One node of each zone watches the platform's service: the live member that
// rendezvous hashing elects. It pushes changes to the nodes of its zone and to
// one node of each other zone, which forwards them in its zone. Lost pushes are
// detected by the topic versions in pings and acknowledgements, and fetched
// (anti-entropy). A node accepts only revisions above its own.
//
// Store returns the platform's service with these topics served from the node's
// replica, so that readers need no knowledge of peers.
package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/store/storer"
)

const (
	leavingPrefix      = "leaving/"
	disconnectedPrefix = "apart/"
	// fetchRetryInterval is the time without a response after which a topic is
	// fetched again.
	fetchRetryInterval = 500 * time.Millisecond
	sweepInterval      = time.Second
)

// Membership provides the node and the other live members.
type Membership interface {
	// Self returns the node itself.
	Self() messenger.Member
	// Live returns the other live members.
	Live() []messenger.Member
}

// Relayer replicates the topics on one node. It is a gossiper.Delegate, and safe
// for concurrent use.
type Relayer struct {
	zone       string
	platform   storer.Store
	transport  messenger.Transport
	membership Membership
	logger     *zap.Logger
	// election wakes up the goroutine that elects the watcher.
	election chan struct{}
	// leaving holds the newest list of leaving targets for the reader.
	leaving chan []string

	mutex           sync.Mutex
	topics          map[string]*topic
	fetchedAt       map[string]time.Time
	highestSettings uint64
	isWatching      bool
	// nameSets holds the sets of names by topic: the leaving targets, and the
	// nodes of the zone that can't reach the platform's service.
	nameSets map[string]*nameSet
	// lastContact is when the platform's service last answered.
	lastContact time.Time
}

var _ gossiper.Delegate = (*Relayer)(nil)

// New returns a Relayer for a node of an availability zone.
func New(zone string, platform storer.Store, transport messenger.Transport, membership Membership, logger *zap.Logger) *Relayer {
	rr := &Relayer{
		zone:       zone,
		platform:   platform,
		transport:  transport,
		membership: membership,
		logger:     logger,
		election:   make(chan struct{}, 1),
		leaving:    make(chan []string, 1),
		topics:     map[string]*topic{},
		fetchedAt:  map[string]time.Time{},
		nameSets: map[string]*nameSet{
			leavingPrefix + zone:      newNameSet(LeavingTTL),
			disconnectedPrefix + zone: newNameSet(disconnectedTTL),
		},
	}
	for _, tc := range []*topic{
		newTopic(storer.SettingsHeadKey, false),
		newTopic(storer.MemberPrefix, false),
		newTopic(storer.DirectoryPrefix+zone, true),
	} {
		rr.topics[tc.prefix] = tc
	}
	return rr
}

// Leaving returns a channel of sorted lists of the VMs that are leaving. A slow
// reader gets only the newest list.
func (rr *Relayer) Leaving() <-chan []string { return rr.leaving }

// IsWatching reports whether the node watches the platform's service for its
// zone.
func (rr *Relayer) IsWatching() bool {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	return rr.isWatching
}

// BroadcastLeaving broadcasts in the zone that a target is leaving and takes no
// new work.
func (rr *Relayer) BroadcastLeaving(vm string) { rr.broadcast(leavingPrefix+rr.zone, vm) }

// rebroadcastDelays are the delays after which a new name is pushed to the zone
// again: a node that lost the first push would otherwise get the name only after
// the next exchange of topic versions.
var rebroadcastDelays = []time.Duration{
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
}

// broadcast adds a name to a set, and pushes the set to the zone if the name is
// new.
func (rr *Relayer) broadcast(topic, name string) {
	rr.mutex.Lock()
	isNew := rr.nameSets[topic].add(name, time.Now(), time.Now())
	if isNew {
		rr.namesChanged(topic)
	}
	rr.mutex.Unlock()
	if !isNew {
		return
	}
	rr.push(topic, true)
	for _, delay := range rebroadcastDelays {
		time.AfterFunc(delay, func() { rr.push(topic, true) })
	}
}

// namesChanged is called after the set of a topic has changed. It triggers an
// election or updates the list of leaving targets.
func (rr *Relayer) namesChanged(topic string) {
	if topic == disconnectedPrefix+rr.zone {
		rr.triggerElection()
		return
	}
	select {
	case <-rr.leaving:
	default:
	}
	rr.leaving <- rr.nameSets[topic].list()
}

// triggerElection wakes up the goroutine that elects the watcher of the zone.
func (rr *Relayer) triggerElection() {
	select {
	case rr.election <- struct{}{}:
	default:
	}
}

// Run watches the platform's service while the node is the elected watcher of
// its zone, until the context is done, and returns the context's error.
func (rr *Relayer) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { rr.expireNames(ctx) })
	defer tasks.Wait()
	for ctx.Err() == nil {
		if !rr.isElected() {
			select {
			case <-rr.election:
			case <-ctx.Done():
			}
			continue
		}
		rr.watch(ctx)
	}
	return ctx.Err()
}

// expireNames removes expired names every sweepInterval.
func (rr *Relayer) expireNames(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			rr.mutex.Lock()
			for topic, ns := range rr.nameSets {
				if ns.expire(time.Now()) {
					rr.namesChanged(topic)
				}
			}
			rr.mutex.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// send sends a message to a peer.
func (rr *Relayer) send(to netip.AddrPort, body messenger.Body) {
	rr.transport.Send(to, messenger.Message{
		Sender: rr.membership.Self(),
		Body:   body,
	})
}
