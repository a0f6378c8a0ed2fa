package connector_test

import (
	"context"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

const lifetime = time.Hour

// bench is a platform, an authority and a directory of keys.
type bench struct {
	t         *testing.T
	keeper    *keeper.Keeper
	authority certifier.KeyPair
	dir       string
}

func newBench(t *testing.T) *bench {
	authority, err := certifier.NewAuthority("example", time.Now(), lifetime)
	must.NoError(t, err)
	bh := &bench{
		t:         t,
		keeper:    keeper.New(keeper.WithRates(0, 0)),
		authority: authority,
		dir:       t.TempDir(),
	}
	must.NoError(t, certifier.WriteKeyPair(authority, bh.file("authority.crt"), bh.file("authority.key"), false))
	return bh
}

func (bh *bench) file(name string) string { return filepath.Join(bh.dir, name) }

func identity(name, zone string) certifier.Identity {
	return certifier.Identity{
		Name: name,
		Role: reporter.Entry,
		Zone: zone,
	}
}

func (bh *bench) settings(id certifier.Identity, seeds ...netip.AddrPort) connector.Settings {
	pr, err := certifier.Issue(bh.authority, id, time.Now(), lifetime)
	must.NoError(bh.t, err)
	must.NoError(bh.t, certifier.WriteKeyPair(pr, bh.file(id.Name+".crt"), bh.file(id.Name+".key"), true))
	return connector.Settings{
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Authority:   bh.file("authority.crt"),
		Certificate: bh.file(id.Name + ".crt"),
		Key:         bh.file(id.Name + ".key"),
		Seeds:       seeds,
	}
}

// start runs a node until the test ends.
func (bh *bench) start(name, zone string, seeds ...netip.AddrPort) *connector.Connector {
	id := identity(name, zone)
	cr, err := connector.New(bh.settings(id, seeds...), id, netip.AddrPort{}, bh.keeper.Zone(zone), zap.NewNop())
	must.NoError(bh.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- cr.Run(ctx) }()
	bh.t.Cleanup(func() {
		cancel()
		must.ErrorIs(bh.t, <-ended, context.Canceled)
	})
	return cr
}

func eventually(t *testing.T, check func() error) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(check), wait.Timeout(30*time.Second), wait.Gap(20*time.Millisecond)))
}

// TestNodeTakesRecordsFromPeersWhileThePlatformIsOut runs over sockets.
func TestNodeTakesRecordsFromPeersWhileThePlatformIsOut(t *testing.T) {
	bh := newBench(t)
	key := storer.DirectoryPrefix + "a"
	_, err := bh.keeper.Zone("a").Put(t.Context(), key, []byte("targets"), 0, 0)
	must.NoError(t, err)
	first := bh.start("entry-a1", "a")
	second := bh.start("entry-a2", "a", first.Address())
	for _, cr := range []*connector.Connector{first, second} {
		eventually(t, func() error { return holds(t, cr, key) })
	}
	must.NoError(t, bh.keeper.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
	third := bh.start("entry-a3", "a", first.Address())
	eventually(t, func() error { return holds(t, third, key) })
	eventually(t, func() error {
		if count := len(first.Live()); count != 2 {
			return classifier.New(classifier.Internal, "%d members", count)
		}
		return nil
	})
}

func holds(t *testing.T, cr *connector.Connector, key string) error {
	entries, _, err := cr.Store().List(t.Context(), key)
	if err == nil && len(entries) != 1 {
		err = classifier.New(classifier.Internal, "%d entries", len(entries))
	}
	return err
}

func TestCertificateMustBeThatOfTheProcess(t *testing.T) {
	bh := newBench(t)
	settings := bh.settings(identity("entry-a1", "a"))
	_, err := connector.New(settings, identity("entry-a1", "b"), netip.AddrPort{}, bh.keeper.Zone("b"), zap.NewNop())
	must.EqOp(t, classifier.KeysInvalid, classifier.CodeOf(err))
}
