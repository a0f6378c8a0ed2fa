package journaler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/journaler"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// lossyStore applies the first write but returns an ambiguous error after the
// claim has timed out, and fails the second write.
type lossyStore struct {
	storer.Store
	writes int
}

func (ls *lossyStore) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	ls.writes++
	switch ls.writes {
	case 1:
		_, _ = ls.Store.Put(ctx, key, value, expected, lease)
		time.Sleep(time.Second)
		return 0, classifier.New(classifier.PlatformAmbiguous, "answer lost")
	case 2:
		return 0, classifier.New(classifier.PlatformUnavailable, "out")
	default:
		return ls.Store.Put(ctx, key, value, expected, lease)
	}
}

// TestAbandonedClaimIsRemoved checks that a claim written after its request has
// timed out is removed again, even if the first write that removes it fails.
// Otherwise the key would stay claimed until the record expires.
func TestAbandonedClaimIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		kr := keeper.New()
		first := journaler.New(&lossyStore{Store: kr.Zone("a")}, "i1")
		second := journaler.New(kr.Zone("a"), "i2")
		go func() { _ = first.Run(ctx) }()
		go func() { _ = second.Run(ctx) }()
		timeoutCtx, cancelTimeout := context.WithTimeout(ctx, 500*time.Millisecond)
		_, err := claimKey(timeoutCtx, first, 1)
		cancelTimeout()
		must.EqOp(t, classifier.JournalUnavailable, classifier.CodeOf(err))
		time.Sleep(5 * time.Second)
		result, err := claimKey(ctx, second, 1)
		must.NoError(t, err)
		granted, ok := result.(journaler.Granted)
		must.True(t, ok, must.Sprintf("%+v", result))
		must.NotNil(t, granted.Claim)
		cancel()
		synctest.Wait()
	})
}
