// Package relayer passes on among peers what every node should hear: the head
// of the settings, the members' records, the directory of the own availability
// zone, and word of targets that leave.
//
// One node of each zone watches the platform's service: the live member that
// comes first by rendezvous hashing. It pushes what changed to the nodes of its
// zone and to one node of each other zone, which passes it on. What was lost is
// noticed by the versions in heartbeats and fetched. A node takes only higher
// revisions than it has.
//
// Store returns the platform's service with these records served from what the
// node holds, so that their readers need not know of peers.
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
	// fetchRetryInterval is how long an answer is waited for before a topic is
	// fetched again.
	fetchRetryInterval = 500 * time.Millisecond
	sweepInterval      = time.Second
)

// Membership tells of the node and the live others.
type Membership interface {
	// Self returns the node itself.
	Self() messenger.Member
	// Live returns the others.
	Live() []messenger.Member
}

// Relayer is the relay of one node. It is a gossiper.Companion, and safe for
// concurrent use.
type Relayer struct {
	zone       string
	platform   storer.Store
	transport  messenger.Transport
	membership Membership
	logger     *zap.Logger
	// election wakes up the goroutine that decides who watches.
	election chan struct{}
	// leaving holds the newest list of leaving targets for the reader.
	leaving chan []string

	mutex           sync.Mutex
	topics          map[string]*topic
	fetchedAt       map[string]time.Time
	highestSettings uint64
	isWatching      bool
	// nameSets are the sets of names, by topic: the targets said to leave, and the
	// nodes of the zone that can't reach the platform's service.
	nameSets map[string]*nameSet
	// lastContact is when the service last answered.
	lastContact time.Time
}

var _ gossiper.Delegate = (*Relayer)(nil)

// New returns the relay of a node of an availability zone.
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

// Leaving returns the channel of the VMs that were said to leave, in order. A
// reader that is late gets only the newest list.
func (rr *Relayer) Leaving() <-chan []string { return rr.leaving }

// IsWatching tells whether the node is the one of its zone that watches.
func (rr *Relayer) IsWatching() bool {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	return rr.isWatching
}

// BroadcastLeaving tells the zone that a target takes no new work.
func (rr *Relayer) BroadcastLeaving(vm string) { rr.broadcast(leavingPrefix+rr.zone, vm) }

// rebroadcastDelays is when word that is new is told to the zone once more: a node
// that a message was lost for would otherwise hear of it by a digest only.
var rebroadcastDelays = []time.Duration{
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
}

// broadcast adds a name to a set and tells the zone if it is new.
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
	for _, pause := range rebroadcastDelays {
		time.AfterFunc(pause, func() { rr.push(topic, true) })
	}
}

// namesChanged has a changed set acted on.
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

// triggerElection has the node decide anew whether it is to watch.
func (rr *Relayer) triggerElection() {
	select {
	case rr.election <- struct{}{}:
	default:
	}
}

// Run watches the platform's service while it is the node's turn, until the
// context is done, and returns the context's error.
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

// expireNames forgets names that were said long ago.
func (rr *Relayer) expireNames(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			rr.mutex.Lock()
			for topic, ws := range rr.nameSets {
				if ws.expire(time.Now()) {
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
