package runner_test

import (
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-steward/internal/initialiser"
	"coltsfootwick.example/coltsfootwick-steward/internal/runner"
	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// settingsWithPeers returns the settings of a steward with peers, and issues its
// certificate for a role.
func settingsWithPeers(t *testing.T, role reporter.Role) initialiser.Settings {
	t.Helper()
	authority, err := certifier.NewAuthority("example", time.Now(), time.Hour)
	must.NoError(t, err)
	pr, err := certifier.Issue(authority, certifier.Identity{
		Name: "a-s1",
		Role: role,
		Zone: "a",
	}, time.Now(), time.Hour)
	must.NoError(t, err)
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	must.NoError(t, certifier.WriteKeyPair(authority, file("authority.crt"), file("authority.key"), false))
	must.NoError(t, certifier.WriteKeyPair(pr, file("a-s1.crt"), file("a-s1.key"), false))
	return initialiser.Settings{
		Name:         "a-s1",
		Zone:         "a",
		Operators:    netip.MustParseAddrPort("127.0.0.1:0"),
		LeaseTTL:     5 * time.Second,
		ListInterval: 50 * time.Millisecond,
		Peers: &connector.Settings{
			Address:     netip.MustParseAddrPort("127.0.0.1:0"),
			Authority:   file("authority.crt"),
			Certificate: file("a-s1.crt"),
			Key:         file("a-s1.key"),
		},
	}
}

func TestStewardFollowsSettingsThroughRelay(t *testing.T) {
	kr := keeper.New()
	data, err := configurer.EncodeRecord(configurer.Record{
		Revision: 1,
		ChangeID: "c1",
		Source:   "[organisation]\nname = \"Test\"\n\n[pools.claims]\n",
	})
	must.NoError(t, err)
	_, err = kr.Zone("a").Put(t.Context(), storer.SettingsHeadKey, data, 0, 0)
	must.NoError(t, err)
	rr, err := runner.New(settingsWithPeers(t, reporter.Steward), kr.Zone("a"), kr.Zone("a"), zap.NewNop())
	must.NoError(t, err)
	done := make(chan error, 1)
	ctx := t.Context()
	go func() { done <- rr.Run(ctx) }()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return rr.Status().Revision == 1 && rr.Ready() == nil }),
		wait.Timeout(20*time.Second),
		wait.Gap(10*time.Millisecond),
	))
	t.Cleanup(func() { must.NoError(t, <-done) })
}

func TestStewardRejectsEntryCertificate(t *testing.T) {
	kr := keeper.New()
	_, err := runner.New(settingsWithPeers(t, reporter.Entry), kr.Zone("a"), kr.Zone("a"), zap.NewNop())
	must.EqOp(t, classifier.KeysInvalid, classifier.CodeOf(err))
}
