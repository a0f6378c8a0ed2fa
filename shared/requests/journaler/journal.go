// Package journaler keeps, in the platform's service, the journal of requests
// that run at most once.
//
// A request may be sent only by the entry that holds its claim. The records of
// claims stand in shards by the hash of the request's key, and a shard is
// changed by compare-and-swap only, so of any number of askers one gets the
// claim. A claim that its owner does not end is never given to another: after
// the owner's death the outcome of the request stays unknown. This holds
// however long an owner is frozen, as long as that is shorter than the time that
// records are kept.
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

// Journal is one entry's access to the journal. It is safe for concurrent use.
type Journal struct {
	writers []*writer
	serial  atomic.Uint64
	done    chan struct{}
}

// config is what the options of New set.
type config struct {
	shards          int
	writesPerSecond float64
	linger          time.Duration
}

// Option changes how a Journal works.
type Option func(*config)

// WithShards sets the number of shards. All entries must use the same number,
// for as long as records are kept.
func WithShards(shards int) Option {
	return func(cg *config) { cg.shards = shards }
}

// WithWriteRate bounds the writes of this journal. Above the bound a write
// carries more keys.
func WithWriteRate(writesPerSecond float64) Option {
	return func(cg *config) { cg.writesPerSecond = writesPerSecond }
}

// WithLinger sets how long a finished request waits for a claim to share its
// write with.
func WithLinger(linger time.Duration) Option {
	return func(cg *config) { cg.linger = linger }
}

// New returns the journal as used by one incarnation of an entry. The
// incarnation is unique among all entry processes, past ones included.
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
	pace := rate.NewLimiter(rate.Limit(cg.writesPerSecond), writeBurst)
	for shard := range cg.shards {
		key := fmt.Sprintf("%s%04d", storer.JournalPrefix, shard)
		jl.writers = append(jl.writers, newWriter(store, key, incarnation, pace, cg.linger, jl.done))
	}
	return jl
}

// Run writes the journal until ctx ends. What is not written then stays
// claimed, so its outcome will be unknown.
func (jl *Journal) Run(ctx context.Context) error {
	defer close(jl.done)
	var wg sync.WaitGroup
	for _, wr := range jl.writers {
		wg.Go(func() { wr.run(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// Claim asks for the right to send a request. The record of the claim is kept
// until expires, which lies after the request's deadline by the time that
// repeats are recognised. When the platform's service can't tell before ctx
// ends, it returns a JournalUnavailable error and the request must not be sent.
func (jl *Journal) Claim(ctx context.Context, id ID, digest Digest, expires time.Time) (Result, error) {
	dd := &demand{
		id:      id,
		digest:  digest,
		serial:  jl.serial.Add(1),
		expires: expires,
		reply:   make(chan reply, 1),
	}
	select {
	case jl.writer(id).inbox <- dd:
	case <-ctx.Done():
		return nil, unavailable(ctx.Err())
	case <-jl.done:
		return nil, unavailable(nil)
	}
	select {
	case ry := <-dd.reply:
		return ry.result, ry.err
	case <-ctx.Done():
	case <-jl.done:
	}
	if dd.abandon() {
		return nil, unavailable(ctx.Err())
	}
	ry := <-dd.reply
	return ry.result, ry.err
}

// Flush waits until all that was told to the journal is written.
func (jl *Journal) Flush(ctx context.Context) error {
	for _, wr := range jl.writers {
		fh := flush{done: make(chan struct{}, 1)}
		wr.tell(fh)
		select {
		case <-fh.done:
		case <-ctx.Done():
			return unavailable(ctx.Err())
		case <-jl.done:
			return unavailable(nil)
		}
	}
	return nil
}

func (jl *Journal) writer(id ID) *writer {
	shard := (int(id[0])<<8 | int(id[1])) % len(jl.writers)
	return jl.writers[shard]
}

func unavailable(cause error) error {
	return classifier.Wrap(cause, classifier.JournalUnavailable, "the claim was not settled in time")
}
