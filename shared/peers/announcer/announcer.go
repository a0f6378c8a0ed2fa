// Package announcer publishes a node's member record in the platform's service
// under a lease, so that operators and other nodes can find the node while it
// runs.
package announcer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/storer"
)

// The intervals and timeouts of an Announcer.
const (
	// DefaultTTL is the default time for which a member record outlives its
	// node.
	DefaultTTL     = 15 * time.Second
	renewalsPerTTL = 3
	callTimeout    = 2 * time.Second
)

// Announcer publishes the record of one member.
type Announcer struct {
	store  storer.Store
	member reporter.Member
	logger *zap.Logger
	ttl    time.Duration
}

// Option is an option of New.
type Option func(*Announcer)

// WithTTL sets the time for which the member record outlives its node. The
// default is DefaultTTL.
func WithTTL(ttl time.Duration) Option {
	return func(ar *Announcer) { ar.ttl = ttl }
}

// New returns an Announcer of the member.
func New(store storer.Store, member reporter.Member, logger *zap.Logger, opts ...Option) *Announcer {
	ar := &Announcer{
		store:  store,
		member: member,
		logger: logger,
		ttl:    DefaultTTL,
	}
	for _, opt := range opts {
		opt(ar)
	}
	return ar
}

// Run publishes the member record and renews its lease until the context is done.
// Then it revokes the lease and returns the context's error.
func (ar *Announcer) Run(ctx context.Context) error {
	var lease storer.LeaseID
	ticker := time.NewTicker(ar.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		lease = ar.renewOrPublish(ctx, lease)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			ar.withdraw(ctx, lease)
			return ctx.Err()
		}
	}
}

// renewOrPublish renews the lease, or publishes the member record under a new
// lease if there is none or it is lost.
func (ar *Announcer) renewOrPublish(ctx context.Context, lease storer.LeaseID) storer.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		err := ar.store.Renew(ctx, lease)
		if classifier.CodeOf(err) != classifier.LeaseLost {
			return lease
		}
	}
	lease, err := ar.store.Grant(ctx, ar.ttl)
	if err == nil {
		err = ar.publish(ctx, lease)
	}
	if err != nil {
		ar.logger.Warn("publishing the member record failed", zap.Error(err))
		return 0
	}
	return lease
}

// publish writes the member record, over that of an earlier incarnation if there
// is one.
func (ar *Announcer) publish(ctx context.Context, lease storer.LeaseID) error {
	value, err := reporter.EncodeMember(ar.member)
	if err != nil {
		return err
	}
	key := reporter.MemberKey(ar.member.Name)
	et, err := ar.store.Get(ctx, key)
	if err != nil && classifier.CodeOf(err) != classifier.PlatformNotFound {
		return err
	}
	_, err = ar.store.Put(ctx, key, value, et.Revision, lease)
	return err
}

func (ar *Announcer) withdraw(ctx context.Context, lease storer.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := ar.store.Revoke(ctx, lease); err != nil {
		ar.logger.Warn("revoking the lease of the member record failed", zap.Error(err))
	}
}
