package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Durations of the platform, as in the settings of a small site.
const (
	migrateTime     = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	stopTime        = 100 * time.Millisecond
	holdMax         = 10 * time.Second
	advanceInterval = 5 * time.Millisecond
	startupTime     = 300 * time.Millisecond
	maxEnds         = 500
)

// fleet is the platform's machines with their executors.
type fleet struct {
	mu       sync.Mutex
	rec      *record
	store    *store
	machines map[string]*machine
	lives    int
	starts   []start
	ends     []endedRun
	// hold, if set, decides whether a call about a machine is left unanswered, and
	// after which time it is carried out.
	hold func(mo machineOrder) (delay time.Duration, isHeld bool)
	// upkeeps counts the upkeeps that have begun, and overLimit describes the first
	// that began beyond the cap of its wave.
	upkeeps   int
	overLimit string
	// cutZone is the zone that is cut off, or empty; its executors are reached under
	// cutFence alone.
	cutZone  string
	cutFence uint64
	// hasAdvice is true if starts need a ticket.
	hasAdvice bool
}

// machine is a machine and the present life of its executor.
type machine struct {
	name, pool, zone, kind, rack, address string
	cpu, memMB                            int
	state                                 string
	fence                                 uint64
	maintained                            map[int64]bool
	upkeepWave                            int64
	life                                  *life
	// greyUntil is the time until which the executor refuses all starts, although its
	// health is good.
	greyUntil time.Time

	channelsMu sync.Mutex
	channels   map[net.Conn]bool
}

// noteChannel keeps the open channels to the machine.
func (ma *machine) noteChannel(conn net.Conn, state http.ConnState) {
	ma.channelsMu.Lock()
	defer ma.channelsMu.Unlock()
	switch state {
	case http.StateNew:
		ma.channels[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(ma.channels, conn)
	}
}

// closeChannels closes all channels to the machine, as the end of its executor does.
func (ma *machine) closeChannels() {
	ma.channelsMu.Lock()
	defer ma.channelsMu.Unlock()
	for conn := range ma.channels {
		_ = conn.Close()
	}
}

// life is one life of an executor.
type life struct {
	id        string
	born      int64
	startedAt time.Time
	fence     uint64
	leaseEnd  int64
	runs      map[string]*run
	highest   map[string]int
	ends      []end
	ended     int64
}

type run struct {
	attempt   int
	work      work
	startedAt time.Time
	stopAt    time.Time
}

// work is what a work unit does; requesters send it as the spec of a job.
type work struct {
	MS   int  `json:"ms"`
	Long bool `json:"long"`
}

type end struct {
	number  int64
	task    string
	attempt int
	how     string
}

// start is a work unit that an executor has begun.
type start struct {
	at            time.Time
	task, machine string
}

// endedRun is the end of a run.
type endedRun struct {
	at        time.Time
	task, how string
}

func newFleet(rec *record, st *store) *fleet {
	fl := &fleet{rec: rec, store: st, machines: map[string]*machine{}}
	go func() {
		for range time.Tick(advanceInterval) {
			fl.mu.Lock()
			for _, ma := range fl.machines {
				fl.advance(ma)
			}
			fl.mu.Unlock()
		}
	}()
	return fl
}

// add adds a machine whose executor starts at once. The machine's time of day is ahead
// by a duration at that moment.
func (fl *fleet) add(name, pool, zone string, cpu, memMB int, ahead time.Duration) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ma := &machine{
		name: name, pool: pool, zone: zone, kind: "a", rack: "r1-" + name, address: listener.Addr().String(),
		cpu: cpu, memMB: memMB, state: "up", maintained: map[int64]bool{}, channels: map[net.Conn]bool{},
	}
	server := &http.Server{Handler: fl.executorHandler(ma), ConnState: ma.noteChannel}
	go func() { _ = server.Serve(listener) }()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.machines[name] = ma
	fl.begin(ma, "", time.Now().Add(ahead).UnixMilli())
	return nil
}

// begin starts a life of a machine's executor, under a new id if none is given. The
// mutex has to be held.
func (fl *fleet) begin(ma *machine, id string, born int64) {
	if id == "" {
		fl.lives++
		id = fmt.Sprintf("i-%s-%d", ma.name, fl.lives)
	}
	ma.state = "up"
	ma.life = &life{
		id: id, born: born, startedAt: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{},
	}
	fl.rec.log("executor %s of %s starts in %s, born %d", id, ma.name, ma.pool, born)
	fl.store.put("servers/"+id, map[string]any{
		"service": ma.pool, "address": ma.address, "zone": ma.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "machine": ma.name, "labels": []string{ma.kind, ma.rack}, "born": born,
		"capacity": map[string]int{"cpu": ma.cpu, "mem_mb": ma.memMB, "gpu": 0},
	})
}

// takeDown ends the present life; everything that runs ends with it. The mutex has to
// be held.
func (fl *fleet) takeDown(ma *machine, state, how string, isListed bool) {
	ma.state = state
	if ma.life == nil {
		return
	}
	for _, task := range sortedTasks(ma.life.runs) {
		fl.ends = append(fl.ends, endedRun{at: time.Now(), task: task, how: how})
		fl.rec.log("run %s on %s ends: %s", task, ma.name, how)
	}
	if !isListed {
		fl.store.remove("servers/" + ma.life.id)
	}
	ma.life = nil
	ma.closeChannels()
}

func sortedTasks(runs map[string]*run) []string {
	var tasks []string
	for task := range runs {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	return tasks
}

// crash ends a machine's executor, which starts again after a time under its id, with
// the right time of day.
func (fl *fleet) crash(name string, downtime time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ma := fl.machines[name]
	id := ma.life.id
	fl.rec.log("executor %s crashes", id)
	fl.takeDown(ma, "down", "crash", true)
	time.AfterFunc(downtime, func() {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.begin(ma, id, time.Now().UnixMilli())
	})
}

// lose ends a machine and its executor for good. The store removes the executor's entry
// after its silence.
func (fl *fleet) lose(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ma := fl.machines[name]
	key := "servers/" + ma.life.id
	fl.rec.log("executor %s is lost for good", ma.life.id)
	fl.takeDown(ma, "down", "crash", true)
	time.AfterFunc(silenceTime, func() { fl.store.remove(key) })
}

func (li *life) clock() int64 { return time.Since(li.startedAt).Milliseconds() }

// advance ends the runs of a machine that are done, stopped or without a lease.
func (fl *fleet) advance(ma *machine) {
	li := ma.life
	if li == nil {
		return
	}
	now := time.Now()
	for _, task := range sortedTasks(li.runs) {
		rn := li.runs[task]
		how := ""
		switch {
		case li.clock() >= li.leaseEnd:
			how = "lapsed"
		case !rn.stopAt.IsZero() && now.After(rn.stopAt):
			how = "stopped"
		case !rn.work.Long && now.After(rn.startedAt.Add(time.Duration(rn.work.MS)*time.Millisecond)):
			how = "done"
		}
		if how == "" {
			continue
		}
		delete(li.runs, task)
		li.highest[task] = max(li.highest[task], rn.attempt)
		li.ended++
		li.ends = append(li.ends, end{number: li.ended, task: task, attempt: rn.attempt, how: how})
		fl.ends = append(fl.ends, endedRun{at: now, task: task, how: how})
		fl.rec.log("run %s, attempt %d, on %s ends: %s", task, rn.attempt, ma.name, how)
	}
}

// order is the body of a call to an executor.
type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	Ticket       string `json:"ticket"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int    `json:"wait_ms"`
}

func (fl *fleet) executorHandler(ma *machine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", fl.executorCall(ma, fl.startRun))
	mux.HandleFunc("POST /run-stop", fl.executorCall(ma, fl.stopRun))
	mux.HandleFunc("POST /pace", fl.executorCall(ma, func(rw http.ResponseWriter, ma *machine, _ order) { answer(rw, ma.life, "") }))
	mux.HandleFunc("POST /hold", func(rw http.ResponseWriter, rq *http.Request) {
		fl.serveHold(rw, rq, ma)
	})
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	return mux
}

// executorCall checks the instance and the fence of a call and carries it out.
func (fl *fleet) executorCall(ma *machine, do func(rw http.ResponseWriter, ma *machine, od order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		var od order
		if json.NewDecoder(rq.Body).Decode(&od) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.withLife(rw, rq, ma, od, do)
	}
}

func (fl *fleet) withLife(rw http.ResponseWriter, rq *http.Request, ma *machine, od order, do func(rw http.ResponseWriter, ma *machine, od order)) {
	for fl.cutZone == ma.zone && od.FencingToken != fl.cutFence {
		fl.mu.Unlock()
		time.Sleep(advanceInterval)
		fl.mu.Lock()
		if rq.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	li := ma.life
	if li == nil {
		panic(http.ErrAbortHandler)
	}
	if expected := rq.Header.Get("Expect-Instance"); expected != "" && expected != li.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fl.advance(ma)
	if od.FencingToken < li.fence {
		answer(rw, li, "fence")
		return
	}
	li.fence = od.FencingToken
	li.leaseEnd = max(li.leaseEnd, min(od.DeadlineMS, li.clock()+holdMax.Milliseconds()))
	do(rw, ma, od)
}

func answer(rw http.ResponseWriter, li *life, reason string) {
	if reason != "" {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": li.clock(), "born": li.born, "reason": reason})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": li.clock(), "born": li.born})
}

func (fl *fleet) startRun(rw http.ResponseWriter, ma *machine, od order) {
	li := ma.life
	rn := li.runs[od.Task]
	var wo work
	switch {
	case time.Now().Before(ma.greyUntil):
		fl.rec.log("run %s, attempt %d, is refused by %s: 503", od.Task, od.Attempt, ma.name)
		rw.WriteHeader(http.StatusServiceUnavailable)
	case rn != nil && rn.attempt == od.Attempt:
		answer(rw, li, "")
	case rn != nil || od.Attempt <= li.highest[od.Task]:
		answer(rw, li, "old")
	case li.leaseEnd <= li.clock():
		answer(rw, li, "late")
	case fl.hasAdvice && od.Ticket != ticketOf(stepOf(od.Task), li.id):
		answer(rw, li, "ticket")
	case json.Unmarshal([]byte(od.Spec), &wo) != nil:
		rw.WriteHeader(http.StatusBadRequest)
	default:
		li.runs[od.Task] = &run{attempt: od.Attempt, work: wo, startedAt: time.Now()}
		fl.starts = append(fl.starts, start{at: time.Now(), task: od.Task, machine: ma.name})
		fl.rec.log("run %s, attempt %d, starts on %s (%s), fence %d", od.Task, od.Attempt, ma.name, li.id, od.FencingToken)
		answer(rw, li, "")
	}
}

func (fl *fleet) stopRun(rw http.ResponseWriter, ma *machine, od order) {
	li := ma.life
	li.highest[od.Task] = max(li.highest[od.Task], od.Attempt)
	if rn := li.runs[od.Task]; rn != nil && rn.attempt == od.Attempt && rn.stopAt.IsZero() {
		rn.stopAt = time.Now().Add(stopTime)
		fl.rec.log("run %s, attempt %d, on %s is told to stop", od.Task, od.Attempt, ma.name)
	}
	answer(rw, li, "")
}

// serveHold answers as soon as there is an end, or after the wait.
func (fl *fleet) serveHold(rw http.ResponseWriter, rq *http.Request, ma *machine) {
	var od order
	if json.NewDecoder(rq.Body).Decode(&od) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(od.WaitMS) * time.Millisecond)
	for isAnswered := false; !isAnswered; {
		isAnswered = true
		func() {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.withLife(rw, rq, ma, od, func(rw http.ResponseWriter, ma *machine, od order) {
				li := ma.life
				li.ends = slices.DeleteFunc(li.ends, func(en end) bool { return en.number <= od.LastSeen })
				if len(li.ends) == 0 && time.Now().Before(until) {
					isAnswered = false
					return
				}
				writeReport(rw, li)
			})
		}()
		if !isAnswered {
			time.Sleep(advanceInterval)
		}
	}
}

func writeReport(rw http.ResponseWriter, li *life) {
	running, ended := [][]any{}, [][]any{}
	for _, task := range sortedTasks(li.runs) {
		rn := li.runs[task]
		total := time.Duration(rn.work.MS) * time.Millisecond
		if rn.work.Long {
			total = startupTime
		}
		percent := min(100, int(100*time.Since(rn.startedAt)/max(total, 1)))
		running = append(running, []any{task, rn.attempt, "", percent, 0})
	}
	for _, en := range li.ends[:min(len(li.ends), maxEnds)] {
		ended = append(ended, []any{en.number, en.task, en.attempt, en.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": li.clock(), "born": li.born, "running": running, "ended": ended})
}

// machinesHandler is the handler of the VM interface.
func (fl *fleet) machinesHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", fl.serveMachines)
	mux.HandleFunc("POST /machine-move", fl.machineCall)
	mux.HandleFunc("POST /machine-upkeep", fl.machineCall)
	return mux
}

func (fl *fleet) serveMachines(rw http.ResponseWriter, _ *http.Request) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	rows := []map[string]any{}
	for _, ma := range fl.machines {
		row := map[string]any{"machine": ma.name, "pool": ma.pool, "state": ma.state, "zone": ma.zone, "labels": []string{ma.kind, ma.rack},
			"capacity": map[string]int{"cpu": ma.cpu, "mem_mb": ma.memMB, "gpu": 0}}
		if ma.life != nil {
			row["id"] = ma.life.id
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i]["machine"].(string) < rows[j]["machine"].(string) })
	writeJSON(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// machineOrder is a move or an upkeep.
type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
	holder  string
	fence   uint64
}

func (fl *fleet) machineCall(rw http.ResponseWriter, rq *http.Request) {
	var mo machineOrder
	if json.NewDecoder(rq.Body).Decode(&mo) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	mo.holder = rq.Header.Get("Holder")
	mo.fence, _ = strconv.ParseUint(rq.Header.Get("Fencing-Token"), 10, 64)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.hold != nil {
		if delay, isHeld := fl.hold(mo); isHeld {
			fl.rec.log("%s of %s by %s, fence %d: no answer, carried out %s later", rq.URL.Path, mo.Machine, mo.holder, mo.fence, delay)
			time.AfterFunc(delay, func() {
				fl.mu.Lock()
				defer fl.mu.Unlock()
				status, reason := fl.carryOut(mo)
				fl.rec.log("the late %s of %s by %s, fence %d, is carried out: %d %s", rq.URL.Path, mo.Machine, mo.holder, mo.fence, status, reason)
			})
			panic(http.ErrAbortHandler)
		}
	}
	status, reason := fl.carryOut(mo)
	fl.rec.log("%s of %s by %s, fence %d: %d %s", rq.URL.Path, mo.Machine, mo.holder, mo.fence, status, reason)
	if reason == "" {
		writeJSON(rw, status, map[string]any{})
		return
	}
	writeJSON(rw, status, map[string]any{"reason": reason})
}

// carryOut carries out a move or an upkeep. The mutex has to be held.
func (fl *fleet) carryOut(mo machineOrder) (status int, reason string) {
	ma := fl.machines[mo.Machine]
	switch {
	case ma == nil:
		return http.StatusBadRequest, "no such machine"
	case mo.fence < ma.fence:
		return http.StatusConflict, "fence"
	}
	ma.fence = mo.fence
	switch {
	case mo.Pool != "" && ma.pool == mo.Pool, mo.Wave != 0 && ma.maintained[mo.Wave]:
		return http.StatusOK, ""
	case ma.state != "up":
		return http.StatusConflict, "busy"
	case mo.Pool != "":
		fl.takeDown(ma, "moving", "move", false)
		ma.pool = mo.Pool
		fl.beginLater(ma, migrateTime)
		return http.StatusOK, ""
	}
	fl.upkeeps++
	if down := fl.inUpkeep(mo.Wave); len(down) >= waveCap && fl.overLimit == "" {
		fl.overLimit = fmt.Sprintf("the upkeep of %s, ordered by %s under fence %d, begins while %v are down for wave %d, whose cap is %d", ma.name, mo.holder, mo.fence, down, mo.Wave, waveCap)
	}
	ma.maintained[mo.Wave] = true
	ma.upkeepWave = mo.Wave
	fl.takeDown(ma, "upkeep", "upkeep", false)
	fl.beginLater(ma, maintenanceTime)
	return http.StatusOK, ""
}

func (fl *fleet) beginLater(ma *machine, after time.Duration) {
	time.AfterFunc(after, func() {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.begin(ma, "", time.Now().UnixMilli())
	})
}

// inUpkeep returns the machines that are down for a wave. The mutex has to be held.
func (fl *fleet) inUpkeep(wave int64) []string {
	var names []string
	for name, ma := range fl.machines {
		if ma.state == "upkeep" && ma.upkeepWave == wave {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
