package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	entryExpiry = 3 * heartbeat
	holdMax     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	startupTime = 300 * time.Millisecond
)

// spec is the payload of the jobs of a case: what their work units really do.
type spec struct {
	// Job names the job in the record.
	Job string `json:"job"`
	// WorkMS is the work of a unit; zero for a unit that lasts.
	WorkMS int64 `json:"work_ms"`
}

type unitRun struct {
	unit    string
	number  int
	spec    spec
	started time.Time
	stopAt  time.Time
}

type runEnd struct {
	number int64
	unit   string
	run    int
	how    string
}

// machine is a VM of the platform with at most one executor.
type machine struct {
	name    string
	pool    string
	address string
	cpu     int
	// state is that of the list of machines.
	state string
	// fence is the highest fencing token of the orders that the platform got for it.
	fence uint64
	boot  *boot
	lives int
}

// boot is one start of an executor.
type boot struct {
	id         string
	born       int64
	startedAt  time.Time
	labels     []string
	fence      uint64
	runs       map[string]*unitRun
	highest    map[string]int
	ends       []runEnd
	lastEnd    int64
	leaseEnd   time.Duration
	isCut      bool
	listedAt   time.Time
	seq        int
	server     *http.Server
	isOver     bool
	hasChanged chan struct{}
}

// fleet is a stand-in of the machines, their executors and the VM interface.
type fleet struct {
	mu       sync.Mutex
	store    *store
	rec      *recorder
	machines map[string]*machine
	// cloudSilentUntil is the time until which the VM interface doesn't answer.
	cloudSilentUntil time.Time
	// cloudTime is how long the VM interface takes for a call.
	cloudTime time.Duration
	// moveTime is how long a machine is away for a move, and upkeepTime for an upkeep.
	moveTime, upkeepTime time.Duration
	waves                map[int64]map[string]bool
	standby              map[string]bool
	hooks                hooks
}

// hooks are the observations of a case. They are called with the fleet locked.
type hooks struct {
	// arrived is called for each start, and reports whether the executor has crashed.
	arrived func(m *machine, sp spec) bool
	started func(m *machine, rn *unitRun)
	ended   func(m *machine, rn *unitRun, how string)
	ordered func(m *machine, holder, order string, status int)
}

func newFleet(st *store, rec *recorder) *fleet {
	fl := &fleet{
		store: st, rec: rec, machines: map[string]*machine{},
		moveTime: 1500 * time.Millisecond, upkeepTime: 2 * time.Second,
		waves: map[int64]map[string]bool{}, standby: map[string]bool{},
	}
	fl.hooks = hooks{
		arrived: func(*machine, spec) bool { return false },
		started: func(*machine, *unitRun) {}, ended: func(*machine, *unitRun, string) {},
		ordered: func(*machine, string, string, int) {},
	}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			fl.advance()
		}
	}()
	return fl
}

func (b *boot) clock() time.Duration { return time.Since(b.startedAt) }

// addMachine adds a machine to a pool and starts its executor.
func (fl *fleet) addMachine(name, pool string, cpu int, labels []string) {
	ln, err := net.Listen("tcp", loopback+":0")
	must(err)
	address := ln.Addr().String()
	must(ln.Close())
	fl.mu.Lock()
	defer fl.mu.Unlock()
	m := &machine{name: name, pool: pool, address: address, cpu: cpu, state: "up"}
	fl.machines[name] = m
	fl.start(m, "i-"+name+"-0", labels, false)
}

// start starts an executor on a machine. The fleet is locked.
func (fl *fleet) start(m *machine, id string, labels []string, isCut bool) {
	m.lives++
	b := &boot{
		id: id, born: time.Now().UnixMilli(), startedAt: time.Now(), labels: labels,
		runs: map[string]*unitRun{}, highest: map[string]int{}, isCut: isCut, hasChanged: make(chan struct{}),
	}
	m.boot = b
	ln, err := net.Listen("tcp", m.address)
	must(err)
	mux := http.NewServeMux()
	for path, call := range map[string]func(*machine, *boot, order, http.ResponseWriter, *http.Request){
		"POST /run-start": fl.runStart, "POST /run-stop": fl.runStop, "POST /hold": fl.hold, "POST /pace": fl.pace,
	} {
		mux.HandleFunc(path, func(rw http.ResponseWriter, rq *http.Request) {
			if expected := rq.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
				answer(rw, http.StatusMisdirectedRequest, struct{}{})
				return
			}
			var od order
			if json.NewDecoder(rq.Body).Decode(&od) != nil {
				answer(rw, http.StatusBadRequest, struct{}{})
				return
			}
			call(m, b, od, rw, rq)
		})
	}
	b.server = &http.Server{Handler: mux}
	go func() { _ = b.server.Serve(ln) }()
	fl.list(m)
}

// crash ends the executor of a machine. The fleet is locked.
func (fl *fleet) crash(m *machine) {
	b := m.boot
	if b == nil {
		return
	}
	b.isOver = true
	m.boot = nil
	_ = b.server.Close()
	for _, rn := range b.sorted() {
		fl.hooks.ended(m, rn, "gone with its executor")
	}
}

// list writes the status report of an executor, if it reaches the store.
func (fl *fleet) list(m *machine) {
	b := m.boot
	if b.isCut {
		return
	}
	b.seq++
	b.listedAt = time.Now()
	fl.store.put("servers/"+b.id, map[string]any{
		"service": m.pool, "address": m.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": m.cpu, "mem_mb": 131072, "gpu": 0},
		"labels": b.labels, "clock_ms": b.clock().Milliseconds(), "seq": b.seq, "born": b.born, "machine": m.name,
	})
}

func (b *boot) sorted() []*unitRun {
	var runs []*unitRun
	for _, rn := range b.runs {
		runs = append(runs, rn)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].unit < runs[j].unit })
	return runs
}

// end ends a run. The fleet is locked.
func (fl *fleet) end(m *machine, b *boot, rn *unitRun, how string) {
	delete(b.runs, rn.unit)
	b.highest[rn.unit] = max(b.highest[rn.unit], rn.number)
	b.lastEnd++
	b.ends = append(b.ends, runEnd{number: b.lastEnd, unit: rn.unit, run: rn.number, how: how})
	fl.rec.log("executor %s: run %d of %s (%s) ended %s", b.id, rn.number, rn.unit, rn.spec.Job, how)
	fl.hooks.ended(m, rn, how)
	close(b.hasChanged)
	b.hasChanged = make(chan struct{})
}

// advance ends the runs that are due, and writes status reports.
func (fl *fleet) advance() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, m := range fl.machines {
		b := m.boot
		if b == nil {
			continue
		}
		if time.Since(b.listedAt) >= heartbeat {
			fl.list(m)
		}
		for _, rn := range b.sorted() {
			switch age := time.Since(rn.started); {
			case !rn.stopAt.IsZero() && time.Now().After(rn.stopAt):
				fl.end(m, b, rn, "stopped")
			case b.clock() > b.leaseEnd:
				fl.end(m, b, rn, "lapsed")
			case rn.spec.WorkMS > 0 && age.Milliseconds() >= rn.spec.WorkMS:
				fl.end(m, b, rn, "done")
			}
		}
	}
}

// order is the body of a call to an executor.
type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// accept checks the fence of a call and extends the lease. The fleet is locked.
func (fl *fleet) accept(b *boot, od order, rw http.ResponseWriter) bool {
	if b.isOver {
		panic(http.ErrAbortHandler)
	}
	if od.Fence < b.fence {
		b.refuse(rw, "fence")
		return false
	}
	b.fence = od.Fence
	if od.DeadlineMS > 0 {
		b.leaseEnd = max(b.leaseEnd, min(time.Duration(od.DeadlineMS)*time.Millisecond, b.clock()+holdMax))
	}
	return true
}

func (b *boot) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": b.clock().Milliseconds(), "reason": reason})
}

func (b *boot) confirm(rw http.ResponseWriter) {
	answer(rw, http.StatusOK, map[string]any{"clock_ms": b.clock().Milliseconds()})
}

func (fl *fleet) runStart(m *machine, b *boot, od order, rw http.ResponseWriter, _ *http.Request) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !fl.accept(b, od, rw) {
		return
	}
	if rn := b.runs[od.Task]; rn != nil && rn.number == od.Attempt {
		b.confirm(rw)
		return
	}
	if od.Attempt <= b.highest[od.Task] {
		b.refuse(rw, "old")
		return
	}
	if b.clock() > b.leaseEnd {
		b.refuse(rw, "late")
		return
	}
	rn := &unitRun{unit: od.Task, number: od.Attempt, started: time.Now()}
	_ = json.Unmarshal([]byte(od.Spec), &rn.spec)
	if fl.hooks.arrived(m, rn.spec) {
		panic(http.ErrAbortHandler)
	}
	b.runs[od.Task] = rn
	fl.rec.log("executor %s (%s, labels %v): run %d of %s (%s) started, fence %d", b.id, m.name, b.labels, rn.number, rn.unit, rn.spec.Job, od.Fence)
	fl.hooks.started(m, rn)
	b.confirm(rw)
}

func (fl *fleet) runStop(_ *machine, b *boot, od order, rw http.ResponseWriter, _ *http.Request) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !fl.accept(b, od, rw) {
		return
	}
	b.highest[od.Task] = max(b.highest[od.Task], od.Attempt)
	if rn := b.runs[od.Task]; rn != nil && rn.number <= od.Attempt && rn.stopAt.IsZero() {
		fl.rec.log("executor %s: stop of run %d of %s (%s) ordered, fence %d", b.id, rn.number, rn.unit, rn.spec.Job, od.Fence)
		rn.stopAt = time.Now().Add(stopTime)
	}
	b.confirm(rw)
}

func (fl *fleet) pace(_ *machine, b *boot, od order, rw http.ResponseWriter, _ *http.Request) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.accept(b, od, rw) {
		b.confirm(rw)
	}
}

func (fl *fleet) hold(_ *machine, b *boot, od order, rw http.ResponseWriter, rq *http.Request) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !fl.accept(b, od, rw) {
		return
	}
	for len(b.ends) > 0 && b.ends[0].number <= od.LastSeen {
		b.ends = b.ends[1:]
	}
	timer := time.NewTimer(time.Duration(od.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for isOver := od.WaitMS == 0; len(b.ends) == 0 && !isOver; {
		changed := b.hasChanged
		fl.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-rq.Context().Done():
			isOver = true
		}
		fl.mu.Lock()
		if b.isOver {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, rn := range b.sorted() {
		running = append(running, []any{rn.unit, rn.number, "", rn.percent(), 0})
	}
	for _, end := range b.ends[:min(len(b.ends), 500)] {
		ended = append(ended, []any{end.number, end.unit, end.run, end.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"born": b.born, "clock_ms": b.clock().Milliseconds(), "running": running, "ended": ended})
}

// percent returns the progress of a run; one that lasts is at work after a short startup.
func (rn *unitRun) percent() int {
	total := startupTime
	if rn.spec.WorkMS > 0 {
		total = time.Duration(rn.spec.WorkMS) * time.Millisecond
	}
	return int(min(100*time.Since(rn.started)/total, 100))
}

// isAtWork reports whether a run that lasts is at work.
func (rn *unitRun) isAtWork() bool { return rn.percent() >= 100 }
