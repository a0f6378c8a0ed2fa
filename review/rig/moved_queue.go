package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// zoneCutTime is how long a zone is cut off.
	zoneCutTime = 6000 * time.Millisecond
	// betweenTime is the time from the removal of the route to its return.
	betweenTime = 500 * time.Millisecond
	// settledTime is the time from a version's ack to the cut.
	settledTime = applyTime + 200*time.Millisecond
	// workTime is how long the work unit works, in milliseconds.
	workTime = 4500
)

// movedQueue removes a route and adds it again for another service while a work unit of it
// is at work, and then cuts off the zone that holds the duty and runs the work unit.
func movedQueue(rg *rig) (string, error) {
	const id = "6a09e667bb67ae85"
	services := []string{"claims", "desk"}
	checks := route("r-checks", checksPath, "claims", 3000)
	rg.configure(1, services, route("r-claims", claimsPath, "claims", 3000), checks)
	if err := rg.start(); err != nil {
		return "", err
	}
	holder := rg.holder()
	var others []string
	for _, zone := range zones {
		if zone != holder.zone {
			others = append(others, zone)
		}
	}
	for _, place := range []struct{ name, service, zone string }{
		{"m-1", "claims", holder.zone}, {"m-2", "claims", others[0]}, {"m-3", "desk", others[0]}, {"m-4", "desk", others[1]},
	} {
		if err := rg.fleet.add(place.name, place.service, place.zone, 8000, 32000, 0); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	if err := rg.submit(claimsPath, id, work{MS: workTime}, step{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: workTime}); err != nil {
		return "", err
	}
	if err := rg.await("the work unit runs", 5*time.Second, func() bool { return rg.fleet.isRunningOn("m-1", id) }); err != nil {
		return "", err
	}
	rg.configure(2, services, checks)
	time.Sleep(betweenTime)
	rg.configure(3, services, route("r-claims", claimsPath, "desk", 3000), checks)
	time.Sleep(settledTime)
	if rg.holder() != holder {
		return "", fmt.Errorf("the duty has changed hands before the cut")
	}
	if rg.hasTrouble {
		rg.cutZone(holder)
		time.AfterFunc(zoneCutTime, rg.healZone)
	}
	until := time.Now().Add(zoneCutTime + workTime*time.Millisecond)
	most := 0
	for time.Now().Before(until) {
		most = max(most, rg.fleet.countRunning(id))
		time.Sleep(pollInterval)
	}
	rg.show(claimsPath, id)
	if most > 1 {
		return fmt.Sprintf("TWICE: %d runs of the one work unit of job %s were at work at the same time, on executors that are up; %d of them ended done", most, id, rg.fleet.countDone(id)), nil
	}
	return "", nil
}

// cutZone cuts the zone of the holder of the duty from the store, and its executors from
// the managers of the other zones. These are known by their fence numbers: until the cut
// ends, the holder's is the only one in its zone.
func (rg *rig) cutZone(holder *manager) {
	rg.rec.log("zone %s is cut off for %s", holder.zone, zoneCutTime)
	holder.storeCut.Store(true)
	rg.fleet.mu.Lock()
	defer rg.fleet.mu.Unlock()
	rg.fleet.cutZone = holder.zone
	for _, ma := range rg.fleet.machines {
		if ma.zone == holder.zone && ma.life != nil {
			rg.fleet.cutFence = max(rg.fleet.cutFence, ma.life.fence)
		}
	}
}

func (rg *rig) healZone() {
	rg.rec.log("the cut ends")
	for _, ma := range rg.managers {
		ma.storeCut.Store(false)
	}
	rg.fleet.mu.Lock()
	defer rg.fleet.mu.Unlock()
	rg.fleet.cutZone = ""
}

// isRunningOn reports whether a work unit of a job runs on a machine.
func (fl *fleet) isRunningOn(name, id string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	li := fl.machines[name].life
	if li == nil {
		return false
	}
	for task := range li.runs {
		if strings.HasPrefix(task, id) {
			return true
		}
	}
	return false
}
