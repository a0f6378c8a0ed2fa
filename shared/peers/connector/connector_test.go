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

// harness provides a platform, an authority and a directory of key files.
type harness struct {
	t         *testing.T
	keeper    *keeper.Keeper
	authority certifier.KeyPair
	dir       string
}

func newHarness(t *testing.T) *harness {
	authority, err := certifier.NewAuthority("example", time.Now(), lifetime)
	must.NoError(t, err)
	hs := &harness{
		t:         t,
		keeper:    keeper.New(keeper.WithRates(0, 0)),
		authority: authority,
		dir:       t.TempDir(),
	}
	must.NoError(t, certifier.WriteKeyPair(authority, hs.file("authority.crt"), hs.file("authority.key"), false))
	return hs
}

func (hs *harness) file(name string) string { return filepath.Join(hs.dir, name) }

func identity(name, zone string) certifier.Identity {
	return certifier.Identity{
		Name: name,
		Role: reporter.Entry,
		Zone: zone,
	}
}

func (hs *harness) settings(id certifier.Identity, seeds ...netip.AddrPort) connector.Settings {
	pr, err := certifier.Issue(hs.authority, id, time.Now(), lifetime)
	must.NoError(hs.t, err)
	must.NoError(hs.t, certifier.WriteKeyPair(pr, hs.file(id.Name+".crt"), hs.file(id.Name+".key"), true))
	return connector.Settings{
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Authority:   hs.file("authority.crt"),
		Certificate: hs.file(id.Name + ".crt"),
		Key:         hs.file(id.Name + ".key"),
		Seeds:       seeds,
	}
}

// start runs a node until the test ends.
func (hs *harness) start(name, zone string, seeds ...netip.AddrPort) *connector.Connector {
	id := identity(name, zone)
	cr, err := connector.New(hs.settings(id, seeds...), id, netip.AddrPort{}, hs.keeper.Zone(zone), zap.NewNop())
	must.NoError(hs.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- cr.Run(ctx) }()
	hs.t.Cleanup(func() {
		cancel()
		must.ErrorIs(hs.t, <-done, context.Canceled)
	})
	return cr
}

func eventually(t *testing.T, check func() error) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(check), wait.Timeout(30*time.Second), wait.Gap(20*time.Millisecond)))
}

// TestNodeFetchesRecordsFromPeersDuringPlatformOutage runs over
// UDP sockets.
func TestNodeFetchesRecordsFromPeersDuringPlatformOutage(t *testing.T) {
	hs := newHarness(t)
	key := storer.DirectoryPrefix + "a"
	_, err := hs.keeper.Zone("a").Put(t.Context(), key, []byte("targets"), 0, 0)
	must.NoError(t, err)
	first := hs.start("entry-a1", "a")
	second := hs.start("entry-a2", "a", first.Address())
	for _, cr := range []*connector.Connector{first, second} {
		eventually(t, func() error { return checkHolds(t, cr, key) })
	}
	must.NoError(t, hs.keeper.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
	third := hs.start("entry-a3", "a", first.Address())
	eventually(t, func() error { return checkHolds(t, third, key) })
	eventually(t, func() error {
		if count := len(first.Live()); count != 2 {
			return classifier.New(classifier.Internal, "%d members", count)
		}
		return nil
	})
}

func checkHolds(t *testing.T, cr *connector.Connector, key string) error {
	entries, _, err := cr.Store().List(t.Context(), key)
	if err == nil && len(entries) != 1 {
		err = classifier.New(classifier.Internal, "%d entries", len(entries))
	}
	return err
}

func TestCertificateOfAnotherIdentityIsRejected(t *testing.T) {
	hs := newHarness(t)
	settings := hs.settings(identity("entry-a1", "a"))
	_, err := connector.New(settings, identity("entry-a1", "b"), netip.AddrPort{}, hs.keeper.Zone("b"), zap.NewNop())
	must.EqOp(t, classifier.KeysInvalid, classifier.CodeOf(err))
}
