package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// silenceTime is three intervals of status reports, after which the store removes
	// the entry of an executor that is gone.
	silenceTime = 4500 * time.Millisecond
	// settleTime is the time from the crash to the next job; by then the lease of the
	// runs on the lost executor is over.
	settleTime = 8 * time.Second
)

// blockedAdvice lets the only executor crash for good that a lasting job may run on, and
// then hands in a job that may run on all others.
func blockedAdvice(rg *rig) (string, error) {
	const lasting, id = "0f0f0f0f0f0f0f0f", "2b7e151628aed2a6"
	const machines, units = 7, 2
	const only = "m-7"
	for number := range machines {
		if err := rg.fleet.add(fmt.Sprintf("m-%d", number+1), "claims", zones[number%len(zones)], 8000, 32000, 0); err != nil {
			return "", err
		}
	}
	rg.fleet.hasAdvice = true
	rg.adviser.allows = func(step, executor string) bool {
		return !strings.HasPrefix(step, lasting) || strings.HasPrefix(executor, "i-"+only+"-")
	}
	claims := route("r-claims", claimsPath, "claims", 3000)
	claims["advice"] = map[string]any{"decision_ms": decisionTime.Milliseconds(), "period_ms": adviceTime.Milliseconds(), "validity_ms": ticketTime.Milliseconds()}
	rg.configure(1, []string{"claims"}, claims)
	if err := rg.start(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if err := rg.submit(claimsPath, lasting, work{Long: true}, step{Count: units, CPU: 1000, MemMB: 500, EstimateMS: 300, LongRunning: true}); err != nil {
		return "", err
	}
	if err := rg.await("the lasting job runs", 5*time.Second, func() bool { return rg.fleet.countStarts(lasting) == units }); err != nil {
		return "", err
	}
	if rg.hasTrouble {
		rg.fleet.lose(only)
	}
	time.Sleep(settleTime)
	if err := rg.submit(claimsPath, id, work{MS: 1000}, step{Count: units, CPU: 1000, MemMB: 500, EstimateMS: 1000}); err != nil {
		return "", err
	}
	until := time.Now().Add(finishTime + idleTime)
	for time.Now().Before(until) && rg.fleet.countDone(id) < units {
		time.Sleep(pollInterval)
	}
	rg.show(claimsPath, id)
	if done := rg.fleet.countDone(id); done < units {
		return fmt.Sprintf("LOST: %s after it was handed in %d of the %d work units of job %s are started, and nothing runs on %d idle executors, each of which may run them",
			finishTime+idleTime, rg.fleet.countStarts(id), units, id, machines-1), nil
	}
	return "", nil
}
