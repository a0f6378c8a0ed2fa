// Package evaluator measures the policy of moves and spare VMs in virtual time,
// beside plain baselines: what the spare buffer costs, how many VMs move, and
// how much urgent demand is not met. The same seed gives the same figures.
package evaluator

import (
	"fmt"
	"net/netip"
	"time"

	"coltsfootwick.example/shared/fleet/recorder"
)

// Deployment is the size and the demand of one user's fleet.
type Deployment struct {
	// Name is the user's name in lower case.
	Name string
	// Zones is the number of availability zones.
	Zones int
	// PoolVMs is the number of VMs of each service's pool over all zones.
	PoolVMs []int
	// SpareVMs is the number of VMs of the spare pool over all zones.
	SpareVMs int
	// MinInService is the availability budget of every service.
	MinInService float64
	// Use is the mean share of its slots that a service's demand fills.
	Use float64
	// UrgentShare is the share of the demand that is urgent.
	UrgentShare float64
}

// The deployments of the brief.
var (
	// Addis has four availability zones and five claims services.
	Addis = Deployment{
		Name:         "addis",
		Zones:        4,
		PoolVMs:      []int{8, 8, 9, 10, 10},
		SpareVMs:     5,
		MinInService: 0.7,
		Use:          0.25,
		UrgentShare:  0.5,
	}
	// Sul has three availability zones and five services.
	Sul = Deployment{
		Name:         "sul",
		Zones:        3,
		PoolVMs:      []int{8, 8, 9, 10, 10},
		SpareVMs:     5,
		MinInService: 0.7,
		Use:          0.25,
		UrgentShare:  0.5,
	}
)

const (
	sparePool    = "spare"
	vmsPerRack   = 4
	slotsPerVM   = 8
	maxDraining  = 0.34
	epochRFC3339 = "2026-12-07T00:00:00Z"
)

func epoch() time.Time {
	at, err := time.Parse(time.RFC3339, epochRFC3339)
	if err != nil {
		panic(err)
	}
	return at
}

func poolName(i int) string { return fmt.Sprintf("service%d", i+1) }

// records lays the deployment out: each pool's VMs go round the zones and,
// within a zone, round the racks.
func (dt Deployment) records(now time.Time) []recorder.Zone {
	pools := make([][]string, dt.Zones)
	next := 0
	for i, count := range append(append([]int{}, dt.PoolVMs...), dt.SpareVMs) {
		name := sparePool
		if i < len(dt.PoolVMs) {
			name = poolName(i)
		}
		for range count {
			zone := next % dt.Zones
			next++
			pools[zone] = append(pools[zone], name)
		}
	}
	zones := make([]recorder.Zone, dt.Zones)
	for zone := range zones {
		zones[zone] = dt.record(zone, pools[zone], now)
	}
	return zones
}

func (dt Deployment) record(zone int, pools []string, now time.Time) recorder.Zone {
	name := string(rune('a' + zone))
	ze := recorder.Zone{Name: name}
	ze = mustApply(ze, recorder.SetFloors{
		Revision: 1,
		Floors:   dt.floors(),
	}, now)
	racks := (len(pools) + vmsPerRack - 1) / vmsPerRack
	for i, pool := range pools {
		ze = mustApply(ze, recorder.Register{
			VM: recorder.VM{
				Name:    fmt.Sprintf("%s-%02d", name, i),
				Rack:    fmt.Sprintf("%s-r%d", name, i%racks),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(zone + 1), byte(i + 1)}), 9000),
				Pool:    pool,
			},
		}, now)
	}
	return ze
}

func (dt Deployment) floors() map[string]recorder.Floor {
	floors := map[string]recorder.Floor{
		sparePool: {},
	}
	for i := range dt.PoolVMs {
		floors[poolName(i)] = recorder.Floor{
			Share:       dt.MinInService,
			MinMembers:  1,
			MaxDraining: maxDraining,
		}
	}
	return floors
}

// mustApply applies a change that the deployment's layout always allows.
func mustApply(ze recorder.Zone, change recorder.Change, now time.Time) recorder.Zone {
	next, err := recorder.Apply(ze, change, now)
	if err != nil {
		panic(err)
	}
	return next
}
