package provider

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// EndKilled is the kind of the end of a run whose worker has ended, by a crash, a move
// or maintenance.
const EndKilled modeller.EndKind = "killed"

// Run is the record of one run of a task on a worker.
type Run struct {
	Task     modeller.TaskName
	Attempt  int
	VM, Pool string
	// Demand is the resources that the run uses.
	Demand    modeller.Resources
	StartedAt time.Time
	// EndedAt is zero while the run is in progress.
	EndedAt time.Time
	Kind    modeller.EndKind
	// IsAcknowledged is true once a poll has acknowledged that the task is done.
	IsAcknowledged bool
}

// Runs returns the records of all runs so far, in the order of their starts.
func (pv *Provider) Runs() []Run {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	runs := make([]Run, 0, len(pv.runs))
	for _, rn := range pv.runs {
		runs = append(runs, *rn)
	}
	return runs
}

// recordStart records the start of a run.
func (pv *Provider) recordStart(machine *vm, name modeller.TaskName, attempt int) {
	rn := &Run{
		Task:      name,
		Attempt:   attempt,
		VM:        machine.name,
		Pool:      machine.pool,
		Demand:    pv.profile(name).Demand,
		StartedAt: time.Now(),
	}
	pv.runs = append(pv.runs, rn)
	machine.runs[name] = rn
}

// endRun records the end of the current run of a task on a worker.
func (machine *vm) endRun(name modeller.TaskName, kind modeller.EndKind) {
	rn := machine.runs[name]
	if rn == nil {
		return
	}
	delete(machine.runs, name)
	rn.EndedAt = time.Now()
	rn.Kind = kind
	if kind == modeller.EndDone {
		machine.done[name] = rn
	}
}

// Pool is the state of a pool's workers.
type Pool struct {
	// Workers are the workers that are up.
	Workers []Worker
}

// Worker is a worker with its current use.
type Worker struct {
	VM             string
	Labels         []string
	Capacity, Used modeller.Resources
	Runs           []modeller.TaskName
}

// Pool returns the current state of a pool.
func (pv *Provider) Pool(name string) Pool {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	var pl Pool
	for _, machine := range pv.vms {
		if machine.pool != name || machine.worker == nil {
			continue
		}
		wk := Worker{
			VM:       machine.name,
			Labels:   machine.labels,
			Capacity: machine.capacity,
			Used:     machine.worker.Used(),
		}
		for task := range machine.worker.Runs() {
			wk.Runs = append(wk.Runs, task)
		}
		slices.SortFunc(wk.Runs, modeller.TaskName.Compare)
		pl.Workers = append(pl.Workers, wk)
	}
	return pl
}

// Maintenance is the record of a VM's maintenance in a wave.
type Maintenance struct {
	VM             string
	Wave           int64
	BeganAt, EndAt time.Time
}

// Maintenances returns the records of all maintenances so far.
func (pv *Provider) Maintenances() []Maintenance {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	return slices.Clone(pv.maintenances)
}

// Lose stops a VM's worker for good.
func (pv *Provider) Lose(name string) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[name]
	if machine.worker == nil {
		return
	}
	pv.stopWorker(machine)
	pv.unlistWorker(machine)
	machine.state = modeller.VMDown
}

// IsUp reports whether a VM is up.
func (pv *Provider) IsUp(name string) bool {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	return pv.vms[name].state == modeller.VMUp
}
