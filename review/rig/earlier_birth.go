package main

import (
	"fmt"
	"time"
)

const (
	// clockStep is how far the time of day of an executor's machine jumps back.
	clockStep = 2000 * time.Millisecond
	// clockMargin is the least difference of the two births.
	clockMargin = 200 * time.Millisecond
	// lifeTime is how long the executor lives before it crashes, and downtime how
	// long it is away.
	lifeTime = 800 * time.Millisecond
	downtime = 200 * time.Millisecond
)

// earlierBirth adds an executor, which crashes and starts again under its id. Between
// its two starts the time of day of its machine jumps back, so that the second life
// says that it was born before the first.
func earlierBirth(rg *rig) (string, error) {
	const id = "7a3e0c55d1b04f26"
	const units = 4
	if err := rg.fleet.add("m-2", "claims", zones[0], 8000, 32000, 0); err != nil {
		return "", err
	}
	rg.configure(1, []string{"claims"}, route("r-claims", claimsPath, "claims", 3000))
	if err := rg.start(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	ahead := time.Duration(0)
	if rg.hasTrouble {
		ahead = clockStep
	}
	addedAt := time.Now()
	if err := rg.fleet.add("m-1", "claims", zones[1], 8000, 32000, ahead); err != nil {
		return "", err
	}
	if err := rg.submit(claimsPath, id, work{MS: 2000}, step{Count: units, CPU: 4000, MemMB: 500, EstimateMS: 2000}); err != nil {
		return "", err
	}
	if err := rg.await("the work units run", 5*time.Second, func() bool { return rg.fleet.countStarts(id) == units }); err != nil {
		return "", err
	}
	time.Sleep(time.Until(addedAt.Add(lifeTime)))
	if lived := time.Since(addedAt); lived+downtime > clockStep-clockMargin {
		return "", fmt.Errorf("the executor has lived for %s, too long for a step of %s", lived, clockStep)
	}
	rg.fleet.crash("m-1", downtime)
	until := time.Now().Add(finishTime + idleTime)
	for time.Now().Before(until) && rg.fleet.countDone(id) < units {
		time.Sleep(pollInterval)
	}
	rg.show(claimsPath, id)
	if done := rg.fleet.countDone(id); done < units {
		return fmt.Sprintf("LOST: %s after the crash %d of the %d work units of job %s are done, and nothing runs on 2 idle executors", finishTime+idleTime, done, units, id), nil
	}
	return "", nil
}
