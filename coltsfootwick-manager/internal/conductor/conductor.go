// Package conductor holds the scheduler's duty: it feeds the allocator with
// what happens, has its orders carried out and its records stored.
package conductor

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/dispatcher"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// ringEvents is how many events wait; whoever brings more waits as well.
	ringEvents = 1024
	// tickInterval is how often decisions that depend on time are made.
	tickInterval = 25 * time.Millisecond
	// batchInterval is the least time between two batches of records, so that
	// one holds the changes of several jobs.
	batchInterval = 40 * time.Millisecond
	// loadRetry is the pause after a failed read of an earlier holder's records.
	loadRetry = 50 * time.Millisecond
)

// errFenced ends a holder whose orders are refused for a later holder's.
var errFenced = classifier.New(classifier.OrderFenced, "a worker or the VM interface has seen a later holder")

// Conductor holds the duty while it is served. State and Pending may be called
// at any time.
type Conductor struct {
	store      storer.TransactionStore
	dutyKey    string
	region     string
	node       string
	bounds     allocator.Bounds
	platform   dispatcher.Platform
	waveStatus archiver.Status
	logger     *zap.Logger
	questions  chan question
	timeOfDay  func() time.Time
	// jobsSyncedAt is when the watch of the jobs last answered, in nanoseconds.
	jobsSyncedAt atomic.Int64
}

// question asks the allocator for something.
type question struct {
	ask func(al *allocator.Allocator)
	// isNews is true if the answer may call for orders.
	isNews bool
	// done is closed once it has been asked.
	done chan struct{}
}

// Settings are what a Conductor needs.
type Settings struct {
	// Store is the platform's store, DutyKey the key of the duty.
	Store   storer.TransactionStore
	DutyKey string
	// Region and Node name what the duty is for and where it is held.
	Region, Node string
	// Bounds are the times that decisions depend on.
	Bounds allocator.Bounds
	// Platform is what orders are carried out at.
	Platform dispatcher.Platform
	// WaveStatus is how operators are told of waves.
	WaveStatus archiver.Status
	// Logger takes a line for each decision.
	Logger *zap.Logger
}

// New returns a Conductor.
func New(st Settings) *Conductor {
	return &Conductor{
		store:      st.Store,
		dutyKey:    st.DutyKey,
		region:     st.Region,
		node:       st.Node,
		bounds:     st.Bounds,
		platform:   st.Platform,
		waveStatus: st.WaveStatus,
		logger:     st.Logger,
		questions:  make(chan question),
		timeOfDay:  time.Now,
	}
}

// term is one time of holding the duty.
type term struct {
	*Conductor
	holding    leaser.Holding
	allocator  *allocator.Allocator
	dispatcher *dispatcher.Dispatcher
	committer  *archiver.Committer
	events     chan allocator.Event
	batches    chan *allocator.Batch
	failed     chan error
	batchedAt  time.Time
}

// Serve holds the duty until the context is done or the duty is lost. It is
// called by leaser.Leaser.
func (cd *Conductor) Serve(ctx context.Context, hd leaser.Holding) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tm := &term{
		Conductor: cd,
		holding:   hd,
		allocator: allocator.New(timekeeper.Now(), cd.bounds),
		committer: archiver.NewCommitter(cd.store, cd.dutyKey, storer.Revision(hd.Epoch()), cd.region),
		events:    make(chan allocator.Event, ringEvents),
		batches:   make(chan *allocator.Batch, 1),
		failed:    make(chan error, 1),
	}
	tm.dispatcher = dispatcher.New(cd.platform, cd.node, hd.Epoch(), func() bool { return hd.Check() == nil }, func(ev allocator.Event) { tm.tell(ctx, ev) }, cd.logger)
	tm.dispatcher.Start(ctx)
	go tm.keep(ctx)
	go tm.load(ctx)
	return tm.run(ctx)
}

// tell hands an event to the allocator's goroutine.
func (tm *term) tell(ctx context.Context, ev allocator.Event) {
	select {
	case tm.events <- ev:
	case <-ctx.Done():
	}
}

// run is the allocator's goroutine.
func (tm *term) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-tm.events:
			if err := tm.apply(ev); err != nil {
				return err
			}
		case qu := <-tm.questions:
			qu.ask(tm.allocator)
			close(qu.done)
			if !qu.isNews {
				continue
			}
		case err := <-tm.failed:
			return err
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := tm.drain(); err != nil {
			return err
		}
		now := timekeeper.Now()
		tm.allocator.ConfirmDuty(tm.holding.ConfirmedAt())
		orders := tm.allocator.Plan(now, tm.timeOfDay())
		tm.log()
		tm.dispatcher.Dispatch(ctx, now, orders)
		tm.batch(now)
	}
}

// drain takes in the events that wait, so that one plan serves them all.
func (tm *term) drain() error {
	for {
		select {
		case ev := <-tm.events:
			if err := tm.apply(ev); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (tm *term) apply(ev allocator.Event) error {
	tm.allocator.Apply(timekeeper.Now(), ev)
	if isFenced(ev) {
		return errFenced
	}
	return nil
}

// isFenced reports whether an event tells of a later holder.
func isFenced(ev allocator.Event) bool {
	switch ev := ev.(type) {
	case allocator.StartEnded:
		return ev.Outcome == allocator.Fenced
	case allocator.StopEnded:
		return ev.Outcome == allocator.Fenced
	case allocator.PollFailed:
		return ev.Outcome == allocator.Fenced
	case allocator.PaceEnded:
		return ev.Outcome == allocator.Fenced
	case allocator.VMOrderEnded:
		return ev.Outcome == allocator.Fenced
	default:
		return false
	}
}

func (tm *term) log() {
	for _, fi := range tm.allocator.Findings() {
		fields := []zap.Field{zap.String("reason", fi.Reason), zap.Uint64("epoch", tm.holding.Epoch())}
		for _, subject := range []struct{ key, value string }{
			{"job", string(fi.Job)}, {"task", fi.Task}, {"vm", fi.VM}, {"worker", string(fi.Worker)},
		} {
			if subject.value != "" {
				fields = append(fields, zap.String(subject.key, subject.value))
			}
		}
		if fi.Attempt > 0 {
			fields = append(fields, zap.Int("attempt", fi.Attempt))
		}
		tm.logger.Info(fi.Message, fields...)
	}
}

// batch hands what has to be stored to the storing goroutine.
func (tm *term) batch(now time.Time) {
	if now.Sub(tm.batchedAt) < batchInterval {
		return
	}
	if bt := tm.allocator.Batch(now); bt != nil {
		tm.batchedAt = now
		tm.batches <- bt
	}
}

// ask has a question asked by the allocator's goroutine. The error is
// JobUnavailable if the duty is not held here.
func (cd *Conductor) ask(ctx context.Context, ask func(al *allocator.Allocator)) error {
	return cd.put(ctx, question{
		ask:  ask,
		done: make(chan struct{}),
	})
}

func (cd *Conductor) put(ctx context.Context, qu question) error {
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case cd.questions <- qu:
		<-qu.done
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return classifier.New(classifier.JobUnavailable, "the scheduler's duty is not held here")
}

// maxJobsAge is how old the list of jobs may be for an answer about a queue;
// callers may be told figures that are two seconds old.
const maxJobsAge = 2 * time.Second

// askTimeout is how long a question waits for the allocator's goroutine.
const askTimeout = 150 * time.Millisecond

// State returns the state of a job, with errors as of peer.Client.
func (cd *Conductor) State(ctx context.Context, id modeller.JobID) (modeller.JobState, error) {
	var state modeller.JobState
	var isKnown bool
	if err := cd.ask(ctx, func(al *allocator.Allocator) { state, isKnown = al.State(id) }); err != nil {
		return "", err
	}
	if !isKnown {
		return "", classifier.New(classifier.JobUnknown, "job %s", id)
	}
	return state, nil
}

// Announce takes a job that is stored; the watch tells of it as well.
func (cd *Conductor) Announce(ctx context.Context, jr modeller.JobRecord) error {
	return cd.put(ctx, question{
		ask: func(al *allocator.Allocator) {
			// Before the records are loaded, the job's place among those of
			// earlier holders isn't known.
			if al.IsLoaded() {
				al.Apply(timekeeper.Now(), allocator.JobRecorded{
					Record: jr,
				})
			}
		},
		isNews: true,
		done:   make(chan struct{}),
	})
}

// Pending returns the number of a queue's jobs that haven't begun.
func (cd *Conductor) Pending(ctx context.Context, queue string) (int, error) {
	var pending int
	var isLoaded bool
	err := cd.ask(ctx, func(al *allocator.Allocator) {
		pending = al.Pending(queue)
		isLoaded = al.IsLoaded()
	})
	switch {
	case err != nil:
		return 0, err
	case !isLoaded:
		return 0, classifier.New(classifier.JobUnavailable, "the scheduler is taking over")
	case timekeeper.Now().UnixNano()-cd.jobsSyncedAt.Load() > int64(maxJobsAge):
		return 0, classifier.New(classifier.JobUnavailable, "the scheduler has not heard of new jobs for over %s", maxJobsAge)
	}
	return pending, nil
}
