package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/executor"
)

// submittedJob is a job that a caller has submitted.
type submittedJob struct {
	job modeller.Job
	// isPoison is true if each run of the job fails.
	isPoison    bool
	cancelledAt time.Time
}

// submit submits and cancels jobs at random, as callers do.
func (sm *Simulation) submit() {
	if sm.store.isDown {
		return
	}
	if sm.random.Float64() < 0.02 {
		sj := sm.randomJob()
		if qu, isConfigured := sm.operators.configuration.Queues[sj.job.Queue]; isConfigured {
			sj.job.Origin = qu
			sm.submitJob(sj)
		}
	}
	if sm.random.Float64() < 0.002 {
		sm.cancelRandomJob()
	}
}

func (sm *Simulation) submitJob(sj *submittedJob) {
	sm.jobs[sj.job.ID] = sj
	sm.counts.Jobs++
	sm.store.jobs[sj.job.ID] = modeller.JobRecord{Job: sj.job}
	announced := sj.job
	announced.Payload = string(sj.job.ID)
	sm.notifyHolders(allocator.JobRecorded{Record: modeller.JobRecord{Job: announced, HasPayload: sm.random.IntN(2) == 0}})
}

func (sm *Simulation) cancelRandomJob() {
	for _, id := range slices.Sorted(maps.Keys(sm.store.jobs)) {
		jr := sm.store.jobs[id]
		if jr.FinalState == "" && sm.jobs[id].cancelledAt.IsZero() && sm.random.Float64() < 0.3 {
			sm.jobs[id].cancelledAt = sm.now
			sm.store.cancels[id] = true
			sm.notifyHolders(allocator.CancelRecorded{Job: id})
			return
		}
	}
}

// randomJob returns a job of a random kind.
func (sm *Simulation) randomJob() *submittedJob {
	sm.nextID++
	queue := sm.random.IntN(pools)
	sj := &submittedJob{
		job: modeller.Job{
			ID:    modeller.JobID(fmt.Sprintf("%016x", sm.nextID)),
			Queue: fmt.Sprintf("q%d", queue),
		},
	}
	step := modeller.Step{
		Count: 1 + sm.random.IntN(6),
		Demand: modeller.Resources{
			MilliCores: 500 + sm.random.IntN(4000),
			MemoryMB:   500 + sm.random.IntN(8000),
		},
		Estimate: 200*time.Millisecond + time.Duration(sm.random.IntN(1200))*time.Millisecond,
	}
	switch kind := sm.random.Float64(); {
	case kind < 0.03:
		step.IsLongRunning = true
		step.Count = 4
		step.MaxUnavailable = 1
		step.MaxPerWorker = 1
		step.Demand.MilliCores = 800
		sj.job.Steps = []modeller.Step{step}
	case kind < 0.06:
		sj.isPoison = true
		step.Count = 1
		sj.job.Steps = []modeller.Step{step}
	case kind < 0.1:
		step.IsGang = true
		step.Count = 3
		sj.job.Steps = []modeller.Step{step}
	case kind < 0.15:
		sj.job.Steps = []modeller.Step{step}
		sj.job.Occurrences = 1 + sm.random.IntN(3)
		sj.job.FirstAt = sm.now.Add(time.Duration(sm.random.IntN(3000)) * time.Millisecond)
		sj.job.Interval = time.Duration(200+sm.random.IntN(1500)) * time.Millisecond
	default:
		sj.job.Steps = []modeller.Step{step}
		for number := range sm.random.IntN(3) {
			later := step
			later.Count = 1 + sm.random.IntN(4)
			later.DependsOn = []int{number}
			sj.job.Steps = append(sj.job.Steps, later)
		}
	}
	return sj
}

// profile returns the simulated behaviour of a task.
func (sm *Simulation) profile(name modeller.TaskName) executor.Profile {
	sj := sm.jobs[name.Job]
	if sj == nil {
		sm.recordViolation("UNASKED", "%s belongs to no submitted job", name)
		return executor.Profile{}
	}
	st := sj.job.Steps[name.Step]
	return executor.Profile{
		Demand:          st.ReservedResources(),
		Duration:        time.Duration(float64(st.Estimate) * (0.7 + 0.6*fraction(name)) * sm.slowness(name)),
		IsLongRunning:   st.IsLongRunning,
		IsCheckpointing: st.IsCheckpointing,
		IsFailing:       sj.isPoison,
	}
}

// fraction returns a number in [0, 1) that depends only on the name.
func fraction(name modeller.TaskName) float64 {
	hash := uint32(2166136261)
	for _, letter := range []byte(name.String()) {
		hash = (hash ^ uint32(letter)) * 16777619
	}
	return float64(hash%1000) / 1000
}
