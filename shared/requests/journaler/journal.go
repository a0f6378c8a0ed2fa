// Package journaler provides the journal of requests that run at most once. It
// is stored in the platform's key-value service.
//
// A request may be sent only by the entry that holds its claim. The records of
// claims are sharded by the hash of the request's key, and a shard is changed
// only by compare-and-swap, so at most one of several concurrent claims is
// granted. A claim that its owner has not ended is never granted to another
// entry: if the owner crashes, the outcome of the request stays unknown. This
// holds for any pause of the owner that is shorter than the retention time of
// the records.
package journaler

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

const (
	defaultShards          = 16
	defaultWritesPerSecond = 50
	defaultLinger          = 100 * time.Millisecond
	writeBurst             = 4
)

// Journal is the journal as used by one entry. It is safe for concurrent use.
type Journal struct {
	writers []*writer
	serial  atomic.Uint64
	done    chan struct{}
}

// config holds the options of New.
type config struct {
	shards          int
	writesPerSecond float64
	linger          time.Duration
}

// Option configures a Journal.
type Option func(*config)

// WithShards sets the number of shards. All entries must use the same number,
// and it must not change while records are kept.
func WithShards(shards int) Option {
	return func(cg *config) { cg.shards = shards }
}

// WithWriteRate limits the rate of writes of this journal. At the limit,
// several claims share one write.
func WithWriteRate(writesPerSecond float64) Option {
	return func(cg *config) { cg.writesPerSecond = writesPerSecond }
}

// WithLinger sets how long the write of a finished request may be delayed to be
// combined with that of a later claim.
func WithLinger(linger time.Duration) Option {
	return func(cg *config) { cg.linger = linger }
}

// New returns the Journal of one incarnation of an entry. The incarnation must
// be unique among all entry processes, including past ones.
func New(store storer.Store, incarnation string, options ...Option) *Journal {
	cg := config{
		shards:          defaultShards,
		writesPerSecond: defaultWritesPerSecond,
		linger:          defaultLinger,
	}
	for _, option := range options {
		option(&cg)
	}
	jl := &Journal{done: make(chan struct{})}
	limiter := rate.NewLimiter(rate.Limit(cg.writesPerSecond), writeBurst)
	for shard := range cg.shards {
		key := fmt.Sprintf("%s%04d", storer.JournalPrefix, shard)
		jl.writers = append(jl.writers, newWriter(store, key, incarnation, limiter, cg.linger, jl.done))
	}
	return jl
}

// Run writes the journal until ctx ends. A claim whose end has not been written
// by then stays claimed, so the outcome of its request stays unknown.
func (jl *Journal) Run(ctx context.Context) error {
	defer close(jl.done)
	var wg sync.WaitGroup
	for _, wr := range jl.writers {
		wg.Go(func() { wr.run(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// Claim claims the right to send a request. The record of the claim is kept
// until expires, which should be the request's deadline plus the time for which
// repeats are recognised. If the claim is not decided before ctx ends, Claim
// returns a JournalUnavailable error and the request must not be sent.
func (jl *Journal) Claim(ctx context.Context, id ID, digest Digest, expires time.Time) (Result, error) {
	cr := &claimRequest{
		id:      id,
		digest:  digest,
		serial:  jl.serial.Add(1),
		expires: expires,
		reply:   make(chan reply, 1),
	}
	select {
	case jl.writer(id).inbox <- cr:
	case <-ctx.Done():
		return nil, newUnavailable(ctx.Err())
	case <-jl.done:
		return nil, newUnavailable(nil)
	}
	select {
	case ry := <-cr.reply:
		return ry.result, ry.err
	case <-ctx.Done():
	case <-jl.done:
	}
	if cr.abandon() {
		return nil, newUnavailable(ctx.Err())
	}
	ry := <-cr.reply
	return ry.result, ry.err
}

// Flush waits until all earlier changes have been written.
func (jl *Journal) Flush(ctx context.Context) error {
	for _, wr := range jl.writers {
		fh := flush{done: make(chan struct{}, 1)}
		wr.enqueue(fh)
		select {
		case <-fh.done:
		case <-ctx.Done():
			return newUnavailable(ctx.Err())
		case <-jl.done:
			return newUnavailable(nil)
		}
	}
	return nil
}

func (jl *Journal) writer(id ID) *writer {
	shard := (int(id[0])<<8 | int(id[1])) % len(jl.writers)
	return jl.writers[shard]
}

func newUnavailable(cause error) error {
	return classifier.Wrap(cause, classifier.JournalUnavailable, "the claim was not written to the journal in time")
}
