package sloper

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/journaler"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// journalCallers is the number of keys claimed at once.
	journalCallers = 64
	// journalWriteRate is above what a run asks for.
	journalWriteRate = 1000
	// sharedKeys are the keys that entries run together.
	sharedKeys   = 1024
	answerBytes  = 256
	keyRetention = time.Hour
	keysPerSize  = 16
)

// measureJournal measures the journal's shards and writes as keys grow.
func measureJournal(ctx context.Context) ([]*series, error) {
	var (
		bytes  = &series{name: "journalBytes", unit: "B", per: "key"}
		writes = &series{name: "journalWrites", unit: "writes", per: "key"}
		shared = &series{name: "journalWritesOfManyEntries", unit: "writes", per: "entry"}
		reads  = &series{name: "journalReadsOfManyEntries", unit: "reads", per: "entry"}
	)
	for _, size := range sizes {
		keys := size * keysPerSize
		kr := keeper.New(keeper.WithRates(0, 0))
		if err := fillJournal(ctx, kr.Zone("a"), keys); err != nil {
			return nil, err
		}
		writes.add(float64(keys), float64(kr.Counts().Zones["a"].Calls[keeper.KindPut]))
		entries, _, err := kr.Zone("reader").List(ctx, storer.JournalPrefix)
		if err != nil {
			return nil, err
		}
		total := 0
		for _, et := range entries {
			total += len(et.Value)
		}
		bytes.add(float64(keys), float64(total))
	}
	for _, entries := range zoneCounts {
		counts, err := shareJournal(ctx, entries)
		if err != nil {
			return nil, err
		}
		shared.add(float64(entries), float64(counts[keeper.KindPut]))
		reads.add(float64(entries), float64(counts[keeper.KindGet]))
	}
	return []*series{bytes, writes, shared, reads}, nil
}

// shareJournal lets entries run sharedKeys keys together, each with its part of
// the keys and of the callers, and returns their calls.
func shareJournal(ctx context.Context, entries int) (map[keeper.Kind]uint64, error) {
	kr := keeper.New(keeper.WithRates(0, 0))
	failures := make(chan error, entries)
	for entry := range entries {
		journal := journaler.New(kr.Zone("entries"), fmt.Sprintf("entry-%d", entry), journaler.WithWriteRate(journalWriteRate))
		go func() { failures <- runKeys(ctx, journal, entry, entries, sharedKeys) }()
	}
	var err error
	for range entries {
		err = errors.Join(err, <-failures)
	}
	return kr.Counts().Zones["entries"].Calls, err
}

// fillJournal claims and finishes keys, journalCallers at once.
func fillJournal(ctx context.Context, store storer.Store, keys int) error {
	journal := journaler.New(store, "slopes", journaler.WithWriteRate(journalWriteRate))
	return runKeys(ctx, journal, 0, 1, keys)
}

// runKeys runs an entry's part of the keys: its part of the callers claim and
// finish them, one after the other.
func runKeys(ctx context.Context, journal *journaler.Journal, entry, entries, keys int) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = journal.Run(ctx) })
	defer running.Wait()
	defer cancel()
	var callers sync.WaitGroup
	failures := make(chan error, journalCallers)
	for caller := entry; caller < journalCallers; caller += entries {
		callers.Go(func() {
			for key := caller; key < keys; key += journalCallers {
				if err := runKey(ctx, journal, key); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	callers.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return journal.Flush(ctx)
	}
}

func runKey(ctx context.Context, journal *journaler.Journal, key int) error {
	expires := time.Now().Add(keyRetention)
	id := journaler.NewID("claims", fmt.Sprintf("key-%d", key))
	digest := journaler.NewDigest(http.MethodPost, "/claims/file", nil)
	result, err := journal.Claim(ctx, id, digest, expires)
	if err != nil {
		return err
	}
	granted, ok := result.(journaler.Granted)
	if !ok {
		return classifier.New(classifier.Internal, "key %d was claimed before", key)
	}
	granted.Claim.Finish(http.StatusOK, &journaler.Answer{
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   make([]byte, answerBytes),
	}, expires)
	return nil
}
