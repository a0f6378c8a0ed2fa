package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	checksPath = "/checks/"
	claimsPath = "/claims/"
	// finishTime is the bound finish_s, and idleTime the 3 s of rule LOST.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// removedRoute removes a route while an accepted job of it has a step left to run.
func removedRoute(rg *rig) (string, error) {
	const id = "5c0e7a21d94b36f8"
	for number := range 4 {
		if err := rg.fleet.add(fmt.Sprintf("m-%d", number+1), "claims", zones[number%len(zones)], 8000, 32000, 0); err != nil {
			return "", err
		}
	}
	services := []string{"claims"}
	claims, checks := route("r-claims", claimsPath, "claims", 3000), route("r-checks", checksPath, "claims", 3000)
	rg.configure(1, services, claims, checks)
	if err := rg.start(); err != nil {
		return "", err
	}
	wo := work{MS: 2000}
	first := step{Count: 2, CPU: 1000, MemMB: 500, EstimateMS: 2000}
	second := first
	second.After = []int{0}
	if err := rg.submit(claimsPath, id, wo, first, second); err != nil {
		return "", err
	}
	if err := rg.await("the first step runs", 5*time.Second, func() bool { return rg.fleet.countStarts(id+".0.0.") == 2 }); err != nil {
		return "", err
	}
	if rg.hasTrouble {
		rg.configure(2, services, checks)
	} else {
		rg.configure(2, services, route("r-claims", claimsPath, "claims", 2800), checks)
	}
	if err := rg.await("the first step is done", 10*time.Second, func() bool { return rg.fleet.countDone(id+".0.0.") == 2 }); err != nil {
		return "", err
	}
	turnAt := time.Now()
	until := turnAt.Add(finishTime + idleTime)
	for time.Now().Before(until) && rg.fleet.countDone(id+".0.1.") < 2 {
		time.Sleep(pollInterval)
	}
	rg.show(claimsPath, id)
	if done := rg.fleet.countDone(id + ".0.1."); done < 2 {
		return fmt.Sprintf("LOST: nobody has cancelled job %s, but %.0f s after the turn of its second step %d of the step's 2 work units were started, and nothing runs on 4 idle executors",
			id, time.Since(turnAt).Seconds(), rg.fleet.countStarts(id+".0.1.")), nil
	}
	return "", nil
}

// countStarts counts the starts of the work units whose names begin with a prefix.
func (fl *fleet) countStarts(prefix string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	count := 0
	for _, sa := range fl.starts {
		if strings.HasPrefix(sa.task, prefix) {
			count++
		}
	}
	return count
}

// countDone counts the ends done of the work units whose names begin with a prefix.
func (fl *fleet) countDone(prefix string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	count := 0
	for _, en := range fl.ends {
		if en.how == "done" && strings.HasPrefix(en.task, prefix) {
			count++
		}
	}
	return count
}
