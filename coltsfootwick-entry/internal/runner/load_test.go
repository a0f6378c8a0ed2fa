package runner_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/fleet/surveyor"
)

// TestLoadReportsInFlightAtLeavingTarget marks a target as leaving while a request
// is in flight there. The entry's load must show the target as leaving, and its
// request as in flight until it has ended.
func TestLoadReportsInFlightAtLeavingTarget(t *testing.T) {
	arrived := make(chan struct{})
	finish := make(chan struct{})
	address := rawTarget(t, func(conn net.Conn, _ *http.Request) bool {
		close(arrived)
		<-finish
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		return err == nil
	})
	kr := testPlatform(t, address)
	te := startEntry(t, kr, "a-e1")
	awaitReady(t, te)
	answered := make(chan error, 1)
	go func() { answered <- postRequest(http.DefaultClient, te.url("/claims/file")) }()
	<-arrived
	awaitLoad(t, te, surveyor.TargetLoad{VM: "a-01", InFlight: 1}, 1)
	putDirectory(t, kr, registrar.Directory{
		Zone:    testZone,
		Epoch:   1,
		Version: 2,
		Targets: []registrar.Target{{
			VM:      "a-01",
			Address: netip.MustParseAddrPort(address),
			Pool:    "claims",
			Rack:    "a-r1",
			State:   registrar.Leaving,
		}},
	})
	awaitLoad(t, te, surveyor.TargetLoad{VM: "a-01", Leaving: true, InFlight: 1}, 1)
	close(finish)
	must.NoError(t, <-answered)
	awaitLoad(t, te, surveyor.TargetLoad{VM: "a-01", Leaving: true}, 0)
}

// awaitLoad waits until the entry reports one target with the given load, and the
// given urgent demand.
func awaitLoad(t *testing.T, te testEntry, want surveyor.TargetLoad, urgent float64) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.ErrorFunc(func() error {
			_, body := get(t, te.operatorsURL(surveyor.Path))
			ld, err := surveyor.Decode([]byte(body))
			if err != nil {
				return err
			}
			if len(ld.Targets) != 1 || ld.Targets[0] != want || len(ld.Pools) != 1 || ld.Pools[0].UrgentSlots != urgent {
				return fmt.Errorf("load is %s", body)
			}
			return nil
		}),
		wait.Timeout(10*time.Second),
		wait.Gap(5*time.Millisecond),
	))
}
