package announcer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/announcer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/keeper"
)

func TestMemberIsRepublishedAfterOutageAndWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		store := kr.Zone("a")
		ar := announcer.New(store, reporter.Member{
			Name: "a-e1",
			Role: reporter.Entry,
			Zone: "a",
		}, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- ar.Run(ctx) }()
		time.Sleep(time.Minute)
		_, err := kr.Zone("b").Get(t.Context(), "members/a-e1")
		must.NoError(t, err)
		must.NoError(t, kr.SetFaults(keeper.Outage{Scope: keeper.Scope{Zone: "a", Share: 1}}))
		time.Sleep(time.Minute)
		_, err = kr.Zone("b").Get(t.Context(), "members/a-e1")
		must.EqOp(t, classifier.PlatformNotFound, classifier.CodeOf(err))
		must.NoError(t, kr.SetFaults())
		time.Sleep(announcer.DefaultTTL)
		_, err = kr.Zone("b").Get(t.Context(), "members/a-e1")
		must.NoError(t, err)
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
		_, err = kr.Zone("b").Get(t.Context(), "members/a-e1")
		must.EqOp(t, classifier.PlatformNotFound, classifier.CodeOf(err))
	})
}
