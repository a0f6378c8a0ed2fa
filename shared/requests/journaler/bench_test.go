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

// BenchmarkClaimFinish measures Claim and Finish of one key with concurrent
// callers and a platform without latency. Records expire soon, so that the
// shards don't grow with the number of iterations.
func BenchmarkClaimFinish(b *testing.B) {
	const (
		callers   = 64
		retention = 50 * time.Millisecond
	)
	kr := keeper.New(keeper.WithRates(0, 0))
	journal := journaler.New(kr.Zone("a"), "bench", journaler.WithWriteRate(1e6))
	ctx, cancel := context.WithCancel(b.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = journal.Run(ctx)
	}()
	keys := make(chan int)
	finished := make(chan struct{})
	for range callers {
		go func() {
			for key := range keys {
				claim(ctx, b, journal, key, retention)
				finished <- struct{}{}
			}
		}()
	}
	b.ReportAllocs()
	key, running := 0, 0
	for b.Loop() {
		if running == callers {
			<-finished
			running--
		}
		keys <- key
		key++
		running++
	}
	for ; running > 0; running-- {
		<-finished
	}
	close(keys)
	cancel()
	<-stopped
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
