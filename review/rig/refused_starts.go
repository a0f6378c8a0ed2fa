package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// greyTime is how long the executor refuses starts.
	greyTime = 6500 * time.Millisecond
	// countedAge is the bound visible_ms and the 2 s of rule MIXED, and countMargin
	// what the script waits beyond.
	countedAge  = 5 * time.Second
	countMargin = 200 * time.Millisecond
)

// refusedStarts lets the only executor with room refuse all starts, and asks for the
// number of pending jobs.
func refusedStarts(rg *rig) (string, error) {
	const filler = "00000000000000ff"
	const machines, jobs = 7, 10
	for number := range machines {
		if err := rg.fleet.add(fmt.Sprintf("m-%d", number+1), "claims", zones[number%len(zones)], 8000, 32000, 0); err != nil {
			return "", err
		}
	}
	rg.configure(1, []string{"claims"}, route("r-claims", claimsPath, "claims", 3000), route("r-checks", checksPath, "claims", 3000))
	if err := rg.start(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if err := rg.submit(checksPath, filler, work{Long: true}, step{Count: machines - 1, CPU: 8000, MemMB: 500, EstimateMS: 300, LongRunning: true}); err != nil {
		return "", err
	}
	if err := rg.await("a lasting job fills all executors but one", 5*time.Second, func() bool { return rg.fleet.countStarts(filler) == machines-1 }); err != nil {
		return "", err
	}
	if rg.hasTrouble {
		rg.fleet.refuseStarts(greyTime)
	}
	for number := range jobs {
		if err := rg.submit(claimsPath, fmt.Sprintf("%016x", number+1), work{MS: 1000}, step{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 1000}); err != nil {
			return "", err
		}
	}
	time.Sleep(countedAge + countMargin)
	notBegun := jobs - rg.fleet.countStarted(jobs)
	rg.rec.log("%d of the %d jobs have not begun", notBegun, jobs)
	broken := ""
	for _, ma := range rg.managers {
		status, text := rg.request(ma, http.MethodGet, claimsPath, nil)
		rg.rec.log("GET %s at %s: %d %s", claimsPath, ma.name, status, text)
		var answer struct {
			Pending int `json:"pending"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil && 2*answer.Pending < notBegun {
			broken = fmt.Sprintf("MIXED: %s gives %d as pending, while %d jobs that were accepted over %s before have not begun", ma.name, answer.Pending, notBegun, countedAge)
		}
	}
	rg.show(claimsPath, fmt.Sprintf("%016x", 1))
	return broken, nil
}

// refuseStarts lets the executors without runs refuse all starts for a time.
func (fl *fleet) refuseStarts(duration time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ma := range fl.machines {
		if ma.life != nil && len(ma.life.runs) == 0 {
			ma.greyUntil = time.Now().Add(duration)
			fl.rec.log("executor %s refuses starts for %s", ma.life.id, duration)
		}
	}
}

// countStarted counts the jobs of which a work unit has started, of those that are
// numbered from 1.
func (fl *fleet) countStarted(jobs int) int {
	count := 0
	for number := range jobs {
		if fl.countStarts(fmt.Sprintf("%016x", number+1)) > 0 {
			count++
		}
	}
	return count
}
