package journaler

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

const (
	inboxCapacity = 1024
	firstBackoff  = 20 * time.Millisecond
	maxBackoff    = time.Second
)

// writer is the only writer of one shard in its incarnation. Its writes to the
// shard are sequential: an ambiguous write is resolved by reading the page
// before the next write.
type writer struct {
	store       storer.Store
	key         string
	incarnation string
	limiter     *rate.Limiter
	linger      time.Duration
	inbox       chan operation
	done        <-chan struct{}

	// The fields below are used only by the goroutine of run.

	// held are the records of this incarnation that it may still change.
	held          map[ID]Record
	pendingClaims []*claimRequest
	flushes       []flush
	// dirtySince is when the first unwritten change of held was made, or zero
	// if all changes are written.
	dirtySince time.Time
	page       page
	revision   storer.Revision
	// pageCurrent is true if page probably equals the stored page.
	pageCurrent bool
	// contended is true if other entries write to the shard so often that a
	// write without a preceding read would probably fail.
	contended bool
	// writeAmbiguous is true if a write conditional on revision may still take
	// effect.
	writeAmbiguous bool
	backoff        *storer.Backoff
}

func newWriter(store storer.Store, key, incarnation string, limiter *rate.Limiter, linger time.Duration, done <-chan struct{}) *writer {
	return &writer{
		store:       store,
		key:         key,
		incarnation: incarnation,
		limiter:     limiter,
		linger:      linger,
		inbox:       make(chan operation, inboxCapacity),
		done:        done,
		held:        map[ID]Record{},
		backoff:     storer.NewBackoff(firstBackoff, maxBackoff),
	}
}

// enqueue sends an operation to the writer.
func (wr *writer) enqueue(on operation) {
	select {
	case wr.inbox <- on:
	case <-wr.done:
	}
}

func (wr *writer) run(ctx context.Context) {
	for wr.waitForWork(ctx) {
		err := wr.commit(ctx)
		switch classifier.CodeOf(err) {
		case classifier.OK:
			wr.backoff.Reset()
		case classifier.PlatformConflict:
		default:
			wr.waitBackoff(ctx)
		}
	}
}

// waitForWork handles operations until a write is due. It returns false when
// ctx ends.
func (wr *writer) waitForWork(ctx context.Context) bool {
	for {
		wr.drainInbox()
		if len(wr.pendingClaims) > 0 || wr.writeAmbiguous {
			return ctx.Err() == nil
		}
		wr.completeFlushes()
		var due <-chan time.Time
		if !wr.dirtySince.IsZero() {
			wait := wr.linger - time.Since(wr.dirtySince)
			if wait <= 0 || len(wr.flushes) > 0 {
				return ctx.Err() == nil
			}
			due = time.After(wait)
		}
		select {
		case on := <-wr.inbox:
			wr.handle(on)
		case <-due:
		case <-ctx.Done():
			return false
		}
	}
}

// completeFlushes completes the pending flushes if all changes are written.
func (wr *writer) completeFlushes() {
	if !wr.dirtySince.IsZero() {
		return
	}
	for _, fh := range wr.flushes {
		fh.done <- struct{}{}
	}
	wr.flushes = nil
}

// drainInbox handles all operations in the inbox.
func (wr *writer) drainInbox() {
	for {
		select {
		case on := <-wr.inbox:
			wr.handle(on)
		default:
			return
		}
	}
}

func (wr *writer) handle(on operation) {
	switch on := on.(type) {
	case *claimRequest:
		wr.handleClaim(on)
	case completion:
		wr.complete(on)
	case release:
		if rd, ok := wr.held[on.id]; ok && rd.Serial == on.serial {
			delete(wr.held, on.id)
			wr.markDirty()
		}
	case flush:
		wr.flushes = append(wr.flushes, on)
	}
}

// handleClaim resolves a claim request from the held records or a final record
// of the page, neither of which other entries can change. Any other claim
// request waits for the next commit.
func (wr *writer) handleClaim(cr *claimRequest) {
	if rd, ok := wr.held[cr.id]; ok {
		cr.resolve(Found{
			Record: rd,
			Own:    true,
		}, nil)
		return
	}
	if rd, ok := wr.page[cr.id]; ok && rd.isFinal() && time.Now().Before(rd.Expires) {
		cr.resolve(Found{Record: rd}, nil)
		return
	}
	wr.pendingClaims = append(wr.pendingClaims, cr)
}

func (wr *writer) complete(cn completion) {
	rd, ok := wr.held[cn.id]
	if !ok || rd.Serial != cn.serial {
		return
	}
	rd.State = cn.state
	rd.Status = cn.status
	rd.Answer = cn.answer
	rd.Expires = cn.expires
	wr.held[cn.id] = rd
	wr.markDirty()
}

func (wr *writer) markDirty() {
	if wr.dirtySince.IsZero() {
		wr.dirtySince = time.Now()
	}
}

// waitBackoff waits for the backoff after a failed commit and handles
// operations meanwhile.
func (wr *writer) waitBackoff(ctx context.Context) {
	due := time.After(wr.backoff.Next())
	for {
		select {
		case on := <-wr.inbox:
			wr.handle(on)
		case <-due:
			return
		case <-ctx.Done():
			return
		}
	}
}
