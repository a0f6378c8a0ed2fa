package lister_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-steward/internal/lister"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// TestCachingFleetReadsOncePerInterval reads the list twice per second. The second
// read uses the cache; errors are not cached.
func TestCachingFleetReadsOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New(keeper.WithListLag(0), keeper.WithVMs(storer.VM{
			Name:    "a-01",
			Zone:    "a",
			Address: netip.MustParseAddrPort("127.0.1.1:9000"),
			State:   storer.Live,
		}))
		cf := lister.NewCachingFleet(kr.Zone("a"), time.Second)
		for range 10 {
			for range 2 {
				vms, err := cf.VMs(t.Context())
				must.NoError(t, err)
				must.Len(t, 1, vms)
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(800 * time.Millisecond)
		}
		must.EqOp(t, 10, kr.Counts().Total())
		must.NoError(t, kr.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
		_, err := cf.VMs(t.Context())
		must.EqOp(t, classifier.PlatformUnavailable, classifier.CodeOf(err))
		must.NoError(t, kr.SetFaults())
		_, err = cf.VMs(t.Context())
		must.NoError(t, err)
	})
}
