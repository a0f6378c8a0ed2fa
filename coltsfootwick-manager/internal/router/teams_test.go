package router

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// maxKeyDelay is the time within which a configuration with other keys is in force.
const maxKeyDelay = 3 * time.Second

// withKeys returns a stored configuration with one queue that isn't public and one that
// is, and a team that has the keys. Keys are JSON.
func withKeys(version int, keys string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","prefix":"/r/"},{"name":"open","host":"h","prefix":"/open/","public":true}],`+
		`"tenants":[{"name":"a","api_keys":%s},{"name":"odd","api_keys":7}]}`, version, keys)
}

// team returns the team that a key identifies, or "".
func (fx *fixture) team(key string) string {
	rt, err := fx.ro.Route(fx.t.Context(), "h", "/r/x")
	must.NoError(fx.t, err)
	name, _ := rt.Teams.Team(key)
	return name
}

// Guards against revoked keys that stay valid, and granted ones that stay refused.
func TestKeysFollowTheConfiguration(t *testing.T) {
	runWithRouter(t, func(fx *fixture) {
		for version, step := range []struct {
			keys           string
			first, another string
		}{
			{`["k1","k2"]`, "a", "a"},
			{`["k2"]`, "", "a"},
			{`["k1","k2"]`, "a", "a"},
			{`[]`, "", ""},
		} {
			fx.writeConfiguration(withKeys(version+1, step.keys))
			time.Sleep(maxKeyDelay)
			must.Eq(fx.t, step.first, fx.team("k1"), must.Sprint(step))
			must.Eq(fx.t, step.another, fx.team("k2"), must.Sprint(step))
			must.Eq(fx.t, "", fx.team("never"))
		}
		open, err := fx.ro.Route(fx.t.Context(), "h", "/open/x")
		must.NoError(fx.t, err)
		must.True(fx.t, open.Queue.IsPublic)
		_, err = fx.ro.Route(fx.t.Context(), "h", "/removed/x")
		must.Eq(fx.t, classifier.QueueUnknown, classifier.CodeOf(err))
		fx.writeConfiguration(encodeConfiguration(9, "/r/"))
		time.Sleep(maxKeyDelay)
		rt, err := fx.ro.Route(fx.t.Context(), "h", "/r/x")
		must.NoError(fx.t, err)
		must.Nil(fx.t, rt.Teams, must.Sprint("a configuration without teams"))
	})
}

// failingStore fails reads and watches while it is down.
type failingStore struct {
	*keeper.Zone
	isDown atomic.Bool
}

func (fs *failingStore) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	if fs.isDown.Load() {
		return nil, 0, classifier.New(classifier.PlatformUnavailable, "down")
	}
	return fs.Zone.List(ctx, prefix)
}

func (fs *failingStore) Watch(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	if fs.isDown.Load() {
		return nil, 0, classifier.New(classifier.PlatformUnavailable, "down")
	}
	return fs.Zone.Watch(ctx, prefix, after, wait)
}

// Guards against a revoked key that is valid again after a restart, and against calls that
// are served before the newest configuration is read.
func TestRevokedKeyStaysInvalidAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{
			t:  t,
			kr: keeper.New(),
		}
		fx.writeConfiguration(withKeys(1, `["revoked"]`))
		fx.writeConfiguration(withKeys(2, `["k2"]`))
		store := &failingStore{
			Zone: fx.kr.Zone("b"),
		}
		store.isDown.Store(true)
		fx.ro = New(store, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- fx.ro.Run(ctx) }()
		for range 50 {
			_, err := fx.ro.Route(t.Context(), "h", "/r/x")
			must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err))
			time.Sleep(100 * time.Millisecond)
		}
		store.isDown.Store(false)
		time.Sleep(maxKeyDelay)
		must.Eq(t, "", fx.team("revoked"))
		must.Eq(t, "a", fx.team("k2"))
		fx.writeConfiguration(withKeys(3, `["revoked"]`))
		time.Sleep(maxKeyDelay)
		must.Eq(t, "a", fx.team("revoked"), must.Sprint("granted again"))
		cancel()
		<-ended
	})
}

// Guards against queries that fail, and keys that are refused, at a manager that can't
// reach the store.
func TestManagerThatIsCutOffGoesOnWithItsVersion(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		runWithRouter(t, func(fx *fixture) {
			fx.writeConfiguration(withKeys(1, `["k1"]`))
			// A watch that is sent at the same time as the partition begins isn't cut.
			time.Sleep(watchTimeout + watchTimeout/2)
			must.NoError(fx.t, fx.kr.SetFaults(keeper.Partition{Scope: keeper.Scope{Zone: "a", Share: 1}, Refuse: refuse}))
			synctest.Wait()
			fx.writeConfiguration(withKeys(2, `["k2"]`))
			for range 100 {
				must.Eq(fx.t, "a", fx.team("k1"))
				time.Sleep(100 * time.Millisecond)
			}
			must.NoError(fx.t, fx.kr.SetFaults())
			time.Sleep(maxKeyDelay)
			must.Eq(fx.t, "", fx.team("k1"))
			must.Eq(fx.t, "a", fx.team("k2"))
		})
	}
}

// Guards against answers and failures from before a pause that count as knowledge of the
// time after it.
func TestNoticesFromBeforeAPauseShowNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ws := watchState{
			changed: make(chan struct{}),
		}
		ws.noteSynced(time.Now(), 0)
		must.NoError(t, ws.awaitCurrent(t.Context()))
		time.Sleep(maxKeyDelay)
		ws.noteFailure(time.Now())
		ok, _ := ws.isCurrent(time.Now())
		must.False(t, ok, must.Sprint("the failed call was sent before the pause"))
		ws.noteSynced(time.Now(), maxKeyDelay)
		ok, _ = ws.isCurrent(time.Now())
		must.False(t, ok, must.Sprint("the answer was sent before the pause"))
		must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(ws.awaitCurrent(t.Context())))
		go func() {
			time.Sleep(maxAgeWait / 2)
			ws.noteSynced(time.Now(), 0)
		}()
		must.NoError(t, ws.awaitCurrent(t.Context()))
	})
}

// pausedStore has watches that wait for as long as the process is paused, and then fail.
type pausedStore struct {
	*keeper.Zone
	resumed atomic.Pointer[chan struct{}]
}

func (ps *pausedStore) Watch(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	if resumed := ps.resumed.Swap(nil); resumed != nil {
		<-*resumed
		return nil, 0, classifier.New(classifier.PlatformUnavailable, "no data in time")
	}
	return ps.Zone.Watch(ctx, prefix, after, wait)
}

// Guards against revoked keys that a process accepts right after a pause.
func TestRevokedKeyIsRefusedRightAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		store := &pausedStore{
			Zone: kr.Zone("a"),
		}
		fx := &fixture{
			t:  t,
			kr: kr,
			ro: New(store, zap.NewNop()),
		}
		fx.writeConfiguration(withKeys(1, `["k1"]`))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- fx.ro.Run(ctx) }()
		time.Sleep(maxKeyDelay)
		must.Eq(t, "a", fx.team("k1"))
		resumed := make(chan struct{})
		store.resumed.Store(&resumed)
		time.Sleep(2 * watchTimeout)
		fx.writeConfiguration(withKeys(2, `["k2"]`))
		time.Sleep(10 * time.Second)
		close(resumed)
		must.Eq(t, "", fx.team("k1"))
		must.Eq(t, "a", fx.team("k2"))
		cancel()
		<-ended
	})
}

// Guards against keys in the log.
func TestFaultsOfTeamsAreLoggedWithoutTheirKeys(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	ro := New(keeper.New().Zone("a"), zap.New(core))
	cf, ok := ro.decode(storer.Entry{Value: []byte(`{"version":1,"tenants":[{"name":"b","api_keys":["secret"]},{"name":"a","api_keys":["secret"]},{"name":"c","api_keys":["secret",7]}]}`)})
	must.True(t, ok)
	ro.apply(cf)
	name, _ := ro.table.Load().teams.Team("secret")
	must.Eq(t, "a", name)
	must.Eq(t, 3, logs.Len(), must.Sprint("the team that can't be decoded, the key of two teams, and the version"))
	for _, entry := range logs.All() {
		must.False(t, strings.Contains(fmt.Sprint(entry.Message, entry.ContextMap()), "secret"))
	}
}

// Guards against keys of large deployments that identify no team or another one.
func TestEachOfManyKeysIdentifiesItsTeam(t *testing.T) {
	const count = 2000
	tenants := make([]string, 0, count)
	for number := range count {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","api_keys":["first-%d","second-%d"]}`, number, number, number))
	}
	ro := New(keeper.New().Zone("a"), zap.NewNop())
	cf, ok := ro.decode(storer.Entry{Value: []byte(`{"version":1,"tenants":[` + strings.Join(tenants, ",") + `]}`)})
	must.True(t, ok)
	ro.apply(cf)
	for number := range count {
		for _, key := range []string{"first", "second"} {
			name, _ := ro.table.Load().teams.Team(fmt.Sprintf("%s-%d", key, number))
			must.Eq(t, fmt.Sprintf("t%d", number), name)
		}
	}
	_, ok = ro.table.Load().teams.Team("third-1")
	must.False(t, ok)
}
