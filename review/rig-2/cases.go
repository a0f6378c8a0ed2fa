package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken.
var cases = map[string]func(root string, rec *recorder, isTrouble bool) []string{
	"label":  playLabel,
	"cordon": playCordon,
	"stale":  playStale,
	"start":  playStart,
	"lease":  playLease,
	"cancel": playCancel,
	"entry":  playEntry,
}

func service(name string, isStandby bool) map[string]any {
	return map[string]any{"name": name, "rejects_overload": false, "standby": isStandby}
}

// playLabel lets an executor crash while it is cut off from the store, and start again
// with another kind.
func playLabel(root string, rec *recorder, isTrouble bool) []string {
	var verdict []string
	wd := newWorld(root, rec, isTrouble, 2, []map[string]any{service("svc", false)}, func(fl *fleet) {
		for number := range 5 {
			kind := "a"
			if number < 2 {
				kind = "b"
			}
			fl.addMachine(fmt.Sprintf("m%d", number+1), "svc", 32000, []string{kind, "r1"})
		}
		fl.hooks.started = func(m *machine, rn *unitRun) {
			if rn.spec.Job == "needs b" && !slices.Contains(m.boot.labels, "b") {
				verdict = append(verdict, fmt.Sprintf("ROUTE: %s with the constraint b started on %s, whose labels are %v", rn.unit, m.boot.id, m.boot.labels))
			}
		}
	})
	const (
		runTime     = 20 * time.Second
		troubleAt   = 6 * time.Second
		restartTime = 500 * time.Millisecond
		cutTime     = 5 * time.Second
		jobInterval = 250 * time.Millisecond
	)
	if isTrouble {
		time.AfterFunc(troubleAt, func() {
			fl := wd.fleet
			fl.mu.Lock()
			defer fl.mu.Unlock()
			m := fl.machines["m1"]
			before := *m.boot
			rec.log("trouble: %s is cut off from the store for %s, and crashes", before.id, cutTime)
			fl.crash(m)
			time.AfterFunc(time.Until(before.listedAt.Add(entryExpiry)), func() {
				fl.mu.Lock()
				defer fl.mu.Unlock()
				if m.boot == nil || m.boot.isCut {
					rec.log("platform: the entry of %s is removed after three intervals of silence", before.id)
					fl.store.delete("servers/" + before.id)
				}
			})
			time.AfterFunc(restartTime, func() {
				fl.mu.Lock()
				defer fl.mu.Unlock()
				fl.start(m, before.id, []string{"a", "r1"}, true)
				rec.log("trouble: %s starts again under its ID, at its address, labels %v", before.id, m.boot.labels)
			})
			time.AfterFunc(cutTime, func() {
				fl.mu.Lock()
				defer fl.mu.Unlock()
				rec.log("trouble: %s reaches the store again", before.id)
				m.boot.isCut = false
				fl.list(m)
			})
		})
	}
	for until := time.Now().Add(runTime); time.Now().Before(until); time.Sleep(jobInterval) {
		wd.submit(wd.managers[wd.lastJob%2], "svc", spec{Job: "needs b", WorkMS: 400},
			step{"count": 4, "cpu": 8000, "mem_mb": 512, "estimate_ms": 400, "constraints": "b"})
	}
	time.Sleep(time.Second)
	wd.fleet.mu.Lock()
	defer wd.fleet.mu.Unlock()
	return verdict
}

// stuckCheck measures for how long a job has nothing running although there is room.
type stuckCheck struct {
	since   time.Time
	longest time.Duration
}

// watch samples the fleet until the job has ended, for a job of one unit that demands cpu
// thousandths of a core and, if it isn't empty, a label. units holds what a unit of each job
// demands.
func (wd *world) watch(name, label string, cpu int, units map[string]int, timeout time.Duration) (longest time.Duration, hasEnded bool) {
	var check stuckCheck
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		wd.fleet.mu.Lock()
		isRunning, hasRoom, used, capacity := false, false, 0, 0
		for _, m := range wd.fleet.machines {
			if m.boot == nil {
				continue
			}
			usedHere := 0
			for _, rn := range m.boot.runs {
				usedHere += units[rn.spec.Job]
				isRunning = isRunning || rn.spec.Job == name
			}
			used += usedHere
			capacity += m.cpu
			if (label == "" || slices.Contains(m.boot.labels, label)) && m.cpu-usedHere >= 2*cpu {
				hasRoom = true
			}
		}
		wd.fleet.mu.Unlock()
		if isRunning || !hasRoom || 2*used >= capacity {
			check.since = time.Time{}
		} else if check.since.IsZero() {
			check.since = time.Now()
		}
		if !check.since.IsZero() {
			check.longest = max(check.longest, time.Since(check.since))
		}
		if wd.isDone(name) {
			return check.longest, true
		}
	}
	return check.longest, false
}

// done holds the jobs with a unit that has ended done. The fleet guards it.
var done = map[string]bool{}

func (wd *world) isDone(name string) bool {
	wd.fleet.mu.Lock()
	defer wd.fleet.mu.Unlock()
	return done[name]
}

// The bounds of LOST: the time with nothing running, the calm time before it, and
// contact_ms, for which an impairment counts after its end.
const (
	stuckTime   = 3 * time.Second
	calmTime    = 4 * time.Second
	contactTime = 3 * time.Second
)

// judge returns how LOST was broken, if it was. before is the time for which an impairment
// at the beginning still counts.
func (wd *world) judge(longest, before time.Duration, hasEnded bool) []string {
	return wd.judgeAs("the job had nothing running", longest, before, hasEnded)
}

// judgeAs is judge for what stood still.
func (wd *world) judgeAs(what string, longest, before time.Duration, hasEnded bool) []string {
	limit := before + calmTime + stuckTime
	wd.rec.log("case: longest time for which %s although there is room: %s, of which %s may be excused; ended: %t", what, longest.Round(time.Millisecond), limit, hasEnded)
	if longest < limit {
		return nil
	}
	return []string{fmt.Sprintf("LOST: for %s %s, there was room for it twice over and under half of the service's capacity was in use", longest.Round(time.Millisecond), what)}
}

// playCordon has a machine maintained that runs a long unit, while another job can run
// there only.
func playCordon(root string, rec *recorder, isTrouble bool) []string {
	wd := newWorld(root, rec, isTrouble, 2, []map[string]any{service("svc", false)}, func(fl *fleet) {
		for number := range 4 {
			kind := "a"
			if number == 0 {
				kind = "b"
			}
			fl.addMachine(fmt.Sprintf("m%d", number+1), "svc", 32000, []string{kind, "r1"})
		}
		fl.hooks.ended = func(_ *machine, rn *unitRun, how string) {
			if how == "done" {
				done[rn.spec.Job] = true
			}
		}
	})
	time.Sleep(2 * time.Second)
	const longTime = 45 * time.Second
	mg := wd.managers[0]
	wd.submit(mg, "svc", spec{Job: "long", WorkMS: longTime.Milliseconds()}, step{"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": longTime.Milliseconds(), "constraints": "b"})
	if isTrouble {
		wd.fleet.mu.Lock()
		wd.fleet.waves[1] = map[string]bool{"m1": false}
		wd.fleet.mu.Unlock()
		rec.log("trouble: wave 1 asks for the upkeep of m1 within 26 s")
		wd.store.put("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m1"}, "duration_s": 26, "cap": 1})
	}
	time.Sleep(15 * time.Second)
	wd.submit(mg, "svc", spec{Job: "urgent", WorkMS: 500}, step{"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 500, "constraints": "b"})
	longest, hasEnded := wd.watch("urgent", "b", 4000, map[string]int{"long": 4000, "urgent": 4000}, 40*time.Second)
	return wd.judge(longest, 0, hasEnded)
}

// playStale stops the holder of the duty for some seconds while it has moves of machines
// to order.
func playStale(root string, rec *recorder, isTrouble bool) []string {
	const (
		machines   = 48
		mayMiss    = 1
		cloudTime  = 50 * time.Millisecond
		freezeTime = 3500 * time.Millisecond
		rounds     = 7
	)
	var verdict []string
	// isCancelled is true once the last job's cancelling has been sent.
	isCancelled := false
	isAway := map[string]bool{}
	finished := 0
	moves := make(chan string, 1000)
	wd := newWorld(root, rec, isTrouble, 6, []map[string]any{service("svc", false), service("off", true)}, func(fl *fleet) {
		fl.cloudTime = cloudTime
		for number := range machines {
			fl.addMachine(fmt.Sprintf("m%02d", number+1), "svc", 32000, []string{"a", fmt.Sprintf("r%d", number/4+1)})
		}
		fl.hooks.started = func(_ *machine, rn *unitRun) {
			delete(isAway, rn.unit)
		}
		fl.hooks.ended = func(_ *machine, rn *unitRun, how string) {
			if how == "done" {
				finished++
			}
		}
		fl.hooks.ordered = func(m *machine, holder, name string, _ int) {
			if finished >= machines {
				moves <- holder
			}
			if m.boot == nil {
				return
			}
			for _, rn := range m.boot.sorted() {
				if rn.spec.Job != "lasting" || !rn.isAtWork() || isCancelled {
					continue
				}
				away := len(isAway)
				rec.log("case: the %s ends %s, which was at work; %d others of its step are away", name, rn.unit, away)
				if away >= mayMiss {
					verdict = append(verdict, fmt.Sprintf("AVAIL: the %s of %s, ordered by %s, ended %s at work while %d others of its step were away", name, m.name, holder, rn.unit, away))
				}
				isAway[rn.unit] = true
			}
		}
	})
	for round := 1; round <= rounds && len(verdict) == 0; round++ {
		rec.log("case: round %d", round)
		wd.submit(wd.managers[0], "svc", spec{Job: "filler", WorkMS: 3000}, step{"count": machines, "cpu": 28000, "mem_mb": 1024, "estimate_ms": 3000})
		wd.await("the units of the first job have ended", 30*time.Second, func() bool {
			wd.fleet.mu.Lock()
			defer wd.fleet.mu.Unlock()
			return finished >= round*machines
		})
		wd.fleet.mu.Lock()
		clear(isAway)
		isCancelled = false
		wd.fleet.mu.Unlock()
		cancel := wd.playFreeze(moves, isTrouble, freezeTime, mayMiss)
		wd.fleet.mu.Lock()
		isCancelled = true
		wd.fleet.mu.Unlock()
		cancel()
	}
	wd.fleet.mu.Lock()
	defer wd.fleet.mu.Unlock()
	return verdict
}

// playFreeze stops the holder of the duty once it moves machines, and hands a job in at the
// manager that takes the duty over. The returned function cancels the job.
func (wd *world) playFreeze(moves chan string, isTrouble bool, freezeTime time.Duration, mayMiss int) (cancel func()) {
	for len(moves) > 0 {
		<-moves
	}
	select {
	case <-moves:
	case <-time.After(10 * time.Second):
		must(fmt.Errorf("no machine was moved"))
	}
	holder := wd.holder()
	other := wd.managers[0]
	if other == holder {
		other = wd.managers[1]
	}
	if isTrouble {
		must(holder.cmd.Process.Signal(syscall.SIGSTOP))
		wd.rec.log("trouble: %s, which holds the duty, stands still for %s", holder.node, freezeTime)
		time.AfterFunc(freezeTime, func() {
			wd.rec.log("trouble: %s wakes", holder.node)
			must(holder.cmd.Process.Signal(syscall.SIGCONT))
		})
		wd.await("another machine holds the duty", 10*time.Second, func() bool {
			other = wd.holder()
			return other != nil && other != holder
		})
	}
	// The scheduler knows all executors by then.
	time.Sleep(300 * time.Millisecond)
	id := wd.submit(other, "svc", spec{Job: "lasting"}, step{"count": 5, "cpu": 3000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true, "anti_affinity": 1, "may_miss": mayMiss})
	time.Sleep(4 * time.Second)
	return func() {
		status, _ := wd.call(other, http.MethodDelete, "/svc/"+id, "")
		wd.rec.log("requester: DELETE of job %s at %s: %d", id, other.node, status)
		time.Sleep(time.Second)
	}
}

// playStart lets an executor crash for good when it gets the start of a job's only unit.
func playStart(root string, rec *recorder, isTrouble bool) []string {
	wd := newWorld(root, rec, isTrouble, 2, []map[string]any{service("svc", false)}, func(fl *fleet) {
		for number := range 8 {
			fl.addMachine(fmt.Sprintf("m%d", number+1), "svc", 32000, []string{"a", "r1"})
		}
		fl.hooks.ended = func(_ *machine, rn *unitRun, how string) {
			if how == "done" {
				done[rn.spec.Job] = true
			}
		}
		hasCrashed := false
		fl.hooks.arrived = func(m *machine, sp spec) bool {
			if !isTrouble || hasCrashed || sp.Job != "urgent" {
				return false
			}
			hasCrashed = true
			rec.log("trouble: %s gets a start of the job and crashes for good, without an answer", m.boot.id)
			id := m.boot.id
			fl.crash(m)
			m.state = "down"
			time.AfterFunc(entryExpiry, func() { fl.store.delete("servers/" + id) })
			return true
		}
	})
	time.Sleep(3 * time.Second)
	wd.submit(wd.managers[0], "svc", spec{Job: "urgent", WorkMS: 500}, step{"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 500})
	longest, hasEnded := wd.watch("urgent", "", 4000, map[string]int{"urgent": 4000}, 25*time.Second)
	return wd.judge(longest, contactTime, hasEnded)
}

// playLease kills the holder of the duty, and lets an executor crash for good soon after
// the next holder has taken over.
func playLease(root string, rec *recorder, isTrouble bool) []string {
	const (
		restartTime = 500 * time.Millisecond
		units       = 5
		victim      = "m1"
	)
	lastEnd := map[string]time.Time{}
	isRunning := map[string]bool{}
	wd := newWorld(root, rec, isTrouble, 2, []map[string]any{service("svc", false)}, func(fl *fleet) {
		for number := range 10 {
			fl.addMachine(fmt.Sprintf("m%d", number+1), "svc", 32000, []string{"a", "r1"})
		}
		fl.hooks.started = func(_ *machine, rn *unitRun) { isRunning[rn.unit] = true }
		fl.hooks.ended = func(_ *machine, rn *unitRun, _ string) {
			delete(isRunning, rn.unit)
			lastEnd[rn.unit] = time.Now()
		}
	})
	time.Sleep(2 * time.Second)
	wd.submit(wd.managers[0], "svc", spec{Job: "lasting"}, step{"count": units, "cpu": 3000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true, "anti_affinity": 1, "may_miss": 1})
	wd.await("all units run", 10*time.Second, func() bool {
		wd.fleet.mu.Lock()
		defer wd.fleet.mu.Unlock()
		return len(isRunning) == units
	})
	time.Sleep(5 * time.Second)
	if isTrouble {
		holder := wd.holder()
		before := wd.store.lastCreated("/scheduler")
		must(holder.cmd.Process.Kill())
		rec.log("trouble: %s, which holds the duty, is killed", holder.node)
		time.AfterFunc(restartTime, func() { holder.run(root) })
		wd.await("the duty has been taken over", 10*time.Second, func() bool { return wd.store.lastCreated("/scheduler") > before })
		time.Sleep(100 * time.Millisecond)
		wd.fleet.mu.Lock()
		m := wd.fleet.machines[victim]
		id := m.boot.id
		rec.log("trouble: %s crashes for good", id)
		wd.fleet.crash(m)
		m.state = "down"
		wd.fleet.mu.Unlock()
		time.AfterFunc(entryExpiry, func() { wd.store.delete("servers/" + id) })
	}
	var longest time.Duration
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		wd.fleet.mu.Lock()
		for unit, endedAt := range lastEnd {
			if !isRunning[unit] {
				longest = max(longest, time.Since(endedAt))
			}
		}
		wd.fleet.mu.Unlock()
	}
	// From 6 s after its last run a unit that lasts must not stand still for 3 s.
	return wd.judgeAs("a unit that lasts didn't run", longest, contactTime, false)
}

// playCancel hands a job in at a manager that stands still, and cancels it at another one
// when no answer comes.
func playCancel(root string, rec *recorder, isTrouble bool) []string {
	const (
		freezeTime = 3500 * time.Millisecond
		cancelTime = 3 * time.Second
		stopGrace  = 900 * time.Millisecond
		jobs       = 8
		rounds     = 12
	)
	running := map[string]time.Time{}
	wd := newWorld(root, rec, isTrouble, 6, []map[string]any{service("svc", false)}, func(fl *fleet) {
		for number := range 5 {
			fl.addMachine(fmt.Sprintf("m%d", number+1), "svc", 32000, []string{"a", "r1"})
		}
		fl.hooks.started = func(_ *machine, rn *unitRun) { running[rn.unit] = time.Now() }
		fl.hooks.ended = func(_ *machine, rn *unitRun, _ string) { delete(running, rn.unit) }
	})
	time.Sleep(2 * time.Second)
	var verdict []string
	for round := range rounds {
		rec.log("case: round %d", round+1)
		wd.playGivenUp(round, jobs, isTrouble, freezeTime)
		// The machine has woken before it is stopped again.
		time.Sleep(time.Second)
	}
	// No impairment is near any more after contact_ms; then the bounds of the rule.
	time.Sleep(contactTime + cancelTime + stopGrace)
	wd.fleet.mu.Lock()
	defer wd.fleet.mu.Unlock()
	for unit, startedAt := range running {
		verdict = append(verdict, fmt.Sprintf("UNASKED: %s of a cancelled job, which started %s ago, runs on", unit, time.Since(startedAt).Round(time.Millisecond)))
	}
	return verdict
}

// playGivenUp hands jobs in at a manager that doesn't hold the duty, and cancels them.
func (wd *world) playGivenUp(round, jobs int, isTrouble bool, freezeTime time.Duration) {
	holder := wd.holder()
	frozen := wd.managers[0]
	if frozen == holder {
		frozen = wd.managers[1]
	}
	if isTrouble {
		must(frozen.cmd.Process.Signal(syscall.SIGSTOP))
		wd.rec.log("trouble: %s, which doesn't hold the duty, stands still for %s", frozen.node, freezeTime)
		time.AfterFunc(freezeTime, func() {
			wd.rec.log("trouble: %s wakes", frozen.node)
			must(frozen.cmd.Process.Signal(syscall.SIGCONT))
		})
	}
	var requesters sync.WaitGroup
	for number := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b3%x%02x", round, number)
		requesters.Go(func() { wd.handInAndCancel(frozen, holder, id) })
	}
	requesters.Wait()
}

// handInAndCancel hands a job in at one manager, and cancels it at another one, whether it
// was accepted or got no answer in time.
func (wd *world) handInAndCancel(first, second *manager, id string) {
	status, _ := wd.call(first, http.MethodPost, "/svc/"+id, `{"spec":"{\"job\":\"lasting\"}","steps":[{"count":1,"cpu":3000,"mem_mb":1024,"estimate_ms":1000,"long_running":true}]}`)
	wd.rec.log("requester: POST of job %s at %s: %d (0: no answer within its 3 s)", id, first.node, status)
	for range 5 {
		status, _ = wd.call(second, http.MethodDelete, "/svc/"+id, "")
		wd.rec.log("requester: DELETE of job %s at %s: %d", id, second.node, status)
		if status == http.StatusOK || status == http.StatusGone {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	must(fmt.Errorf("the cancelling was not acknowledged"))
}

// playEntry lets another writer overwrite the entry of an executor that runs a unit, until
// the executor's next status report.
func playEntry(root string, rec *recorder, isTrouble bool) []string {
	const workTime = 6 * time.Second
	var verdict []string
	runners := map[string][]string{}
	ends := map[string]int{}
	wd := newWorld(root, rec, isTrouble, 2, []map[string]any{service("svc", false)}, func(fl *fleet) {
		for number := range 4 {
			fl.addMachine(fmt.Sprintf("m%d", number+1), "svc", 32000, []string{"a", "r1"})
		}
		fl.hooks.started = func(m *machine, rn *unitRun) {
			for _, other := range runners[rn.unit] {
				verdict = append(verdict, fmt.Sprintf("TWICE: run %d of %s started on %s while another run was at work on %s, which is up", rn.number, rn.unit, m.boot.id, other))
			}
			if ends[rn.unit] > 0 {
				verdict = append(verdict, fmt.Sprintf("TWICE: run %d of %s started on %s after a run had ended done", rn.number, rn.unit, m.boot.id))
			}
			runners[rn.unit] = append(runners[rn.unit], m.boot.id)
		}
		fl.hooks.ended = func(m *machine, rn *unitRun, how string) {
			runners[rn.unit] = slices.DeleteFunc(runners[rn.unit], func(id string) bool { return m.boot != nil && id == m.boot.id })
			if how == "done" {
				ends[rn.unit]++
			}
		}
	})
	time.Sleep(2 * time.Second)
	wd.submit(wd.managers[0], "svc", spec{Job: "claim", WorkMS: workTime.Milliseconds()}, step{"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": workTime.Milliseconds()})
	var victim string
	wd.await("the unit runs", 10*time.Second, func() bool {
		wd.fleet.mu.Lock()
		defer wd.fleet.mu.Unlock()
		for _, ids := range runners {
			victim = strings.Join(ids, "")
		}
		return victim != ""
	})
	time.Sleep(2 * time.Second)
	if isTrouble {
		rec.log("trouble: another writer overwrites the entry of %s, with a service that no configuration names", victim)
		wd.store.put("servers/"+victim, map[string]any{
			"service": "elsewhere", "address": freePorts(1)[0], "zone": "z1", "version": "v3", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": 16000, "mem_mb": 65536, "gpu": 0},
			"labels": []string{"a", "r9"}, "clock_ms": 1200, "seq": 1, "born": time.Now().UnixMilli() - 1200, "machine": "m-elsewhere",
		})
	}
	time.Sleep(2 * workTime)
	wd.fleet.mu.Lock()
	defer wd.fleet.mu.Unlock()
	for unit, count := range ends {
		if count > 1 {
			verdict = append(verdict, fmt.Sprintf("TWICE: %d runs of %s ended done", count, unit))
		}
	}
	return verdict
}
