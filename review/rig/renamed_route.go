package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// cancelTime is the sum of the bounds cancel_ms and stop_grace_ms.
	cancelTime = 3900 * time.Millisecond
	// watchTime is how long the script looks beyond that bound.
	watchTime = 6 * time.Second
	// applyTime is the bound config_apply_ms.
	applyTime = 2 * time.Second
)

// renamedRoute gives a route another name, with the same host, prefix and service, while
// a lasting job of it runs, and then cancels the job.
func renamedRoute(rg *rig) (string, error) {
	const id = "9d2c51ab07e3f468"
	const units = 2
	for number := range 4 {
		if err := rg.fleet.add(fmt.Sprintf("m-%d", number+1), "claims", zones[number%len(zones)], 8000, 32000, 0); err != nil {
			return "", err
		}
	}
	services := []string{"claims"}
	rg.configure(1, services, route("r-claims", claimsPath, "claims", 3000))
	if err := rg.start(); err != nil {
		return "", err
	}
	if err := rg.submit(claimsPath, id, work{Long: true}, step{Count: units, CPU: 1000, MemMB: 500, EstimateMS: 300, LongRunning: true}); err != nil {
		return "", err
	}
	if err := rg.await("the lasting job runs", 5*time.Second, func() bool { return rg.fleet.countStarts(id) == units }); err != nil {
		return "", err
	}
	name := "r-claims"
	if rg.hasTrouble {
		name = "r-claims-2"
	}
	rg.configure(2, services, route(name, claimsPath, "claims", 2800))
	time.Sleep(2 * applyTime)
	rg.show(claimsPath, id)
	status, text := rg.request(rg.managers[0], http.MethodDelete, claimsPath+id, nil)
	rg.rec.log("DELETE %s%s at %s: %d %s", claimsPath, id, rg.managers[0].name, status, text)
	if status != http.StatusOK && status != http.StatusGone {
		return "", fmt.Errorf("the cancelling was not acknowledged: %d", status)
	}
	time.Sleep(cancelTime + watchTime)
	rg.show(claimsPath, id)
	if running := rg.fleet.countRunning(id); running > 0 {
		return fmt.Sprintf("UNASKED: %d work units of job %s run on %s after its cancelling was acknowledged with %d", running, id, cancelTime+watchTime, status), nil
	}
	return "", nil
}

// countRunning counts the runs of a job.
func (fl *fleet) countRunning(id string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	count := 0
	for _, ma := range fl.machines {
		if ma.life == nil {
			continue
		}
		for task := range ma.life.runs {
			if stepOf(task)[:len(id)] == id {
				count++
			}
		}
	}
	return count
}
