package provider

import (
	"context"
	"sync"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// writeInterval is the time between two attempts to write to the store.
const writeInterval = 20 * time.Millisecond

// writer makes the platform's own writes to the store, in order. It repeats each until
// it succeeds, since the store may be impaired. No attempt has a time limit: one that
// was given up could still take effect after later writes.
type writer struct {
	store storer.TransactionStore
	// stop is closed when the writer ends, and wake has an element if there may be
	// writes.
	stop chan struct{}
	wake chan struct{}

	mu     sync.Mutex
	writes []write
}

// write is a write to the store. done is closed once it has succeeded.
type write struct {
	transaction storer.Transaction
	done        chan struct{}
}

func newWriter(store storer.TransactionStore, stop chan struct{}) *writer {
	return &writer{
		store: store,
		stop:  stop,
		wake:  make(chan struct{}, 1),
	}
}

// put writes a key. The channel is closed once the store has acknowledged it.
func (wr *writer) put(key string, value []byte) <-chan struct{} {
	return wr.add(storer.Transaction{
		Writes: []storer.Write{{Key: key, Value: value}},
	})
}

// remove deletes a key.
func (wr *writer) remove(key string) {
	wr.add(storer.Transaction{
		Deletes: []string{key},
	})
}

func (wr *writer) add(tx storer.Transaction) <-chan struct{} {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	done := make(chan struct{})
	wr.writes = append(wr.writes, write{
		transaction: tx,
		done:        done,
	})
	select {
	case wr.wake <- struct{}{}:
	default:
	}
	return done
}

// run makes the writes until stop is closed.
func (wr *writer) run() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-wr.stop
		cancel()
	}()
	for {
		select {
		case <-wr.wake:
		case <-wr.stop:
			return
		}
		for {
			next, ok := wr.next()
			if !ok {
				break
			}
			if !wr.commit(ctx, next) {
				return
			}
		}
	}
}

// next removes the first write that waits.
func (wr *writer) next() (write, bool) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if len(wr.writes) == 0 {
		return write{}, false
	}
	first := wr.writes[0]
	wr.writes = wr.writes[1:]
	return first, true
}

// commit repeats a write until it succeeds. It reports false if stop is closed
// before.
func (wr *writer) commit(ctx context.Context, next write) bool {
	for {
		if _, err := wr.store.Commit(ctx, next.transaction); err == nil {
			close(next.done)
			return true
		}
		select {
		case <-time.After(writeInterval):
		case <-wr.stop:
			return false
		}
	}
}
