// Package elector makes the managers with the most capacity hold the scheduler's
// duty. Each manager registers its capacity in the store. A manager waits before
// it competes for the free duty if others have more, and asks a holder with less
// to yield. The records are advice only: any manager acquires the duty if no
// better one does.
package elector

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Durations of registrations and elections.
const (
	// recordTTL is how long the record of a lost manager remains.
	recordTTL = 2 * time.Minute
	// renewalInterval is the interval between renewals of a record.
	renewalInterval = 40 * time.Second
	// retryDelay is the pause before a failed registration is retried.
	retryDelay = 100 * time.Millisecond
	// settleTime is how long a manager waits after its registration before it
	// competes, so that managers that start together know each other.
	settleTime = 400 * time.Millisecond
	// registrationTimeout bounds the wait for the registration.
	registrationTimeout = time.Second
	// rankDelay is the delay of a candidate for each level of capacity above its
	// own. It is longer than acquiring the free duty takes.
	rankDelay = 200 * time.Millisecond
	// maxRankDelay bounds the delay of the candidates with the least capacity.
	maxRankDelay = 400 * time.Millisecond
	// yieldInterval is the interval at which a holder with less capacity is asked
	// to yield.
	yieldInterval = 2 * time.Second
)

// levelRatio is the ratio of capacities from which one counts as larger.
const levelRatio = 1.25

// Locator locates the holder of the scheduler's duty.
type Locator interface {
	// Holder returns the holder's address, or false if none is known.
	Holder() (netip.AddrPort, bool)
}

// Peer sends requests to the holder of the duty.
type Peer interface {
	// RequestYield asks the holder to yield the duty.
	RequestYield(ctx context.Context, holder netip.AddrPort) error
}

// Elector registers a manager and compares its capacity with that of others.
type Elector struct {
	store    storer.Store
	prefix   string
	node     string
	address  netip.AddrPort
	capacity Capacity
	locator  Locator
	peer     Peer
	logger   *zap.Logger
	// isEligible reports whether this manager may ask for the duty.
	isEligible func() bool
	registered chan struct{}
	settledAt  atomic.Pointer[time.Time]

	mutex sync.Mutex
	// members are the registered capacities as last read.
	members map[netip.AddrPort]Capacity
}

// Settings holds the dependencies and parameters of an Elector.
type Settings struct {
	// Store is the platform's store.
	Store storer.Store
	// Region is the region of the duty, Node the name of this node and Address
	// its internal address.
	Region, Node string
	Address      netip.AddrPort
	// Capacity is this node's capacity.
	Capacity Capacity
	// Locator locates the holder, and Peer sends requests to it.
	Locator Locator
	Peer    Peer
	// IsEligible reports whether this manager may ask for the duty.
	IsEligible func() bool
	// Logger logs requests to yield.
	Logger *zap.Logger
}

// New returns an Elector.
func New(st Settings) *Elector {
	return &Elector{
		store:      st.Store,
		prefix:     storer.ManagerPrefix + st.Region + "/",
		node:       st.Node,
		address:    st.Address,
		capacity:   st.Capacity,
		locator:    st.Locator,
		peer:       st.Peer,
		logger:     st.Logger,
		isEligible: st.IsEligible,
		registered: make(chan struct{}),
		members:    map[netip.AddrPort]Capacity{},
	}
}

// Run keeps the manager registered until the context is done, and asks holders
// with less capacity to yield.
func (el *Elector) Run(ctx context.Context) error {
	go el.challenge(ctx)
	isFirst := true
	for ctx.Err() == nil {
		lease, err := el.register(ctx)
		if err != nil {
			_ = storer.Pause(ctx, retryDelay)
			continue
		}
		if isFirst {
			isFirst = false
			settledAt := time.Now().Add(settleTime)
			el.settledAt.Store(&settledAt)
			close(el.registered)
		}
		el.renew(ctx, lease)
	}
	return ctx.Err()
}

// record is the stored record of a manager.
type record struct {
	Address         string  `json:"address"`
	StartsPerSecond float64 `json:"startsPerSecond"`
}

func (el *Elector) register(ctx context.Context) (storer.LeaseID, error) {
	value, err := json.Marshal(record{
		Address:         el.address.String(),
		StartsPerSecond: float64(el.capacity),
	})
	if err != nil {
		return 0, classifier.Wrap(err, classifier.Internal, "record of manager %s", el.node)
	}
	lease, err := el.store.Grant(ctx, recordTTL)
	if err != nil {
		return 0, err
	}
	_, err = storer.Update(ctx, el.store, el.prefix+el.node, storer.Change{
		Apply: func(storer.Entry) ([]byte, error) { return value, nil },
		Lease: lease,
	})
	if err != nil {
		if revokeErr := el.store.Revoke(ctx, lease); revokeErr != nil {
			el.logger.Debug("cannot revoke the lease of a failed registration", zap.Error(revokeErr))
		}
	}
	return lease, err
}

// renew renews the lease until it is lost or the context is done.
func (el *Elector) renew(ctx context.Context, lease storer.LeaseID) {
	for storer.Pause(ctx, renewalInterval) == nil {
		if classifier.CodeOf(el.store.Renew(ctx, lease)) == classifier.LeaseLost {
			return
		}
	}
}

// Delay returns how long this manager waits before it competes for the free
// duty. It blocks until the manager is registered, for a limited time.
func (el *Elector) Delay(ctx context.Context) time.Duration {
	timer := time.NewTimer(registrationTimeout)
	defer timer.Stop()
	select {
	case <-el.registered:
		if wait := time.Until(*el.settledAt.Load()); wait > 0 {
			_ = storer.Pause(ctx, wait)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	el.refresh(ctx)
	el.mutex.Lock()
	defer el.mutex.Unlock()
	return min(time.Duration(el.capacity.rank(el.members))*rankDelay, maxRankDelay)
}

// refresh reads the registered capacities. If that fails, the last ones are
// kept.
func (el *Elector) refresh(ctx context.Context) {
	entries, _, err := el.store.List(ctx, el.prefix)
	if err != nil {
		el.logger.Debug("cannot read the capacities of the managers", zap.Error(err))
		return
	}
	members := make(map[netip.AddrPort]Capacity, len(entries))
	for _, et := range entries {
		var rec record
		if err := json.Unmarshal(et.Value, &rec); err != nil {
			el.logger.Error("cannot decode the capacity of a manager", zap.String("key", et.Key), zap.Error(err))
			continue
		}
		address, err := netip.ParseAddrPort(rec.Address)
		if err != nil {
			el.logger.Error("cannot parse the address of a manager", zap.String("key", et.Key), zap.Error(err))
			continue
		}
		members[address] = Capacity(rec.StartsPerSecond)
	}
	el.mutex.Lock()
	defer el.mutex.Unlock()
	el.members = members
}

// challenge asks holders with less capacity than this manager to yield.
func (el *Elector) challenge(ctx context.Context) {
	for storer.Pause(ctx, yieldInterval) == nil {
		holder, ok := el.locator.Holder()
		if !ok || holder == el.address || !el.isEligible() || !el.isLargerThan(ctx, holder) {
			continue
		}
		err := el.peer.RequestYield(ctx, holder)
		el.logger.Info("asked the holder of the scheduler's duty to yield to a manager with more capacity", zap.Stringer("holder", holder), zap.Error(err))
	}
}

// isLargerThan reports whether this manager has more capacity than another.
func (el *Elector) isLargerThan(ctx context.Context, address netip.AddrPort) bool {
	el.mutex.Lock()
	other, ok := el.members[address]
	el.mutex.Unlock()
	if !ok {
		el.refresh(ctx)
		return false
	}
	return el.capacity.isLarger(other)
}
