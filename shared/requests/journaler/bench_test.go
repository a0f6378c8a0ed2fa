package journaler_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"coltsfootwick.example/shared/requests/journaler"
	"coltsfootwick.example/shared/store/keeper"
)

// BenchmarkClaimFinish measures a key's way through the journal, with callers
// side by side and a platform that answers at once. Records are short-lived, so
// that the shards don't grow with the number of rounds.
func BenchmarkClaimFinish(b *testing.B) {
	const (
		callers   = 64
		retention = 50 * time.Millisecond
	)
	kr := keeper.New(keeper.WithRates(0, 0))
	journal := journaler.New(kr.Zone("a"), "bench", journaler.WithWriteRate(1e6))
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = journal.Run(ctx)
	}()
	keys := make(chan int)
	done := make(chan struct{})
	for range callers {
		go func() {
			for key := range keys {
				claim(ctx, b, journal, key, retention)
				done <- struct{}{}
			}
		}()
	}
	b.ReportAllocs()
	key, running := 0, 0
	for b.Loop() {
		if running == callers {
			<-done
			running--
		}
		keys <- key
		key++
		running++
	}
	for ; running > 0; running-- {
		<-done
	}
	close(keys)
	cancel()
	<-ended
}

func claim(ctx context.Context, b *testing.B, journal *journaler.Journal, key int, retention time.Duration) {
	expires := time.Now().Add(retention)
	result, err := journal.Claim(ctx, journaler.NewID("claims", fmt.Sprint(key)), journaler.Digest{}, expires)
	if err != nil {
		b.Error(err)
		return
	}
	granted, ok := result.(journaler.Granted)
	if !ok {
		b.Errorf("key %d was claimed before", key)
		return
	}
	granted.Claim.Finish(http.StatusOK, nil, expires)
}
