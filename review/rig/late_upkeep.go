package main

import (
	"fmt"
	"time"
)

const (
	waveNumber = 1
	waveCap    = 1
	// lateness is when an upkeep without an answer is carried out.
	lateness = 2800 * time.Millisecond
	// answerTime is the time from the call to the kill of its caller.
	answerTime = 100 * time.Millisecond
	waveTime   = 27 * time.Second
)

// lateUpkeep leaves an upkeep without an answer, kills the manager that ordered it, and
// carries the upkeep out later, while the next holder has machines of the wave down.
func lateUpkeep(rg *rig) (string, error) {
	const machines = 10
	wave := []string{"m-01", "m-02", "m-03", "m-04", "m-10"}
	for number := range machines {
		if err := rg.fleet.add(fmt.Sprintf("m-%02d", number+1), "claims", zones[number%len(zones)], 8000, 32000, 0); err != nil {
			return "", err
		}
	}
	rg.configure(1, []string{"claims"}, route("r-claims", claimsPath, "claims", 3000))
	if err := rg.start(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	called := make(chan string, 1)
	if rg.hasTrouble {
		rg.fleet.holdFirstUpkeep(called)
	}
	// Every machine of the wave but the last is at work when the wave begins.
	for number, name := range wave[:len(wave)-1] {
		id := fmt.Sprintf("%016x", number+1)
		if err := rg.submit(claimsPath, id, work{MS: 1000}, step{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 1000, Constraints: "r1-" + name}); err != nil {
			return "", err
		}
	}
	if err := rg.await("the machines work", 5*time.Second, func() bool { return rg.fleet.countStarts("") == len(wave)-1 }); err != nil {
		return "", err
	}
	rg.store.put(fmt.Sprintf("op/wave/%d", waveNumber), map[string]any{"wave": waveNumber, "machines": wave, "duration_s": waveTime.Seconds(), "cap": waveCap})
	rg.rec.log("the operator asks for wave %d of %v with cap %d", waveNumber, wave, waveCap)
	if rg.hasTrouble {
		select {
		case holder := <-called:
			time.Sleep(answerTime)
			if ma := rg.named(holder); ma != nil {
				rg.kill(ma)
			}
		case <-time.After(waveTime):
			return "", fmt.Errorf("no upkeep was ordered within %s", waveTime)
		}
	}
	until := time.Now().Add(2 * waveTime)
	for time.Now().Before(until) && rg.fleet.overCap() == "" && rg.fleet.countUpkeeps() < len(wave) {
		time.Sleep(pollInterval)
	}
	rg.rec.log("status/wave/%d is %s", waveNumber, rg.store.value(fmt.Sprintf("status/wave/%d", waveNumber)))
	if over := rg.fleet.overCap(); over != "" {
		return "LIMIT: " + over, nil
	}
	return "", nil
}

// holdFirstUpkeep leaves the first upkeep without an answer and sends its caller's name.
func (fl *fleet) holdFirstUpkeep(called chan<- string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	isFirst := true
	fl.hold = func(mo machineOrder) (time.Duration, bool) {
		if !isFirst || mo.Wave == 0 {
			return 0, false
		}
		isFirst = false
		called <- mo.holder
		return lateness, true
	}
}

func (fl *fleet) overCap() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.overLimit
}

func (fl *fleet) countUpkeeps() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.upkeeps
}
