// Package provider serves a model of the users' platform over HTTP, with the
// platform's published protocol: the metadata store, the workers, the VM interface
// and the advice service. It checks the runs of the workers and records violated
// guarantees.
package provider

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
	"coltsfootwick.example/standin/internal/executor"
)

// The intervals and durations of the model.
const (
	// advanceInterval is the interval between updates of the workers.
	advanceInterval = 5 * time.Millisecond
	// downTime is the time for which a move or maintenance takes a VM down.
	downTime = 800 * time.Millisecond
	stopTime = 100 * time.Millisecond
	maxLease = 10 * time.Second
)

// Provider is a stand-in of the users' platform.
type Provider struct {
	keeper *keeper.Keeper
	store  *keeper.Zone

	mu          sync.Mutex
	vms         map[string]*vm
	completions map[modeller.TaskName]int
	violations  []string
	starts      int
	moves       int
	runs        []*Run
	// maintenances are ordered by their beginning.
	maintenances []Maintenance
	// profiles holds the profiles of started tasks, decoded from their payloads.
	profiles map[modeller.TaskName]executor.Profile
	stop     chan struct{}
}

// vm is a VM with the current incarnation of its worker.
type vm struct {
	name, pool, zone string
	address          netip.AddrPort
	state            modeller.VMState
	incarnation      int
	worker           *executor.Executor
	fence            uint64
	maintained       map[int64]bool
	capacity         modeller.Resources
	// runs are the records of the worker's current runs, and done those of the runs
	// that ended done.
	runs, done map[modeller.TaskName]*Run
}

// New returns a Provider that advances its workers until Close is called.
func New() *Provider {
	kr := keeper.New(keeper.WithRates(0, 0))
	pv := &Provider{
		keeper:      kr,
		store:       kr.Zone("platform"),
		vms:         map[string]*vm{},
		completions: map[modeller.TaskName]int{},
		profiles:    map[modeller.TaskName]executor.Profile{},
		stop:        make(chan struct{}),
	}
	go pv.advanceWorkers()
	return pv
}

// Close stops advancing the workers.
func (pv *Provider) Close() { close(pv.stop) }

// Keeper returns the in-memory store, for fault injection.
func (pv *Provider) Keeper() *keeper.Keeper { return pv.keeper }

// advanceWorkers advances the workers at each interval until Close is called.
func (pv *Provider) advanceWorkers() {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			pv.mu.Lock()
			for _, machine := range pv.vms {
				if machine.worker != nil {
					machine.worker.Advance(time.Now())
				}
			}
			pv.mu.Unlock()
		case <-pv.stop:
			return
		}
	}
}

// AddVM adds a VM to a pool, with the address on which its workers listen. No
// worker runs on VMs of a standby pool.
func (pv *Provider) AddVM(name, pool, zone string, address netip.AddrPort, capacity modeller.Resources, isStandby bool) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := &vm{
		name:       name,
		pool:       pool,
		zone:       zone,
		address:    address,
		state:      modeller.VMUp,
		maintained: map[int64]bool{},
		capacity:   capacity,
	}
	pv.vms[name] = machine
	if !isStandby {
		pv.startWorker(machine)
	}
}

// startWorker starts a new incarnation of a VM's worker and lists it in the
// directory.
func (pv *Provider) startWorker(machine *vm) {
	machine.incarnation++
	machine.state = modeller.VMUp
	machine.runs = map[modeller.TaskName]*Run{}
	machine.done = map[modeller.TaskName]*Run{}
	machine.worker = executor.New(time.Now(), executor.Settings{
		Worker: modeller.Worker{
			ID:       modeller.WorkerID(fmt.Sprintf("i-%s-%d", machine.name, machine.incarnation)),
			Pool:     machine.pool,
			Capacity: machine.capacity,
		},
		StopTime: stopTime,
		MaxLease: maxLease,
		Profile:  func(name modeller.TaskName) executor.Profile { return pv.profiles[name] },
		OnEnd:    func(end modeller.End) { machine.recordEnd(end.Task, end.Kind) },
	})
	pv.listWorker(machine, "ready")
}

// stopWorker stops a VM's current worker, if any, and removes its directory entry.
func (pv *Provider) stopWorker(machine *vm) {
	if machine.worker == nil {
		return
	}
	machine.worker.Advance(time.Now())
	for name := range machine.worker.Runs() {
		machine.recordEnd(name, EndKilled)
	}
	pv.remove(directoryKey(machine))
	machine.worker = nil
}

func directoryKey(machine *vm) string {
	return "servers/" + string(machine.worker.Worker().ID)
}

// listWorker writes a worker's entry in the directory.
func (pv *Provider) listWorker(machine *vm, state string) {
	value, err := json.Marshal(map[string]any{
		"service":  machine.pool,
		"address":  machine.address.String(),
		"zone":     machine.zone,
		"version":  "v1",
		"slots":    8,
		"state":    state,
		"capacity": map[string]int{"cpu": machine.capacity.MilliCores, "mem_mb": machine.capacity.MemoryMB, "gpu": machine.capacity.Accelerators},
		"labels":   []string{"a", "r1"},
		"machine":  machine.name,
		"born":     machine.worker.Report(time.Now()).StartedAtMS,
	})
	if err != nil {
		pv.violations = append(pv.violations, "directory: "+err.Error())
		return
	}
	pv.Put(directoryKey(machine), value)
}

// Put writes a key of the store unconditionally.
func (pv *Provider) Put(key string, value []byte) {
	pv.commit(storer.Transaction{
		Writes: []storer.Write{{Key: key, Value: value}},
	})
}

func (pv *Provider) remove(key string) {
	pv.commit(storer.Transaction{
		Deletes: []string{key},
	})
}

// Crash stops a VM's worker, if any, and starts a new one without state after the
// given time.
func (pv *Provider) Crash(name string, after time.Duration) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[name]
	if machine.worker == nil {
		return
	}
	pv.stopWorker(machine)
	machine.state = modeller.VMDown
	time.AfterFunc(after, func() { pv.restart(name, machine.pool) })
}

// restart starts a new worker on a VM in a pool.
func (pv *Provider) restart(name, pool string) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[name]
	machine.pool = pool
	pv.startWorker(machine)
}

// Violations returns the violations of guarantees found so far.
func (pv *Provider) Violations() []string {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	return append([]string(nil), pv.violations...)
}

// Counts are the event counts of the workers and VMs.
type Counts struct {
	// Starts counts the runs started, Done the tasks completed, and Moves the
	// moves of VMs between pools.
	Starts, Done, Moves int
}

// Counts returns the event counts so far.
func (pv *Provider) Counts() Counts {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	return Counts{
		Starts: pv.starts,
		Done:   len(pv.completions),
		Moves:  pv.moves,
	}
}

// recordAcknowledged records the ends that a poll has acknowledged. An end doesn't
// count if it is lost with its worker before it is acknowledged, or if the worker's
// lease has expired in between.
func (pv *Provider) recordAcknowledged(machine *vm, ended []modeller.End, acknowledged int64) {
	for _, end := range ended {
		if end.Number > acknowledged || end.Kind != modeller.EndDone || machine.worker.LeaseExpiredSince(machine.done[end.Task].EndedAt) {
			continue
		}
		machine.done[end.Task].IsAcknowledged = true
		pv.completions[end.Task]++
		if pv.completions[end.Task] > 1 {
			pv.violations = append(pv.violations, fmt.Sprintf("%s was completed twice", end.Task))
		}
	}
}

// checkStart checks the guarantees after a worker has started a run.
func (pv *Provider) checkStart(machine *vm, name modeller.TaskName, attempt int) {
	pv.starts++
	pv.recordStart(machine, name, attempt)
	if pv.completions[name] > 0 {
		pv.violations = append(pv.violations, fmt.Sprintf("%s was started after its completion was acknowledged", name))
	}
	if used := machine.worker.Used(); !used.FitsIn(machine.capacity) {
		pv.violations = append(pv.violations, fmt.Sprintf("%s raises the resource use of %s above its capacity", name, machine.name))
	}
	for _, other := range pv.vms {
		if other == machine || other.worker == nil {
			continue
		}
		other.worker.Advance(time.Now())
		if _, runs := other.worker.Runs()[name]; runs {
			pv.violations = append(pv.violations, fmt.Sprintf("%s runs on %s and %s", name, other.name, machine.name))
		}
	}
}

// writeJSON writes a JSON response.
func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// Encoding fails only if the caller has closed the connection.
	_ = json.NewEncoder(rw).Encode(body)
}
