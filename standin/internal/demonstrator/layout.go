package demonstrator

import (
	"fmt"
	"net/netip"
	"time"

	"coltsfootwick.example/standin/internal/allocator"
)

// The sizes of the demo.
const (
	entriesPerZone  = 2
	stewardsPerZone = 2
	targetsPerPool  = 3
	spareTargets    = 1
	racksPerZone    = 2
	// firstTargetHost is the last byte of the address of a zone's first target.
	firstTargetHost = 101
	// platformHost is the last byte of the platform's address in a zone.
	platformHost = 250
)

// The pools of the demo; they match its settings file.
var pools = []string{"claims", "dispatch"}

const sparePool = "spare"

// layout is where everything of the demo listens. Availability zone N has the
// addresses 127.BLOCK.N.x.
type layout struct {
	Seed          uint64
	Length        time.Duration
	PlatformAdmin netip.AddrPort
	Zones         []zoneLayout
}

type zoneLayout struct {
	Name     string
	Platform netip.AddrPort
	Entries  []nodeLayout
	Stewards []nodeLayout
	Targets  []targetLayout
}

// nodeLayout is an entry or a steward; a steward takes no callers' requests.
type nodeLayout struct {
	Name      string
	Zone      string
	Address   netip.AddrPort
	Operators netip.AddrPort
	Platform  netip.AddrPort
}

type targetLayout struct {
	Name    string
	Zone    string
	Rack    string
	Pool    string
	Address netip.AddrPort
	Admin   netip.AddrPort
}

// newLayout chooses ports that nothing listens on.
func newLayout(seed uint64, length time.Duration) (layout, error) {
	ar := allocator.New()
	lt := layout{
		Seed:          seed,
		Length:        length,
		PlatformAdmin: ar.Find(0, platformHost),
	}
	for index, name := range []string{"a", "b", "c"} {
		lt.Zones = append(lt.Zones, newZoneLayout(ar, name, byte(index+1)))
	}
	return lt, ar.Err()
}

func newZoneLayout(ar *allocator.Allocator, name string, number byte) zoneLayout {
	zl := zoneLayout{
		Name:     name,
		Platform: ar.Find(number, platformHost),
	}
	for host := range byte(entriesPerZone) {
		zl.Entries = append(zl.Entries, nodeLayout{
			Name:      fmt.Sprintf("entry-%s-%d", name, host+1),
			Zone:      name,
			Address:   ar.Find(number, host+1),
			Operators: ar.Find(number, host+1),
			Platform:  zl.Platform,
		})
	}
	for host := range byte(stewardsPerZone) {
		zl.Stewards = append(zl.Stewards, nodeLayout{
			Name:      fmt.Sprintf("steward-%s-%d", name, host+1),
			Zone:      name,
			Operators: ar.Find(number, host+1),
			Platform:  zl.Platform,
		})
	}
	for _, pool := range pools {
		zl.addTargets(ar, number, pool, targetsPerPool)
	}
	zl.addTargets(ar, number, sparePool, spareTargets)
	return zl
}

func (zl *zoneLayout) addTargets(ar *allocator.Allocator, number byte, pool string, count int) {
	for range count {
		index := len(zl.Targets)
		host := byte(firstTargetHost + index)
		zl.Targets = append(zl.Targets, targetLayout{
			Name:    fmt.Sprintf("%s-%02d", zl.Name, index+1),
			Zone:    zl.Name,
			Rack:    fmt.Sprintf("%s-r%d", zl.Name, index%racksPerZone+1),
			Pool:    pool,
			Address: ar.Find(number, host),
			Admin:   ar.Find(number, host),
		})
	}
}

// targetOf returns the first target of a pool.
func (zl zoneLayout) targetOf(pool string) targetLayout {
	for _, tl := range zl.Targets {
		if tl.Pool == pool {
			return tl
		}
	}
	return targetLayout{}
}
