// Package provider serves the users' platform over HTTP by its published
// protocol: the metadata store, the workers, the VM interface and the advice
// service, made of the stand-in's models. It watches what the workers run and
// keeps the broken promises that it sees.
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

// The model's times.
const (
	// advanceInterval is how often the workers' time passes.
	advanceInterval = 5 * time.Millisecond
	// awayTime is how long a move or maintenance takes a VM away.
	awayTime = 800 * time.Millisecond
	stopTime = 100 * time.Millisecond
	maxLease = 10 * time.Second
)

// Provider is the platform's stand-in.
type Provider struct {
	keeper *keeper.Keeper
	store  *keeper.Zone

	mu     sync.Mutex
	vms    map[string]*vm
	done   map[modeller.TaskName]int
	broken []string
	starts int
	moves  int
	// profiles are of the tasks that were started, by what their payload says.
	profiles map[modeller.TaskName]executor.Profile
	stop     chan struct{}
}

// vm is a VM with the present life of its worker.
type vm struct {
	name, pool, zone string
	address          netip.AddrPort
	state            modeller.VMState
	life             int
	worker           *executor.Executor
	fence            uint64
	maintained       map[int64]bool
	capacity         modeller.Resources
}

// New returns a Provider whose time passes until Close is called.
func New() *Provider {
	kr := keeper.New(keeper.WithRates(0, 0))
	pv := &Provider{
		keeper:   kr,
		store:    kr.Zone("platform"),
		vms:      map[string]*vm{},
		done:     map[modeller.TaskName]int{},
		profiles: map[modeller.TaskName]executor.Profile{},
		stop:     make(chan struct{}),
	}
	go pv.run()
	return pv
}

// Close ends the passing of time.
func (pv *Provider) Close() { close(pv.stop) }

// Keeper returns the store, for faults.
func (pv *Provider) Keeper() *keeper.Keeper { return pv.keeper }

// run lets the workers' time pass.
func (pv *Provider) run() {
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

// AddVM adds a VM whose workers listen on an address, to a pool. VMs of a
// standby pool are off.
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
		pv.begin(machine)
	}
}

// begin starts a life of a VM's worker and lists it in the directory.
func (pv *Provider) begin(machine *vm) {
	machine.life++
	machine.state = modeller.VMUp
	machine.worker = executor.New(time.Now(), executor.Settings{
		Worker: modeller.Worker{
			ID:       modeller.WorkerID(fmt.Sprintf("i-%s-%d", machine.name, machine.life)),
			Pool:     machine.pool,
			Capacity: machine.capacity,
		},
		StopTime: stopTime,
		MaxLease: maxLease,
		Profile:  func(name modeller.TaskName) executor.Profile { return pv.profiles[name] },
	})
	pv.list(machine, "ready")
}

// end ends the present life, if there is one.
func (pv *Provider) end(machine *vm) {
	if machine.worker == nil {
		return
	}
	pv.remove(directoryKey(machine))
	machine.worker = nil
}

func directoryKey(machine *vm) string {
	return "servers/" + string(machine.worker.Worker().ID)
}

// list writes a worker's entry in the directory.
func (pv *Provider) list(machine *vm, state string) {
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
		pv.broken = append(pv.broken, "directory: "+err.Error())
		return
	}
	pv.Put(directoryKey(machine), value)
}

// Put writes a key of the store, whatever it held.
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

// Crash ends a VM's worker, which comes back after a time with nothing.
func (pv *Provider) Crash(name string, after time.Duration) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[name]
	pv.end(machine)
	machine.state = modeller.VMDown
	time.AfterFunc(after, func() { pv.restart(name, machine.pool) })
}

// restart starts a VM's next life in a pool.
func (pv *Provider) restart(name, pool string) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[name]
	machine.pool = pool
	pv.begin(machine)
}

// Violations returns the promises that were broken so far.
func (pv *Provider) Violations() []string {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	return append([]string(nil), pv.broken...)
}

// Counts say what the workers have done.
type Counts struct {
	// Starts and Done count runs, and Moves the VMs that changed their pool.
	Starts, Done, Moves int
}

// Counts returns what the workers have done so far.
func (pv *Provider) Counts() Counts {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	return Counts{
		Starts: pv.starts,
		Done:   len(pv.done),
		Moves:  pv.moves,
	}
}

// noteAcknowledged takes in the ends that a poll acknowledges. An end that is
// lost with its worker before that doesn't count.
func (pv *Provider) noteAcknowledged(machine *vm, acknowledged int64) {
	for _, end := range machine.worker.Report(time.Now()).Ended {
		if end.Number > acknowledged || end.Kind != modeller.EndDone {
			continue
		}
		pv.done[end.Task]++
		if pv.done[end.Task] > 1 {
			pv.broken = append(pv.broken, fmt.Sprintf("%s was done twice", end.Task))
		}
	}
}

// noteStart checks a start that a worker has carried out.
func (pv *Provider) noteStart(machine *vm, name modeller.TaskName) {
	pv.starts++
	if pv.done[name] > 0 {
		pv.broken = append(pv.broken, fmt.Sprintf("%s was started after it was done", name))
	}
	if used := machine.worker.Used(); !used.FitsIn(machine.capacity) {
		pv.broken = append(pv.broken, fmt.Sprintf("%s brings %s over its capacity", name, machine.name))
	}
	for _, other := range pv.vms {
		if other == machine || other.worker == nil {
			continue
		}
		if _, runs := other.worker.Runs()[name]; runs {
			pv.broken = append(pv.broken, fmt.Sprintf("%s runs on %s and %s", name, other.name, machine.name))
		}
	}
}

// writeJSON writes an answer.
func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(rw).Encode(body)
}
