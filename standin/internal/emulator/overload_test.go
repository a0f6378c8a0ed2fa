package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// load submits jobs to one queue at a constant rate, and observes when they end.
type load struct {
	*Simulation
	submittedAt map[modeller.JobID]time.Time
	// waiting are the jobs that have not ended, and durations the times that the
	// others took.
	waiting   map[modeller.JobID]struct{}
	durations map[modeller.JobID]time.Duration
}

func newLoad(seed uint64) *load {
	ld := &load{
		Simulation:  New(seed),
		submittedAt: map[modeller.JobID]time.Time{},
		waiting:     map[modeller.JobID]struct{}{},
		durations:   map[modeller.JobID]time.Duration{},
	}
	ld.faults = nil
	ld.elect()
	return ld
}

// run submits jobs for a time. It returns their IDs.
func (ld *load) run(duration time.Duration, jobsPerSecond float64) []modeller.JobID {
	var ids []modeller.JobID
	for end := ld.now.Add(duration); ld.now.Before(end); {
		ld.now = ld.now.Add(tick)
		if ld.random.Float64() < jobsPerSecond*tick.Seconds() {
			ids = append(ids, ld.submitEqualJob())
		}
		ld.step()
		for id := range ld.waiting {
			if ld.store.jobs[id].FinalState != "" {
				ld.durations[id] = ld.now.Sub(ld.submittedAt[id])
				delete(ld.waiting, id)
			}
		}
	}
	return ids
}

func (ld *load) submitEqualJob() modeller.JobID {
	ld.nextID++
	id := modeller.JobID(fmt.Sprintf("%016x", ld.nextID))
	ld.submitJob(&submittedJob{
		job: modeller.Job{
			ID:    id,
			Queue: "q0",
			Steps: []modeller.Step{{
				Count:    4,
				Demand:   modeller.Resources{MilliCores: 2000, MemoryMB: 500},
				Estimate: 500 * time.Millisecond,
			}},
		},
	})
	ld.submittedAt[id] = ld.now
	ld.waiting[id] = struct{}{}
	return id
}

// shareWithin returns the share of jobs that have ended within a time.
func (ld *load) shareWithin(ids []modeller.JobID, limit time.Duration) float64 {
	count := 0
	for _, id := range ids {
		if duration, ok := ld.durations[id]; ok && duration <= limit {
			count++
		}
	}
	return float64(count) / float64(max(len(ids), 1))
}

// Callers ask for twice what the pool can do for 10 s, then for half of it. Five
// seconds later jobs are done as soon as before, although there is a backlog.
func TestOverloadThatEndsLeavesJobsOnTime(t *testing.T) {
	const (
		// capacity is the number of jobs a second that the pool's workers can do.
		capacity = workersPerPool * workerCores / (4 * 2 * 0.5)
		limit    = 1400 * time.Millisecond
	)
	for seed := range uint64(10) {
		ld := newLoad(seed)
		ld.run(3*time.Second, capacity/2)
		before := ld.run(5*time.Second, capacity/2)
		ld.run(10*time.Second, 2*capacity)
		ld.run(5*time.Second, capacity/2)
		after := ld.run(5*time.Second, capacity/2)
		ld.run(limit, 0)
		must.SliceEmpty(t, ld.violations)
		must.GreaterEq(t, ld.shareWithin(before, limit), ld.shareWithin(after, limit), must.Sprintf("seed %d: %d and %d jobs", seed, len(before), len(after)))
	}
}
