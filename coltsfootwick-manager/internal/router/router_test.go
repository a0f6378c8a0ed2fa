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

// inForceTime is within what time a configuration has to be in force, from the
// bounds of the standard deployments.
const inForceTime = 2 * time.Second

// configuration returns a configuration with one queue below a prefix.
func configuration(version int, prefix string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","prefix":%q,"service":"s"}],"services":[{"name":"s"}]}`, version, prefix)
}

// stage is a Router that follows a store, in virtual time.
type stage struct {
	t  *testing.T
	kr *keeper.Keeper
	ro *Router
}

// play runs a test with a Router that runs.
func play(t *testing.T, test func(sg *stage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		sg := &stage{
			t:  t,
			kr: kr,
			ro: New(kr.Zone("a"), zap.NewNop()),
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- sg.ro.Run(ctx) }()
		test(sg)
		cancel()
		<-ended
	})
}

// put has the operators write a configuration.
func (sg *stage) put(value []byte) {
	operators := sg.kr.Zone("operators")
	et, err := operators.Get(sg.t.Context(), adapter.ConfigurationKey)
	if classifier.CodeOf(err) != classifier.PlatformNotFound {
		must.NoError(sg.t, err)
	}
	_, err = operators.Put(sg.t.Context(), adapter.ConfigurationKey, value, et.Revision, storer.LeaseID(0))
	must.NoError(sg.t, err)
}

// has reports whether a path has a queue.
func (sg *stage) has(path string) bool {
	_, _, err := sg.ro.Queue("h", path)
	return err == nil
}

func TestConfigurationIsInForceWithinItsBound(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault keeper.Fault
		// length is how long the fault lasts after the write.
		length time.Duration
	}{
		{"calm", nil, 0},
		{"watch cut", keeper.WatchCut{Scope: keeper.Scope{Share: 1}}, 500 * time.Millisecond},
		{"watch repeated", keeper.WatchRepeat{Scope: keeper.Scope{Share: 0.5}}, 500 * time.Millisecond},
		{"store out just before", keeper.Out{Scope: keeper.Scope{Zone: "a", Share: 1}}, 500 * time.Millisecond},
		{"store slow", keeper.Slow{Scope: keeper.Scope{Zone: "a", Share: 1}, Delay: 200 * time.Millisecond}, inForceTime},
	} {
		t.Run(row.name, func(t *testing.T) {
			play(t, func(sg *stage) {
				sg.put(configuration(1, "/old/"))
				time.Sleep(inForceTime)
				must.True(t, sg.has("/old/x"))
				if row.fault != nil {
					must.NoError(t, sg.kr.SetFaults(row.fault))
				}
				time.Sleep(100 * time.Millisecond)
				sg.put(configuration(2, "/new/"))
				time.Sleep(row.length)
				must.NoError(t, sg.kr.SetFaults())
				time.Sleep(inForceTime - row.length)
				must.True(t, sg.has("/new/x"))
				must.False(t, sg.has("/old/x"))
			})
		})
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	play(t, func(sg *stage) {
		sg.put(configuration(5, "/new/"))
		time.Sleep(inForceTime)
		sg.put(configuration(4, "/old/"))
		sg.put([]byte(`{"version":`))
		time.Sleep(inForceTime)
		must.True(t, sg.has("/new/x"))
		must.False(t, sg.has("/old/x"))
	})
}

func TestCallsAreRefusedAsUnavailableBeforeTheFirstConfiguration(t *testing.T) {
	_, _, err := New(keeper.New().Zone("a"), zap.NewNop()).Queue("h", "/p/x")
	must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err), must.Sprint("an unknown queue would tell callers to give up"))
}

func TestLongestPrefixNamesTheQueue(t *testing.T) {
	play(t, func(sg *stage) {
		sg.put([]byte(`{"version":1,"routes":[{"name":"short","host":"h","prefix":"/p/","service":"s"},{"name":"long","host":"h","prefix":"/p/q/","service":"s"}],"services":[{"name":"s"}]}`))
		time.Sleep(inForceTime)
		qu, _, err := sg.ro.Queue("h", "/p/q/x")
		must.NoError(t, err)
		must.Eq(t, "long", qu.Name)
		_, _, err = sg.ro.Queue("other", "/p/q/x")
		must.Eq(t, classifier.QueueUnknown, classifier.CodeOf(err))
	})
}
