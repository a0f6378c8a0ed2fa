// Package provider serves a model of the users' platform over HTTP, with the
// platform's published protocol: the metadata store, the workers, the VM interface
// and the advice service. It checks the runs of the workers and records violated
// guarantees.
package provider

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/store/keeper"
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
	// defaultGangWait is how long a member of a gang waits for the others.
	defaultGangWait = 3 * time.Second
	// defaultCheckpointInterval is the work between two checkpoints, and
	// defaultRestoreTime the time to resume from one.
	defaultCheckpointInterval = time.Second
	defaultRestoreTime        = 600 * time.Millisecond
)

// Provider is a stand-in of the users' platform.
type Provider struct {
	keeper *keeper.Keeper

	// seed is the seed of random choices, and advisedShare the share of the workers
	// that may run a step of a queue with advice.
	seed         uint64
	advisedShare float64
	entryExpiry  time.Duration
	heartbeat    time.Duration
	// gangWait, checkpointInterval and restoreTime are settings of the workers.
	gangWait, checkpointInterval, restoreTime time.Duration

	// reporting guards violations.
	reporting  sync.Mutex
	violations []Violation

	mu sync.Mutex
	// hasChanged is signalled when a worker has started or stopped.
	hasChanged *sync.Cond
	random     *rand.Rand
	vms        map[string]*vm
	counts     Counts
	// runs are ordered by their starts, and maintenances by their beginnings.
	runs         []*Run
	maintenances []Maintenance
	// profiles holds the profiles of started tasks, decoded from their payloads.
	profiles map[modeller.TaskName]executor.Profile
	// expected holds the jobs that may run, or is nil if any may.
	expected map[modeller.JobID]*expectedJob
	// queues are the queues of all configurations, and pools the pools of the newest.
	queues  []modeller.Queue
	pools   map[string]modeller.Pool
	units   map[modeller.TaskName]*unit
	gangs   map[gangKey]*gang
	tickets map[string]ticket
	writer  *writer
	stop    chan struct{}
}

// Option changes one property of a new Provider.
type Option func(*Provider)

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option {
	return func(pv *Provider) { pv.seed = seed }
}

// WithGangWait sets how long a member of a gang waits for the others.
func WithGangWait(wait time.Duration) Option {
	return func(pv *Provider) { pv.gangWait = wait }
}

// WithCheckpoints sets the work between two checkpoints, and the time that it takes
// to resume from one.
func WithCheckpoints(interval, restoreTime time.Duration) Option {
	return func(pv *Provider) {
		pv.checkpointInterval = interval
		pv.restoreTime = restoreTime
	}
}

// WithAdvisedShare sets the share of a pool's VMs, at least one, whose workers may
// run a step of a queue with advice.
func WithAdvisedShare(share float64) Option {
	return func(pv *Provider) { pv.advisedShare = share }
}

// WithHeartbeat sets the interval at which workers write their directory entries
// again. By default they don't.
func WithHeartbeat(interval time.Duration) Option {
	return func(pv *Provider) { pv.heartbeat = interval }
}

// WithEntryExpiry sets how long the directory entry of a worker that has crashed
// remains.
func WithEntryExpiry(expiry time.Duration) Option {
	return func(pv *Provider) { pv.entryExpiry = expiry }
}

// vm is a VM with the current incarnation of its worker.
type vm struct {
	name, pool, zone string
	// firstPool is the pool that the VM was added to.
	firstPool   string
	address     netip.AddrPort
	state       modeller.VMState
	incarnation int
	// idNumber is the number in the ID of the worker; keepsID is true if the next
	// incarnation has the same one.
	idNumber int
	keepsID  bool
	// reportedStart is the start time that the next incarnation reports, or zero for
	// the true one, listedAfter the delay of its directory entry, and nextClock the
	// reading of its clock at its start, or nil for a random one.
	reportedStart time.Time
	listedAfter   time.Duration
	nextClock     *time.Duration
	worker        *executor.Executor
	fence         uint64
	maintained    map[int64]bool
	capacity      modeller.Resources
	labels        []string
	clock         Clock
	faults        []WorkerFault
	// conns are the open connections to the worker.
	conns map[net.Conn]struct{}
	// servedFrom is the earliest incarnation whose calls are carried out. Those of
	// earlier ones stay without an answer if isSilent is true. While isBooting is true, no
	// worker runs and connections wait for the next one.
	servedFrom          int
	isSilent, isBooting bool
	// runs are the records of the worker's current runs, and done those of the runs
	// that ended done.
	runs, done map[modeller.TaskName]*Run
	// drainsUntil is when the worker leaves, or zero if it isn't draining.
	drainsUntil time.Time
	// listedAt is when the worker last wrote its directory entry, and sequence how
	// often it has.
	listedAt time.Time
	sequence int
}

// Clock is the error of the clocks of a VM's workers.
type Clock struct {
	// Offset is the reading of the steady clock at a worker's start. If the worker is
	// back under its ID, its clock begins anew below twice the offset.
	Offset time.Duration
	// Drift is the fraction by which the steady clock runs slow.
	Drift float64
	// WallOffset is the error of the time of day.
	WallOffset time.Duration
}

// VMOption changes one property of a new VM.
type VMOption func(*vm)

// WithLabels sets the labels of a VM's workers.
func WithLabels(labels ...string) VMOption {
	return func(machine *vm) { machine.labels = labels }
}

// WithClock sets the error of the clocks of a VM's workers.
func WithClock(clock Clock) VMOption {
	return func(machine *vm) { machine.clock = clock }
}

// New returns a Provider that advances its workers until Close is called.
func New(opts ...Option) *Provider {
	kr := keeper.New(keeper.WithRates(0, 0))
	pv := &Provider{
		keeper:             kr,
		advisedShare:       1,
		gangWait:           defaultGangWait,
		checkpointInterval: defaultCheckpointInterval,
		restoreTime:        defaultRestoreTime,
		vms:                map[string]*vm{},
		profiles:           map[modeller.TaskName]executor.Profile{},
		pools:              map[string]modeller.Pool{},
		units:              map[modeller.TaskName]*unit{},
		gangs:              map[gangKey]*gang{},
		tickets:            map[string]ticket{},
		stop:               make(chan struct{}),
	}
	for _, opt := range opts {
		opt(pv)
	}
	pv.hasChanged = sync.NewCond(&pv.mu)
	pv.random = rand.New(rand.NewPCG(pv.seed, pv.seed))
	pv.writer = newWriter(kr.Zone("platform"), pv.stop)
	go pv.advanceWorkers()
	go pv.writer.run()
	return pv
}

// Close stops advancing the workers and writing to the store.
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
				if machine.worker == nil {
					continue
				}
				machine.worker.Advance(time.Now())
				if pv.heartbeat > 0 && time.Since(machine.listedAt) >= pv.heartbeat {
					pv.listWorker(machine)
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
func (pv *Provider) AddVM(name, pool, zone string, address netip.AddrPort, capacity modeller.Resources, isStandby bool, opts ...VMOption) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := &vm{
		name:       name,
		pool:       pool,
		firstPool:  pool,
		zone:       zone,
		address:    address,
		state:      modeller.VMUp,
		servedFrom: 1,
		maintained: map[int64]bool{},
		capacity:   capacity,
		labels:     []string{"a", "r1"},
		conns:      map[net.Conn]struct{}{},
	}
	for _, opt := range opts {
		opt(machine)
	}
	pv.vms[name] = machine
	if !isStandby {
		pv.startWorker(machine)
	}
}

// startWorker starts a new incarnation of a VM's worker and lists it in the
// directory.
func (pv *Provider) startWorker(machine *vm) {
	offset := machine.clock.Offset
	if machine.keepsID && offset > 0 {
		offset = time.Duration(pv.random.Int64N(2 * int64(offset)))
	}
	if !machine.keepsID {
		machine.idNumber++
	}
	wallOffset := machine.clock.WallOffset
	if !machine.reportedStart.IsZero() {
		wallOffset = time.Until(machine.reportedStart)
		machine.reportedStart = time.Time{}
	}
	if machine.nextClock != nil {
		offset = *machine.nextClock
		machine.nextClock = nil
	}
	machine.keepsID = false
	machine.isBooting = false
	machine.incarnation++
	incarnation := machine.incarnation
	machine.state = modeller.VMUp
	machine.drainsUntil = time.Time{}
	machine.runs = map[modeller.TaskName]*Run{}
	machine.done = map[modeller.TaskName]*Run{}
	machine.sequence = 0
	machine.worker = executor.New(time.Now(), executor.Settings{
		Worker: modeller.Worker{
			ID:       machine.workerID(),
			Pool:     machine.pool,
			Labels:   machine.labels,
			Capacity: machine.capacity,
		},
		StopTime:           stopTime,
		MaxLease:           maxLease,
		Drift:              machine.clock.Drift,
		ClockOffset:        offset,
		WallClockOffset:    wallOffset,
		GangWait:           pv.gangWait,
		CheckpointInterval: pv.checkpointInterval,
		RestoreTime:        pv.restoreTime,
		IsCapacityEnforced: pv.pools[machine.pool].RejectsOverload,
		Profile:            pv.profile,
		OnEnd:              func(end modeller.End) { pv.recordEnd(machine, incarnation, end) },
	})
	pv.hasChanged.Broadcast()
	listedAfter := machine.listedAfter
	machine.listedAfter = 0
	if listedAfter == 0 {
		pv.listWorker(machine)
		return
	}
	time.AfterFunc(listedAfter, func() {
		pv.mu.Lock()
		defer pv.mu.Unlock()
		if machine.worker != nil && machine.incarnation == incarnation {
			pv.listWorker(machine)
		}
	})
}

// workerID returns the ID of a VM's current or last worker.
func (machine *vm) workerID() modeller.WorkerID {
	return modeller.WorkerID(fmt.Sprintf("i-%s-%d", machine.name, machine.idNumber))
}

// stopWorker stops a VM's current worker, if any, and ends its connections and calls.
// Its directory entry remains.
func (pv *Provider) stopWorker(machine *vm) {
	pv.haltWorker(machine)
	machine.servedFrom = machine.incarnation + 1
	machine.isSilent, machine.isBooting = false, false
	machine.closeConns()
	pv.hasChanged.Broadcast()
}

// haltWorker stops a VM's current worker, if any, and leaves its connections open.
func (pv *Provider) haltWorker(machine *vm) {
	if machine.worker == nil {
		return
	}
	machine.worker.Advance(time.Now())
	for name := range machine.worker.Runs() {
		machine.endRun(name, EndKilled)
	}
	machine.worker = nil
	machine.drainsUntil = time.Time{}
	pv.breakGangs(machine)
}

// unlistWorker removes the directory entry of a VM's last worker.
func (pv *Provider) unlistWorker(machine *vm) { pv.writer.remove(directoryKey(machine.workerID())) }

func directoryKey(id modeller.WorkerID) string { return "servers/" + string(id) }

// listWorker writes a worker's entry in the directory.
func (pv *Provider) listWorker(machine *vm) {
	machine.listedAt = time.Now()
	machine.sequence++
	entry := map[string]any{
		"service":  machine.pool,
		"address":  machine.address.String(),
		"zone":     machine.zone,
		"version":  "v1",
		"slots":    8,
		"state":    "ready",
		"capacity": map[string]int{"cpu": machine.capacity.MilliCores, "mem_mb": machine.capacity.MemoryMB, "gpu": machine.capacity.Accelerators},
		"labels":   machine.labels,
		"machine":  machine.name,
		"born":     machine.worker.Report(time.Now()).StartedAtMS,
		"seq":      machine.sequence,
	}
	if !machine.drainsUntil.IsZero() {
		entry["state"] = "draining"
		entry["remaining_ms"] = max(time.Until(machine.drainsUntil).Milliseconds(), 0)
	}
	value, err := json.Marshal(entry)
	if err != nil {
		pv.recordViolation(RuleModel, modeller.TaskName{}, "directory: %v", err)
		return
	}
	pv.writer.put(directoryKey(machine.workerID()), value)
}

// Put writes a key of the store unconditionally. It repeats the write until the store
// has acknowledged it or Close is called.
func (pv *Provider) Put(key string, value []byte) {
	select {
	case <-pv.writer.put(key, value):
	case <-pv.stop:
	}
}

// ExpireEntries removes the directory entries of all workers, as the store does if
// their leases expire while it is down. Each worker writes its entry again at a random
// time within a limit.
func (pv *Provider) ExpireEntries(within time.Duration) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	for _, machine := range pv.vms {
		if machine.worker == nil {
			continue
		}
		pv.unlistWorker(machine)
		incarnation := machine.incarnation
		time.AfterFunc(time.Duration(pv.random.Int64N(int64(within))), func() {
			pv.mu.Lock()
			defer pv.mu.Unlock()
			if machine.worker != nil && machine.incarnation == incarnation {
				pv.listWorker(machine)
			}
		})
	}
}

// Crash stops a VM's worker and starts a new one without state after the given
// time. It does nothing if no worker runs on the VM.
func (pv *Provider) Crash(name string, after time.Duration) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[name]
	if machine.worker == nil {
		return
	}
	pv.stopWorker(machine)
	machine.state = modeller.VMDown
	if pv.entryExpiry == 0 {
		pv.unlistWorker(machine)
	} else {
		key := directoryKey(machine.workerID())
		time.AfterFunc(pv.entryExpiry, func() { pv.writer.remove(key) })
	}
	pv.restartAfter(machine, after)
}

// Drain lists a VM's worker as draining. The worker leaves after the remaining time,
// and a new one starts after a further time. It does nothing if no worker runs on
// the VM or if the worker drains already.
func (pv *Provider) Drain(name string, remaining, after time.Duration) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[name]
	if machine.worker == nil || !machine.drainsUntil.IsZero() {
		return
	}
	machine.drainsUntil = time.Now().Add(remaining)
	pv.listWorker(machine)
	incarnation := machine.incarnation
	time.AfterFunc(remaining, func() {
		pv.mu.Lock()
		defer pv.mu.Unlock()
		if machine.incarnation != incarnation || machine.worker == nil {
			return
		}
		pv.stopWorker(machine)
		pv.unlistWorker(machine)
		machine.state = modeller.VMDown
		pv.restartAfter(machine, after)
	})
}

// restartAfter starts a new worker on a VM after a time, unless another one has
// been started by then.
func (pv *Provider) restartAfter(machine *vm, after time.Duration) {
	incarnation := machine.incarnation
	time.AfterFunc(after, func() {
		pv.mu.Lock()
		defer pv.mu.Unlock()
		if machine.incarnation == incarnation {
			pv.startWorker(machine)
		}
	})
}

// Counts are the event counts of the workers and VMs.
type Counts struct {
	// Starts counts the runs started, Done the tasks completed, and Moves the
	// moves of VMs between pools.
	Starts, Done, Moves int
	// Resumes counts the runs started from a checkpoint, and Gangs the gangs whose
	// members were all present.
	Resumes, Gangs int
	// TicketRefusals counts the starts refused for want of a valid ticket.
	TicketRefusals int
	// LostAnswers counts the answers lost after the call took effect, and LateOrders
	// the calls carried out late.
	LostAnswers, LateOrders int
}

// Counts returns the event counts so far.
func (pv *Provider) Counts() Counts {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	return pv.counts
}

// writeJSON writes a JSON response.
func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// Encoding fails only if the caller has closed the connection.
	_ = json.NewEncoder(rw).Encode(body)
}
