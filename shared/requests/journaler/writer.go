package journaler

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

const (
	inboxRing    = 1024
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// writer owns one shard for its incarnation. All its writes to the shard follow
// each other, and each is settled before the next one.
type writer struct {
	store       storer.Store
	key         string
	incarnation string
	pace        *rate.Limiter
	linger      time.Duration
	inbox       chan operation
	done        <-chan struct{}

	// The fields below belong to the goroutine of run.

	// held are the records of this incarnation that it may still change.
	held    map[ID]Record
	demands []*demand
	flushes []flush
	// dirtySince is when the first unwritten change of held was made; zero if
	// all is written.
	dirtySince time.Time
	page       page
	revision   storer.Revision
	// current is true if the page is likely to be what the platform's service
	// holds.
	current bool
	// contended is true if others write to the shard so often that a write
	// without a read before it is likely to be in vain.
	contended bool
	// unsettled is true if a write at the revision may still take effect.
	unsettled bool
	backoff   *storer.Backoff
}

func newWriter(store storer.Store, key, incarnation string, pace *rate.Limiter, linger time.Duration, done <-chan struct{}) *writer {
	return &writer{
		store:       store,
		key:         key,
		incarnation: incarnation,
		pace:        pace,
		linger:      linger,
		inbox:       make(chan operation, inboxRing),
		done:        done,
		held:        map[ID]Record{},
		backoff:     storer.NewBackoff(firstBackoff, maxBackoff),
	}
}

// tell hands an operation to the writer.
func (wr *writer) tell(on operation) {
	select {
	case wr.inbox <- on:
	case <-wr.done:
	}
}

func (wr *writer) run(ctx context.Context) {
	for wr.await(ctx) {
		err := wr.commit(ctx)
		switch classifier.CodeOf(err) {
		case classifier.OK:
			wr.backoff.Reset()
		case classifier.PlatformConflict:
		default:
			wr.rest(ctx)
		}
	}
}

// await takes operations until a write is due. It returns false when ctx ends.
func (wr *writer) await(ctx context.Context) bool {
	for {
		wr.drain()
		if len(wr.demands) > 0 || wr.unsettled {
			return ctx.Err() == nil
		}
		wr.answerFlushes()
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
			wr.take(on)
		case <-due:
		case <-ctx.Done():
			return false
		}
	}
}

// answerFlushes ends the flushes if all is written.
func (wr *writer) answerFlushes() {
	if !wr.dirtySince.IsZero() {
		return
	}
	for _, fh := range wr.flushes {
		fh.done <- struct{}{}
	}
	wr.flushes = nil
}

// drain takes the operations that are waiting.
func (wr *writer) drain() {
	for {
		select {
		case on := <-wr.inbox:
			wr.take(on)
		default:
			return
		}
	}
}

func (wr *writer) take(on operation) {
	switch on := on.(type) {
	case *demand:
		wr.ask(on)
	case completion:
		wr.complete(on)
	case release:
		if rd, ok := wr.held[on.id]; ok && rd.Serial == on.serial {
			delete(wr.held, on.id)
			wr.touch()
		}
	case flush:
		wr.flushes = append(wr.flushes, on)
	}
}

// ask answers a demand from what never changes or only this writer changes; any
// other demand has to wait for the platform's service.
func (wr *writer) ask(dd *demand) {
	if rd, ok := wr.held[dd.id]; ok {
		dd.answer(Found{
			Record: rd,
			Own:    true,
		}, nil)
		return
	}
	if rd, ok := wr.page[dd.id]; ok && rd.final() && time.Now().Before(rd.Expires) {
		dd.answer(Found{Record: rd}, nil)
		return
	}
	wr.demands = append(wr.demands, dd)
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
	wr.touch()
}

func (wr *writer) touch() {
	if wr.dirtySince.IsZero() {
		wr.dirtySince = time.Now()
	}
}

// rest pauses after a failed call and goes on taking operations.
func (wr *writer) rest(ctx context.Context) {
	due := time.After(wr.backoff.Next())
	for {
		select {
		case on := <-wr.inbox:
			wr.take(on)
		case <-due:
			return
		case <-ctx.Done():
			return
		}
	}
}
