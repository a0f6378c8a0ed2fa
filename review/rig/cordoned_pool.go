package main

import (
	"fmt"
	"time"
)

const (
	// lastingTime is the time after its last run from which a lasting work unit has to
	// run, without idleTime.
	lastingTime = 6 * time.Second
	// upkeepDuration is the time in which the wave is due.
	upkeepDuration = 27 * time.Second
)

// cordonedPool asks for the upkeep of both machines of a service, one at a time, while
// one of them is at work on a long work unit.
func cordonedPool(rg *rig) (string, error) {
	const lasting, long = "3c6ef372fe94f82b", "a54ff53a5f1d36f1"
	const units = 2
	for number, service := range []string{"claims", "claims", "checks", "checks"} {
		if err := rg.fleet.add(fmt.Sprintf("m-%d", number+1), service, zones[number%len(zones)], 8000, 32000, 0); err != nil {
			return "", err
		}
	}
	rg.configure(1, []string{"claims", "checks"}, route("r-claims", claimsPath, "claims", 3000), route("r-checks", checksPath, "checks", 3000))
	if err := rg.start(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if err := rg.submit(claimsPath, lasting, work{Long: true}, step{Count: units, CPU: 1000, MemMB: 500, EstimateMS: 300, LongRunning: true, MayMiss: 1}); err != nil {
		return "", err
	}
	if err := rg.await("the lasting job runs", 5*time.Second, func() bool { return rg.fleet.countRunning(lasting) == units }); err != nil {
		return "", err
	}
	if err := rg.submit(claimsPath, long, work{MS: 30000}, step{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 30000, Constraints: "r1-" + rg.fleet.idleMachine("claims")}); err != nil {
		return "", err
	}
	if err := rg.await("the long work unit runs", 5*time.Second, func() bool { return rg.fleet.countRunning(long) == 1 }); err != nil {
		return "", err
	}
	if rg.hasTrouble {
		rg.store.put("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m-1", "m-2"}, "duration_s": upkeepDuration.Seconds(), "cap": 1})
		rg.rec.log("the operator asks for wave 1 of m-1 and m-2 with cap 1 within %s", upkeepDuration)
	}
	until := time.Now().Add(upkeepDuration)
	missingSince := time.Time{}
	for time.Now().Before(until) {
		if rg.fleet.countRunning(lasting) == units {
			missingSince = time.Time{}
		} else if missingSince.IsZero() {
			missingSince = time.Now()
		}
		if !missingSince.IsZero() && time.Since(missingSince) > lastingTime+idleTime {
			return fmt.Sprintf("LOST: a work unit of the lasting job %s has not run for %s", lasting, lastingTime+idleTime), nil
		}
		time.Sleep(pollInterval)
	}
	return "", nil
}

// idleMachine returns a machine of a service without runs.
func (fl *fleet) idleMachine(service string) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for name, ma := range fl.machines {
		if ma.pool == service && ma.life != nil && len(ma.life.runs) == 0 {
			return name
		}
	}
	return ""
}
