package runner_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"coltsfootwick.example/coltsfootwick-entry/internal/conductor"
	"coltsfootwick.example/shared/fleet/surveyor"
	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/requests/scheduler"
	"coltsfootwick.example/shared/store/keeper"
)

// peerSettings issues a certificate for an entry of the test's zone.
func peerSettings(t *testing.T, authority certifier.KeyPair, dir, name string, seeds ...netip.AddrPort) *connector.Settings {
	t.Helper()
	pr, err := certifier.Issue(authority, certifier.Identity{
		Name: name,
		Role: reporter.Entry,
		Zone: testZone,
	}, time.Now(), time.Hour)
	must.NoError(t, err)
	file := func(name string) string { return filepath.Join(dir, name) }
	must.NoError(t, certifier.WriteKeyPair(authority, file("authority.crt"), file("authority.key"), true))
	must.NoError(t, certifier.WriteKeyPair(pr, file(name+".crt"), file(name+".key"), true))
	return &connector.Settings{
		Address:     loopback(),
		Authority:   file("authority.crt"),
		Certificate: file(name + ".crt"),
		Key:         file(name + ".key"),
		Seeds:       seeds,
	}
}

func newAuthority(t *testing.T) certifier.KeyPair {
	t.Helper()
	authority, err := certifier.NewAuthority("example", time.Now(), time.Hour)
	must.NoError(t, err)
	return authority
}

// leavingRecorder is a Scheduler that records whether it was ever given a leaving
// target.
type leavingRecorder struct {
	scheduler.Scheduler

	isLeaving *atomic.Bool
}

func (lr leavingRecorder) SetTargets(now time.Time, targets []scheduler.Target) []scheduler.Action {
	for _, tt := range targets {
		lr.isLeaving.Store(lr.isLeaving.Load() || tt.Leaving)
	}
	return lr.Scheduler.SetTargets(now, targets)
}

// TestEntryLearnsSettingsAndLeavingTargetsFromPeers starts an entry while the
// platform is unavailable. It must get ready, and treat a target as leaving that
// refused another entry's request. The load reported to the stewards must show as
// leaving only targets that the directory lists so.
func TestEntryLearnsSettingsAndLeavingTargetsFromPeers(t *testing.T) {
	address := rawTarget(t, func(conn net.Conn, hr *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nColtsfootwick-Draining: true\r\n"+
			"Coltsfootwick-Attempt: %s\r\nContent-Length: 0\r\n\r\n", hr.Header.Get("Coltsfootwick-Attempt"))
		return err == nil
	})
	kr := testPlatform(t, address)
	authority := newAuthority(t)
	dir := t.TempDir()
	first := startEntryWith(t, kr, "a-e1", peerSettings(t, authority, dir, "a-e1"))
	awaitReady(t, first)
	must.NoError(t, kr.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
	var isLeaving atomic.Bool
	second := startEntryWith(t, kr, "a-e2", peerSettings(t, authority, dir, "a-e2", first.PeerAddress()),
		conductor.WithScheduler(func(config scheduler.Config) scheduler.Scheduler {
			return leavingRecorder{
				Scheduler: scheduler.New(config),
				isLeaving: &isLeaving,
			}
		}))
	awaitReady(t, second)
	must.False(t, isLeaving.Load())
	_, metrics := get(t, second.operatorsURL("/metrics"))
	must.StrContains(t, metrics, "coltsfootwick_entry_peers 1\n")
	client := &http.Client{Timeout: time.Second}
	_ = postRequest(client, first.url("/claims/check"))
	must.Wait(t, wait.InitialSuccess(
		wait.ErrorFunc(func() error {
			if !isLeaving.Load() {
				return errors.New("the entry does not yet know that the target is leaving")
			}
			return nil
		}),
		wait.Timeout(20*time.Second),
		wait.Gap(5*time.Millisecond),
	))
	awaitLoad(t, second, surveyor.TargetLoad{VM: "a-01"}, 0)
}
