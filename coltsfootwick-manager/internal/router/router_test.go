package router

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// maxApplyDelay is the time within which a configuration has to be applied in
// the standard deployments.
const maxApplyDelay = 2 * time.Second

// encodeConfiguration returns a stored configuration with one queue, which
// serves the paths below prefix.
func encodeConfiguration(version int, prefix string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","prefix":%q,"service":"s"}],"services":[{"name":"s"}]}`, version, prefix)
}

// fixture is a Router with the store that it watches.
type fixture struct {
	t  *testing.T
	kr *keeper.Keeper
	ro *Router
}

// runWithRouter runs a test in virtual time with a running Router.
func runWithRouter(t *testing.T, test func(fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		fx := &fixture{
			t:  t,
			kr: kr,
			// The store's client waits as long for an answer.
			ro: New(kr.Zone("a", keeper.WithCallTimeout(time.Second)), zap.NewNop()),
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- fx.ro.Run(ctx) }()
		test(fx)
		cancel()
		<-ended
	})
}

// writeConfiguration stores a configuration as an operator does.
func (fx *fixture) writeConfiguration(value []byte) {
	operators := fx.kr.Zone("operators")
	et, err := operators.Get(fx.t.Context(), adapter.ConfigurationKey)
	if classifier.CodeOf(err) != classifier.PlatformNotFound {
		must.NoError(fx.t, err)
	}
	_, err = operators.Put(fx.t.Context(), adapter.ConfigurationKey, value, et.Revision, storer.LeaseID(0))
	must.NoError(fx.t, err)
}

// hasQueue reports whether the Router has a queue for a path.
func (fx *fixture) hasQueue(path string) bool {
	_, err := fx.ro.Route(fx.t.Context(), "h", path)
	return err == nil
}

func TestConfigurationIsAppliedWithinTwoSeconds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault keeper.Fault
		// duration is how long the fault persists after the write.
		duration time.Duration
	}{
		{"calm", nil, 0},
		{"watch interrupted", keeper.WatchBroken{Scope: keeper.Scope{Share: 1}}, 500 * time.Millisecond},
		{"watch events repeated", keeper.WatchReplay{Scope: keeper.Scope{Share: 0.5}}, 500 * time.Millisecond},
		{"store unavailable before the write", keeper.Outage{Scope: keeper.Scope{Zone: "a", Share: 1}}, 500 * time.Millisecond},
		{"slow store", keeper.Slow{Scope: keeper.Scope{Zone: "a", Share: 1}, Delay: 200 * time.Millisecond}, maxApplyDelay},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithRouter(t, func(fx *fixture) {
				fx.writeConfiguration(encodeConfiguration(1, "/old/"))
				time.Sleep(maxApplyDelay)
				must.True(t, fx.hasQueue("/old/x"))
				if tc.fault != nil {
					must.NoError(t, fx.kr.SetFaults(tc.fault))
				}
				time.Sleep(100 * time.Millisecond)
				fx.writeConfiguration(encodeConfiguration(2, "/new/"))
				time.Sleep(tc.duration)
				must.NoError(t, fx.kr.SetFaults())
				time.Sleep(maxApplyDelay - tc.duration)
				must.True(t, fx.hasQueue("/new/x"))
				must.False(t, fx.hasQueue("/old/x"))
			})
		})
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	runWithRouter(t, func(fx *fixture) {
		fx.writeConfiguration(encodeConfiguration(5, "/new/"))
		time.Sleep(maxApplyDelay)
		fx.writeConfiguration(encodeConfiguration(4, "/old/"))
		fx.writeConfiguration([]byte(`{"version":`))
		time.Sleep(maxApplyDelay)
		must.True(t, fx.hasQueue("/new/x"))
		must.False(t, fx.hasQueue("/old/x"))
	})
}

func TestQueueIsUnavailableBeforeFirstConfiguration(t *testing.T) {
	_, err := New(keeper.New().Zone("a"), zap.NewNop()).Route(t.Context(), "h", "/p/x")
	must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err), must.Sprint("QueueUnknown would make callers stop retrying"))
}

func TestLongestPrefixSelectsQueue(t *testing.T) {
	runWithRouter(t, func(fx *fixture) {
		fx.writeConfiguration([]byte(`{"version":1,"routes":[{"name":"short","host":"h","prefix":"/p/","service":"s"},{"name":"long","host":"h","prefix":"/p/q/","service":"s"}],"services":[{"name":"s"}]}`))
		time.Sleep(maxApplyDelay)
		rt, err := fx.ro.Route(t.Context(), "h", "/p/q/x")
		must.NoError(t, err)
		must.Eq(t, "long", rt.Queue.Name)
		_, err = fx.ro.Route(t.Context(), "other", "/p/q/x")
		must.Eq(t, classifier.QueueUnknown, classifier.CodeOf(err))
	})
}
