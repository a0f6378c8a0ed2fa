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

// submitted is a job that a caller has submitted.
type submitted struct {
	job         modeller.Job
	isPoison    bool
	cancelledAt time.Time
}

// submit has callers submit and cancel jobs.
func (dy *Day) submit() {
	if dy.store.isDown {
		return
	}
	if dy.random.Float64() < 0.02 {
		dy.accept(dy.draw())
	}
	if dy.random.Float64() < 0.002 {
		dy.cancelOne()
	}
}

func (dy *Day) accept(sj *submitted) {
	dy.jobs[sj.job.ID] = sj
	dy.counts.Jobs++
	dy.store.jobs[sj.job.ID] = modeller.JobRecord{Job: sj.job}
	dy.tellAll(allocator.JobRecorded{Record: modeller.JobRecord{Job: sj.job}})
}

func (dy *Day) cancelOne() {
	for _, id := range slices.Sorted(maps.Keys(dy.store.jobs)) {
		jr := dy.store.jobs[id]
		if jr.FinalState == "" && dy.jobs[id].cancelledAt.IsZero() && dy.random.Float64() < 0.3 {
			dy.jobs[id].cancelledAt = dy.now
			dy.store.cancels[id] = true
			dy.tellAll(allocator.CancelRecorded{Job: id})
			return
		}
	}
}

// draw returns a job of one of the kinds that callers submit.
func (dy *Day) draw() *submitted {
	dy.nextID++
	queue := dy.random.IntN(pools)
	sj := &submitted{
		job: modeller.Job{
			ID:    modeller.JobID(fmt.Sprintf("%016x", dy.nextID)),
			Queue: fmt.Sprintf("q%d", queue),
		},
	}
	step := modeller.Step{
		Count: 1 + dy.random.IntN(6),
		Demand: modeller.Resources{
			MilliCores: 500 + dy.random.IntN(4000),
			MemoryMB:   500 + dy.random.IntN(8000),
		},
		Estimate: 200*time.Millisecond + time.Duration(dy.random.IntN(1200))*time.Millisecond,
	}
	switch kind := dy.random.Float64(); {
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
		sj.job.Occurrences = 1 + dy.random.IntN(3)
		sj.job.FirstAt = dy.now.Add(time.Duration(dy.random.IntN(3000)) * time.Millisecond)
		sj.job.Interval = time.Duration(200+dy.random.IntN(1500)) * time.Millisecond
	default:
		sj.job.Steps = []modeller.Step{step}
		for number := range dy.random.IntN(3) {
			later := step
			later.Count = 1 + dy.random.IntN(4)
			later.DependsOn = []int{number}
			sj.job.Steps = append(sj.job.Steps, later)
		}
	}
	return sj
}

// profile returns what is true of a task.
func (dy *Day) profile(name modeller.TaskName) executor.Profile {
	sj := dy.jobs[name.Job]
	if sj == nil {
		dy.breakPromise("UNASKED", "%s is of no job", name)
		return executor.Profile{}
	}
	st := sj.job.Steps[name.Step]
	return executor.Profile{
		Demand:          st.ReservedResources(),
		Duration:        time.Duration(float64(st.Estimate) * (0.7 + 0.6*fraction(name))),
		IsLongRunning:   st.IsLongRunning,
		IsCheckpointing: st.IsCheckpointing,
		IsFailing:       sj.isPoison,
	}
}

// fraction returns a figure from zero to one that depends on a name alone.
func fraction(name modeller.TaskName) float64 {
	hash := uint32(2166136261)
	for _, letter := range []byte(name.String()) {
		hash = (hash ^ uint32(letter)) * 16777619
	}
	return float64(hash%1000) / 1000
}
