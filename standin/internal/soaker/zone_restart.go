package soaker

import (
	"fmt"
	"time"

	"coltsfootwick.example/standin/internal/interposer"
	"coltsfootwick.example/standin/internal/provider"
)

// ZoneRestarts are how the workers of an availability zone are back under their IDs.
type ZoneRestarts struct {
	// Connections is what becomes of the connections to the workers.
	Connections provider.Connections
	// KeepsStartTime is true if the next incarnations report the same start times.
	KeepsStartTime bool
}

// The sizes of the plans of restarted zones.
const (
	restartedZones   = 3
	vmsPerZone       = 6
	restartDemand    = 0.5
	restartLongShare = 0.25
	// meanLongWork is about the mean processor time of a job, in core-seconds, of
	// which restartLongShare have long tasks.
	meanLongWork = 20
	// minZoneUptime and maxZoneUptime bound the time from the return of a zone's
	// workers until they are cut off.
	minZoneUptime  = time.Second
	maxZoneUptime  = 2500 * time.Millisecond
	zoneIsolation  = 9 * time.Second
	zonePause      = 14 * time.Second
	minZoneDown    = 200 * time.Millisecond
	maxEntryDelay  = 1500 * time.Millisecond
	holderKillLead = 600 * time.Millisecond
	// maxNewClock is the largest reading of a worker's clock at its return, mostly below
	// that of the incarnation before.
	maxNewClock = time.Minute
)

// drawZoneRestarts draws a plan in which all workers of an availability zone crash at
// once, are back under their IDs and are cut off soon after, while long tasks run. In
// half of the plans a manager is killed in between.
func (pr *planner) drawZoneRestarts() {
	pr.plan.HasLinkFaults = true
	pr.plan.LongShare = restartLongShare
	zones := make([][]string, restartedZones)
	cores := 0
	for _, pool := range pools {
		for number := range restartedZones * vmsPerZone {
			vm := VM{
				Name:  fmt.Sprintf("m-%s-%d", pool, number),
				Pool:  pool,
				Clock: pr.clock(),
			}
			pr.plan.VMs = append(pr.plan.VMs, vm)
			zones[number%restartedZones] = append(zones[number%restartedZones], vm.Name)
			cores += vmCapacity.MilliCores / 1000
		}
		pr.plan.Routes = append(pr.plan.Routes, Route{
			Name:   "r-" + pool,
			Prefix: "/" + pool + "/",
			Pool:   pool,
		})
	}
	pr.plan.JobRate = restartDemand * float64(cores) / meanLongWork
	hasKills := pr.rand.IntN(2) == 0
	for at := pr.until(4*time.Second, 6*time.Second); at < pr.plan.Duration; at += zonePause {
		pr.restartZone(at, zones[pr.rand.IntN(restartedZones)], hasKills)
	}
}

// restartZone adds the restart of the workers of a zone.
func (pr *planner) restartZone(at time.Duration, vms []string, hasKill bool) {
	down := pr.until(minZoneDown, maxDownTime)
	cutAt := at + down + pr.until(minZoneUptime, maxZoneUptime)
	add := func(at time.Duration, ev Event) {
		pr.plan.Moments = append(pr.plan.Moments, Moment{
			At:    at,
			Event: ev,
		})
	}
	for _, vm := range vms {
		add(at, WorkerCrash{
			VM:             vm,
			Restart:        down,
			KeepsID:        true,
			ListedAfter:    pr.until(time.Millisecond, maxEntryDelay),
			Clock:          pr.until(time.Millisecond, maxNewClock),
			Connections:    pr.plan.ZoneRestarts.Connections,
			KeepsStartTime: pr.plan.ZoneRestarts.KeepsStartTime,
		})
	}
	if hasKill {
		add(cutAt-holderKillLead, Kill{
			Manager: pr.manager(),
			Restart: pr.until(0, maxRestart),
		})
	}
	for _, vm := range vms {
		add(cutAt, LinkFault{
			Kind:     linkWorker,
			Manager:  everyManager,
			VM:       vm,
			Fault:    interposer.Cut{},
			Duration: zoneIsolation,
		})
	}
}
