// Package conductor runs the scheduler on the manager that holds the scheduler's
// duty, the lease that elects one manager of a region as the leader. It feeds
// events to the allocator, dispatches the allocator's orders and stores its
// records.
package conductor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/linker"
	"coltsfootwick.example/coltsfootwick-manager/internal/provisioner"
	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// eventQueueSize is the capacity of the event queue; senders block while it
	// is full.
	eventQueueSize = 1024
	// planInterval is the interval between plans while no event arrives, for
	// decisions that depend on time.
	planInterval = 25 * time.Millisecond
	// batchInterval is the minimum time between two batches of records, so that
	// a batch combines the changes of several jobs.
	batchInterval = 40 * time.Millisecond
	// storeRetryDelay is the pause before a failed store operation is retried.
	storeRetryDelay = 50 * time.Millisecond
)

const (
	// payloadShare is the share of the link that payloads may use.
	payloadShare = 0.2
	// bytesPerMegabit converts the bandwidth of a link.
	bytesPerMegabit = 125_000
)

// errFenced ends a term whose orders are rejected because their fencing token
// is stale.
var errFenced = classifier.New(classifier.OrderFenced, "a worker or the VM interface has seen a newer fencing token")

// minTenure is how long a holder keeps the duty before it yields, so that the
// duty doesn't change hands more often than a takeover takes.
const minTenure = 5 * time.Second

// errYielded ends a term in favour of a manager with more capacity.
var errYielded = errors.New("the duty is yielded to a manager with more capacity")

// Conductor runs the scheduler while the duty is held. Status, Announce and
// Pending may be called at any time.
type Conductor struct {
	store       storer.TransactionStore
	dutyKey     string
	region      string
	node        string
	bounds      allocator.Bounds
	hasPressure bool
	// maxHeldBytes limits the memory for jobs.
	maxHeldBytes int64
	linkMbps     float64
	vms          *adapter.VMs
	adviser      *adapter.Adviser
	waveStatus   archiver.EncodeStatusFunc
	links        []Link
	logger       *zap.Logger
	requests     chan request
	yields       chan struct{}
	wallClock    func() time.Time
	// current is the present term, or nil.
	current atomic.Pointer[term]
	// jobsSyncedAt is the time at which the watch on the jobs was last up to
	// date, in Unix nanoseconds.
	jobsSyncedAt atomic.Int64
}

// request is a function to be run on the allocator's goroutine.
type request struct {
	run func(al *allocator.Allocator)
	// needsPlan is true if running the request may lead to new orders.
	needsPlan bool
	// done is closed after run has returned.
	done chan struct{}
}

// Settings holds the dependencies and parameters of a Conductor.
type Settings struct {
	// Store is the platform's store, and DutyKey is the duty's key in it.
	Store   storer.TransactionStore
	DutyKey string
	// Region is the region that the duty covers, and Node the name of this node.
	Region, Node string
	// Bounds are the durations that the allocator's decisions depend on.
	Bounds allocator.Bounds
	// HasPressure is true if the allocator orders jobs by what their delay costs callers, and
	// keepers get the pools' backlogs. All managers have to know the message.
	HasPressure bool
	// MaxHeldBytes limits the memory of the jobs that managers submit, or is zero.
	MaxHeldBytes int64
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, or zero if it
	// is not known.
	LinkMbps float64
	// VMs is the client of the VM interface, and Adviser that of the advice
	// service.
	VMs     *adapter.VMs
	Adviser *adapter.Adviser
	// WaveStatus encodes the status records of waves for operators.
	WaveStatus archiver.EncodeStatusFunc
	// Links are the links whose traffic is logged.
	Links []Link
	// Logger logs each decision.
	Logger *zap.Logger
}

// Link is a link whose traffic is logged.
type Link struct {
	// Name is the name of the dependency.
	Name string
	// Traffic returns the bytes sent and received so far.
	Traffic func() (sent, received int64)
}

// New returns a Conductor.
func New(st Settings) *Conductor {
	return &Conductor{
		store:        st.Store,
		dutyKey:      st.DutyKey,
		region:       st.Region,
		node:         st.Node,
		bounds:       st.Bounds,
		hasPressure:  st.HasPressure,
		maxHeldBytes: st.MaxHeldBytes,
		linkMbps:     st.LinkMbps,
		vms:          st.VMs,
		adviser:      st.Adviser,
		waveStatus:   st.WaveStatus,
		links:        st.Links,
		logger:       st.Logger,
		requests:     make(chan request),
		yields:       make(chan struct{}, 1),
		wallClock:    time.Now,
	}
}

// term is the period from acquiring the duty to losing or releasing it.
type term struct {
	*Conductor
	heldDuty    leaser.HeldDuty
	allocator   *allocator.Allocator
	distributor *distributor.Distributor
	provisioner *provisioner.Provisioner
	// conns are the connections of the keepers.
	conns map[assigner.KeeperID]*linker.Conn
	// closedSent and closedReceived are the traffic of keepers' connections that
	// have ended.
	closedSent, closedReceived int64
	joins                      chan keeperJoined
	frames                     chan keeperFrame
	// ended is closed when the term is over.
	ended       <-chan struct{}
	committers  *archiver.Committers
	events      chan allocator.Event
	batches     [allocator.BatchLanes]chan *allocator.Batch
	failures    chan error
	lastBatchAt time.Time
	// backlogsAt is when the pools' backlogs were last computed.
	backlogsAt time.Time
	monitor    *loadMonitor
	// invalidEntries are the keys of the directory's present entries that can't be
	// decoded, so that each is logged once. Only the watch on the directory uses it.
	invalidEntries map[string]struct{}
}

// Serve runs the scheduler until the context is done or the duty is lost.
// leaser.Leaser calls it after acquiring the duty.
func (cd *Conductor) Serve(ctx context.Context, hd leaser.HeldDuty) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tm := &term{
		Conductor:   cd,
		heldDuty:    hd,
		allocator:   allocator.New(timekeeper.Now(), cd.bounds, cd.allocatorOptions()...),
		distributor: distributor.New(distributor.WithPayloadRate(payloadShare * cd.linkMbps * bytesPerMegabit)),
		committers:  archiver.NewCommitters(cd.store, cd.dutyKey, storer.Revision(hd.Epoch()), cd.region, allocator.BatchLanes),
		conns:       map[assigner.KeeperID]*linker.Conn{},
		joins:       make(chan keeperJoined),
		frames:      make(chan keeperFrame, frameQueueSize),
		ended:       ctx.Done(),
		events:      make(chan allocator.Event, eventQueueSize),
		failures:    make(chan error, 1),

		invalidEntries: map[string]struct{}{},
	}
	tm.monitor = newLoadMonitor(timekeeper.Now(), cd.logger, append(slices.Clone(cd.links), Link{
		Name:    "keepers",
		Traffic: tm.keeperTraffic,
	}))
	tm.provisioner = provisioner.New(provisioner.Settings{
		VMs:     cd.vms,
		Adviser: cd.adviser,
		Holder: adapter.Holder{
			Name:         cd.node,
			FencingToken: hd.Epoch(),
			IsConfirmed:  hd.IsConfirmed,
		},
		IsHeld: func() bool { return hd.Check() == nil },
		Emit:   func(ev allocator.Event) { tm.enqueue(ctx, ev) },
		Logger: cd.logger,
	})
	tm.provisioner.Start(ctx)
	for lane := range tm.batches {
		tm.batches[lane] = make(chan *allocator.Batch, 1)
		go tm.storeBatches(ctx, lane)
	}
	go tm.load(ctx)
	cd.current.Store(tm)
	defer cd.current.Store(nil)
	defer tm.closeConns()
	return tm.run(ctx)
}

// allocatorOptions returns the options of the allocators of all terms.
func (cd *Conductor) allocatorOptions() []allocator.Option {
	opts := []allocator.Option{allocator.WithMaxHeldBytes(cd.maxHeldBytes)}
	if cd.hasPressure {
		opts = append(opts, allocator.WithCostOrder())
	}
	return opts
}

// enqueue sends an event to the allocator's goroutine. It blocks while the
// event queue is full.
func (tm *term) enqueue(ctx context.Context, ev allocator.Event) {
	select {
	case tm.events <- ev:
	case <-ctx.Done():
	}
}

// run applies events and requests to the allocator and dispatches its orders.
// Only the goroutine that runs it may use the allocator.
func (tm *term) run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	startedAt := timekeeper.Now()
	for {
		select {
		case ev := <-tm.events:
			if err := tm.apply(ev); err != nil {
				return err
			}
		case kj := <-tm.joins:
			if err := tm.addKeeper(ctx, kj); err != nil {
				return err
			}
		case frame := <-tm.frames:
			if err := tm.handleFrame(frame); err != nil {
				return err
			}
		case rq := <-tm.requests:
			rq.run(tm.allocator)
			close(rq.done)
			if !rq.needsPlan {
				continue
			}
		case <-tm.yields:
			if timekeeper.Now().Sub(startedAt) >= minTenure {
				return errYielded
			}
		case err := <-tm.failures:
			return err
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := tm.applyPending(); err != nil {
			return err
		}
		now := timekeeper.Now()
		tm.allocator.ConfirmDuty(tm.heldDuty.ConfirmedAt())
		orders := tm.allocator.Plan(now, tm.wallClock())
		tm.monitor.recordPlan(timekeeper.Now().Sub(now), orders)
		tm.logFindings()
		tm.provisioner.Dispatch(orders)
		if err := tm.distribute(now, orders); err != nil {
			return err
		}
		tm.submitBatch(now)
		if tm.monitor.isDue(now) {
			tm.monitor.log(now, tm.allocator.Load(), len(tm.events))
		}
	}
}

// applyPending applies the queued events and frames, so that a single plan covers
// them all.
func (tm *term) applyPending() error {
	for {
		var err error
		select {
		case ev := <-tm.events:
			err = tm.apply(ev)
		case frame := <-tm.frames:
			err = tm.handleFrame(frame)
		default:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// applyAll applies events up to the first that ends the term.
func (tm *term) applyAll(events []allocator.Event) error {
	for _, ev := range events {
		if err := tm.apply(ev); err != nil {
			return err
		}
	}
	return nil
}

func (tm *term) apply(ev allocator.Event) error {
	tm.allocator.Apply(timekeeper.Now(), ev)
	if stored, ok := ev.(allocator.BatchStored); ok {
		for _, ended := range stored.Batch.Ended {
			tm.distributor.Forget(ended.ID)
		}
	}
	if isFenced(ev) {
		return errFenced
	}
	return nil
}

// isFenced reports whether an event shows that an order was rejected because
// its fencing token is stale.
func isFenced(ev allocator.Event) bool {
	switch ev := ev.(type) {
	case allocator.StartResult:
		return ev.Outcome == allocator.Fenced
	case allocator.StopResult:
		return ev.Outcome == allocator.Fenced
	case allocator.PollFailed:
		return ev.Outcome == allocator.Fenced
	case allocator.PaceResult:
		return ev.Outcome == allocator.Fenced
	case allocator.VMOrderResult:
		return ev.Outcome == allocator.Fenced
	default:
		return false
	}
}

func (tm *term) logFindings() {
	for _, fi := range tm.allocator.LogEntries() {
		fields := []zap.Field{zap.String("reason", fi.Reason), zap.Uint64("epoch", tm.heldDuty.Epoch())}
		for _, field := range []struct{ key, value string }{
			{"job", string(fi.Job)}, {"task", fi.Task}, {"vm", fi.VM}, {"worker", string(fi.Worker)},
		} {
			if field.value != "" {
				fields = append(fields, zap.String(field.key, field.value))
			}
		}
		if fi.Attempt > 0 {
			fields = append(fields, zap.Int("attempt", fi.Attempt))
		}
		tm.logger.Info(fi.Message, fields...)
	}
}

// submitBatch sends the unstored changes to the storing goroutines, at most once
// per batchInterval.
func (tm *term) submitBatch(now time.Time) {
	if now.Sub(tm.lastBatchAt) < batchInterval {
		return
	}
	for bt := tm.allocator.Batch(now); bt != nil; bt = tm.allocator.Batch(now) {
		tm.lastBatchAt = now
		tm.batches[bt.Lane] <- bt
	}
}

// Yield ends the term of a holder that has held the duty for minTenure.
func (cd *Conductor) Yield() {
	select {
	case cd.yields <- struct{}{}:
	default:
	}
}

// query runs a read-only function on the allocator's goroutine. The error is
// JobUnavailable if the duty is not held here.
func (cd *Conductor) query(ctx context.Context, read func(al *allocator.Allocator)) error {
	return cd.submit(ctx, request{
		run:  read,
		done: make(chan struct{}),
	})
}

// submit sends a request to the allocator's goroutine and waits until it has run.
func (cd *Conductor) submit(ctx context.Context, rq request) error {
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case cd.requests <- rq:
		<-rq.done
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return classifier.New(classifier.JobUnavailable, "this manager does not hold the scheduler's duty, or the scheduler did not respond in time")
}

// maxJobListAge is the maximum staleness of the job list for which Pending
// returns a count; callers may receive counts that are two seconds old.
const maxJobListAge = 2 * time.Second

// requestTimeout is how long a request waits to be received by the allocator's
// goroutine.
const requestTimeout = 150 * time.Millisecond

// Status returns the status of a job. The error codes are those of
// peer.Client.Status.
func (cd *Conductor) Status(ctx context.Context, id modeller.JobID) (modeller.JobStatus, error) {
	var status modeller.JobStatus
	var found bool
	if err := cd.query(ctx, func(al *allocator.Allocator) { status, found = al.Status(id) }); err != nil {
		return modeller.JobStatus{}, err
	}
	if !found {
		return modeller.JobStatus{}, classifier.New(classifier.JobUnknown, "job %s", id)
	}
	return status, nil
}

// Announce adds a stored job to the scheduler before the watch on the store
// delivers it, and returns which further jobs may be submitted.
func (cd *Conductor) Announce(ctx context.Context, jr modeller.JobRecord) (modeller.Intake, error) {
	var intake modeller.Intake
	err := cd.submit(ctx, request{
		run: func(al *allocator.Allocator) {
			// Until the records of previous holders are loaded, the job's place
			// in the queue is undetermined; the watch delivers the job later.
			if al.IsLoaded() {
				al.Apply(timekeeper.Now(), allocator.JobRecorded{
					Record: jr,
				})
			}
			intake = al.Intake()
		},
		needsPlan: true,
		done:      make(chan struct{}),
	})
	return intake, err
}

// Pending returns the number of a queue's jobs of which no task has started.
func (cd *Conductor) Pending(ctx context.Context, queue modeller.Queue) (int, error) {
	var pending int
	var isLoaded bool
	err := cd.query(ctx, func(al *allocator.Allocator) {
		pending = al.Pending(queue)
		isLoaded = al.IsLoaded()
	})
	switch {
	case err != nil:
		return 0, err
	case !isLoaded:
		return 0, classifier.New(classifier.JobUnavailable, "the scheduler is still loading the records of the previous holder")
	case timekeeper.Now().UnixNano()-cd.jobsSyncedAt.Load() > int64(maxJobListAge):
		return 0, classifier.New(classifier.JobUnavailable, "the scheduler's list of jobs has not been updated for over %s", maxJobListAge)
	}
	return pending, nil
}
