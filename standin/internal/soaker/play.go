package soaker

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/provider"
	"coltsfootwick.example/standin/internal/stager"
)

// The bounds of the users' rules.
const (
	// contactTime is how long a process has to be undisturbed before it is bound by
	// a time.
	contactTime = 3 * time.Second
	// lossSlack is the time after the end of a request's sending until which a
	// connection may be closed without an answer.
	lossSlack       = 200 * time.Millisecond
	configApplyTime = 2 * time.Second
	visibleTime     = 3 * time.Second
	cancelTime      = 3 * time.Second
	stopGrace       = 200 * time.Millisecond
	earlyTime       = 250 * time.Millisecond
	finishTime      = 14 * time.Second
	// idleTime is how long a job may have nothing running while there is room.
	idleTime = 3 * time.Second
	// longRestartTime is the time from the end of a long-running task's run from which
	// it may be idle for idleTime.
	longRestartTime = 6 * time.Second
)

// gangWait is how long a member of a gang waits for the others.
const gangWait = 3 * time.Second

// startTimeout bounds the time until all managers are ready.
const startTimeout = 15 * time.Second

// counts are the numbers of what happened in a play.
type counts struct {
	requests, unanswered, cuts, overruns, hangups atomic.Int64
	events                                        atomic.Int64
}

// play is a play of a plan.
type play struct {
	plan         Plan
	files        string
	stage        *stager.Stage
	managers     []*manager
	rotation     *rotation
	faults       *storeFaults
	links        *links
	disturbances disturbances
	keys         keys
	counts       counts
	trace        *os.File

	mu       sync.Mutex
	findings []Finding
	// processEnds are the ends of the managers' processes.
	processEnds []processEnd
	jobs        []*job
	cuts        []cut
	// unfinished counts the jobs that lacked room until the end.
	unfinished int
}

// Finding is a violated guarantee.
type Finding struct {
	At   time.Time
	Rule string
	Text string
}

// cut is a request whose connection ended without a complete answer.
type cut struct {
	manager         int
	method, path    string
	sentAt, endedAt time.Time
	err             error
}

// newPlay prepares a play with its files in a directory.
func newPlay(plan Plan, files, binaries string) (*play, error) {
	trace, err := os.Create(filepath.Join(files, "trace.log"))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "trace")
	}
	ls := newLinks(plan.Seed, plan.HasLinkFaults)
	se, err := stager.New(files, binaries, stager.WithProvider(provider.WithSeed(plan.Seed), provider.WithGangWait(gangWait), provider.WithAdvisedShare(advisedShare)),
		stager.WithFrontLink(ls.link(linkFront)), stager.WithStoreLink(ls.link(linkStore)), stager.WithWorkerLink(ls.link(linkWorker)))
	if err != nil {
		return nil, err
	}
	pl := &play{
		plan:  plan,
		files: files,
		stage: se,
		trace: trace,
		links: ls,
	}
	for number, vm := range plan.VMs {
		opts := []provider.VMOption{provider.WithLabels("a", racks[number%len(racks)]), provider.WithClock(vm.Clock)}
		if err := se.AddVM(vm.Name, vm.Pool, vmCapacity, vm.Pool == provider.StandbyPool, opts...); err != nil {
			return nil, err
		}
	}
	pl.configure(Configured{
		Version: 1,
		Routes:  plan.Routes,
	})
	for number := range plan.Managers {
		nd, err := se.AddManager(fmt.Sprintf("z%d", number))
		if err != nil {
			return nil, err
		}
		pl.managers = append(pl.managers, &manager{
			number: number,
			node:   nd,
			play:   pl,
		})
	}
	pl.rotation = newRotation(pl.managers)
	pl.faults = &storeFaults{
		keeper: se.Provider().Keeper(),
		nodes:  se.Nodes(),
		seed:   plan.Seed,
	}
	return pl, nil
}

// run plays the plan and checks the guarantees.
func (pl *play) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := pl.startManagers(ctx); err != nil {
		return err
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var callers, events sync.WaitGroup
	for number := range len(pl.managers) * callersPerManager {
		callers.Go(func() { newCaller(pl, number).run(traffic) })
	}
	began := time.Now()
	for _, mt := range pl.plan.Moments {
		if !pause(ctx, time.Until(began.Add(mt.At))) {
			break
		}
		pl.tracef("%T %+v", mt.Event, mt.Event)
		pl.counts.events.Add(1)
		events.Go(func() { pl.perform(traffic, mt.Event) })
	}
	endTraffic()
	callers.Wait()
	events.Wait()
	pl.tracef("the traffic has ended and all faults are healed")
	newFinisher(pl).run(ctx)
	pl.checkEvidence()
	pl.stopManagers()
	pl.checkLogs()
	return ctx.Err()
}

// startManagers starts all managers and waits until they are ready.
func (pl *play) startManagers(ctx context.Context) error {
	for _, mg := range pl.managers {
		if err := mg.start(0); err != nil {
			return err
		}
		go pl.rotation.run(ctx, mg)
	}
	until := time.Now().Add(startTimeout)
	for !pl.rotation.isAllReady() {
		if time.Now().After(until) || !pause(ctx, probeInterval/10) {
			return classifier.New(classifier.Internal, "the managers aren't ready")
		}
	}
	return nil
}

// stopManagers ends all managers at once.
func (pl *play) stopManagers() {
	var stops sync.WaitGroup
	for _, mg := range pl.managers {
		mg.close()
		stops.Go(func() { mg.stop(Stop{Manager: mg.number}) })
	}
	stops.Wait()
}

// addJob adds a job that is about to be submitted.
func (pl *play) addJob(jb *job) {
	pl.stage.Provider().Expect(jb.Job)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.jobs = append(pl.jobs, jb)
}

// maxLongShare is the share of the pools' capacity that long-running jobs may take.
const maxLongShare = 0.25

// hasRoomForLong reports whether another long-running job leaves enough room.
func (pl *play) hasRoomForLong() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	used := longTasks * taskMilliCores
	for _, jb := range pl.jobs {
		if jb.isLong() && !jb.cancelSent() {
			used += longTasks * taskMilliCores
		}
	}
	capacity := 0
	for _, vm := range pl.plan.VMs {
		if vm.Pool != provider.StandbyPool {
			capacity += vmCapacity.MilliCores
		}
	}
	return float64(used) <= maxLongShare*float64(capacity)
}

// drawJob returns a random job, or nil if there is none.
func (pl *play) drawJob(random *rand.Rand) *job {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.jobs) == 0 {
		return nil
	}
	return pl.jobs[random.IntN(len(pl.jobs))]
}

// recordExchange counts an exchange and records it if its connection was cut later
// than lossSlack after the request was sent.
func (pl *play) recordExchange(mg *manager, method, path string, ex exchange) {
	if ex.err == nil {
		return
	}
	pl.counts.unanswered.Add(1)
	if !ex.isCut() || ex.endedAt.Sub(ex.sentAt) <= lossSlack {
		return
	}
	pl.counts.cuts.Add(1)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.cuts = append(pl.cuts, cut{
		manager: mg.number,
		method:  method,
		path:    path,
		sentAt:  ex.sentAt,
		endedAt: ex.endedAt,
		err:     ex.err,
	})
}

// report records a violated guarantee.
func (pl *play) report(rule, format string, args ...any) {
	fd := Finding{
		At:   time.Now(),
		Rule: rule,
		Text: fmt.Sprintf(format, args...),
	}
	pl.tracef("%s: %s", fd.Rule, fd.Text)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.findings = append(pl.findings, fd)
}

// traceTime is the format of times in traces, as in the managers' logs.
const traceTime = "15:04:05.000"

// tracef writes a line to the trace of the play.
func (pl *play) tracef(format string, args ...any) {
	line := time.Now().Format(traceTime) + " " + fmt.Sprintf(format, args...) + "\n"
	// A lost line of the trace doesn't change the verdict.
	_, _ = pl.trace.WriteString(line)
}

// raceReport begins a report of the race detector.
var raceReport = []byte("WARNING: DATA RACE")

// checkLogs reports data races that the managers have logged.
func (pl *play) checkLogs() {
	for _, mg := range pl.managers {
		path := filepath.Join(pl.files, mg.node.Name+".log")
		data, err := os.ReadFile(path)
		if err != nil {
			pl.report("SOAK", "%v", err)
		}
		if races := bytes.Count(data, raceReport); races > 0 {
			pl.report("RACE", "%d data races of %s", races, mg.node.Name)
		}
		if bytes.Contains(data, []byte("panic: ")) {
			pl.report("PROCESS", "%s panicked", mg.node.Name)
		}
	}
}

// close ends the play's processes and servers.
func (pl *play) close() {
	for _, mg := range pl.managers {
		mg.close()
	}
	pl.stage.Close()
	pl.links.close()
	_ = pl.trace.Close()
}
