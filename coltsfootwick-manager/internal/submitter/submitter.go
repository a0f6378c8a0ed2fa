// Package submitter handles callers' requests on every manager: it stores jobs
// and cancellation requests, and looks up the states of jobs.
package submitter

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// jobQueueSize is the capacity of the queue of jobs to be stored.
	jobQueueSize = 256
	// maxBatchJobs is the maximum number of jobs in a transaction; each job takes
	// a condition, and writes of its record and its payload.
	maxBatchJobs = storer.MaxTransactionEntries / 3
	// maxConcurrentCommits is the maximum number of batches being stored at once.
	maxConcurrentCommits = 4
	// maxConcurrentAnnouncements is the maximum number of batches being announced at
	// once.
	maxConcurrentAnnouncements = 8
	// retryDelay is the pause before a transaction with an unknown outcome, or a
	// cancellation with a conflict, is retried.
	retryDelay = 100 * time.Millisecond
)

// Scheduler is a client of the holder of the scheduler's duty, which may be this
// manager or another one.
type Scheduler interface {
	// Status returns the status of a job. The error codes are those of
	// peer.Client.Status.
	Status(ctx context.Context, holder netip.AddrPort, id modeller.JobID) (modeller.JobStatus, error)
	// Pending returns the number of a queue's jobs of which no task has started.
	Pending(ctx context.Context, holder netip.AddrPort, queue modeller.Queue) (int, error)
	// Announce sends the record and the payload of a stored job. It returns which further
	// jobs the holder has memory for.
	Announce(ctx context.Context, holder netip.AddrPort, record []byte, payload string) (modeller.Intake, error)
}

// Locator locates the holder of the scheduler's duty.
type Locator interface {
	// Holder returns the holder's address, or false if none is known.
	Holder() (netip.AddrPort, bool)
}

// Queues knows the queues and teams that are configured now.
type Queues interface {
	// HasQueue reports whether there is a queue with a name.
	HasQueue(name string) bool
	// Cap returns the cap of a team; zero in a resource means no limit.
	Cap(team string) modeller.Resources
}

// StoreHealth reports the availability of the store.
type StoreHealth interface {
	// IsUnavailable reports whether recent calls to the store have failed.
	IsUnavailable() bool
}

// Submitter implements adapter.Jobs.
type Submitter struct {
	store         storer.TransactionStore
	scheduler     Scheduler
	locator       Locator
	queues        Queues
	storeHealth   StoreHealth
	logger        *zap.Logger
	submissions   chan *submission
	commitSlots   chan struct{}
	announceSlots chan struct{}
	answerTimeout storer.AdaptiveTimeout
	tombstones    *rate.Limiter
	intake        intake
	// refused are the cancellations that the store has refused, and limited those beyond the
	// limit of tombstones.
	refused, limited *postponer
	standstill       *standstill
	// now returns the time of package timekeeper.
	now func() time.Time
	// backlogs is nil if jobs aren't refused for the backlog.
	backlogs Backlogs
	// onRefusal is called with the queue of each job that is refused for the backlog.
	onRefusal func(queue string)
}

// New returns a Submitter.
func New(store storer.TransactionStore, scheduler Scheduler, locator Locator, queues Queues, storeHealth StoreHealth, logger *zap.Logger, opts ...Option) *Submitter {
	sm := &Submitter{
		store:         store,
		scheduler:     scheduler,
		locator:       locator,
		queues:        queues,
		storeHealth:   storeHealth,
		logger:        logger,
		submissions:   make(chan *submission, jobQueueSize),
		commitSlots:   make(chan struct{}, maxConcurrentCommits),
		announceSlots: make(chan struct{}, maxConcurrentAnnouncements),
		tombstones:    newTombstoneLimiter(),
		intake:        newIntake(),
		now:           timekeeper.Now,
	}
	sm.refused = newPostponer(sm.retryRefused, refusedWorkers, logger)
	sm.limited = newPostponer(sm.retryLimited, limitedWorkers, logger)
	sm.standstill = newStandstill()
	for _, opt := range opts {
		opt(sm)
	}
	return sm
}

// Run stores submitted jobs and carries out postponed cancellations until the context is
// done.
func (sm *Submitter) Run(ctx context.Context) error {
	var others sync.WaitGroup
	defer others.Wait()
	for _, run := range []func(ctx context.Context){sm.refused.run, sm.limited.run, sm.standstill.run} {
		others.Go(func() { run(ctx) })
	}
	for {
		select {
		case first := <-sm.submissions:
			batch := sm.collectBatch(first)
			sm.commitSlots <- struct{}{}
			go func() {
				defer func() { <-sm.commitSlots }()
				sm.commitBatch(ctx, batch)
			}()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Submit implements adapter.Jobs.
func (sm *Submitter) Submit(ctx context.Context, jb modeller.Job) error {
	err := sm.submit(ctx, jb)
	switch {
	case errors.Is(err, errNoMemory):
		// Such refusals are counted, since there may be thousands a second.
	case err == nil:
		sm.logger.Info("job accepted", zap.String("job", string(jb.ID)), zap.String("queue", jb.Queue), teamField(jb.Team), zap.Int("steps", len(jb.Steps)))
	default:
		sm.logger.Warn("job not accepted", zap.String("job", string(jb.ID)), zap.String("queue", jb.Queue), teamField(jb.Team), zap.Error(err))
	}
	return err
}

// teamField returns the log field of the team of a caller, or none without a team.
func teamField(team string) zap.Field {
	if team == "" {
		return zap.Skip()
	}
	return zap.String("team", team)
}

func (sm *Submitter) submit(ctx context.Context, jb modeller.Job) error {
	if sm.storeHealth.IsUnavailable() {
		return classifier.New(classifier.JobRefused, "the store is unavailable")
	}
	if err := sm.standstill.check(); err != nil {
		return err
	}
	if err := sm.checkIntake(ctx, jb); err != nil {
		return err
	}
	if err := sm.checkCap(ctx, jb); err != nil {
		return err
	}
	if err := sm.checkBacklog(ctx, jb); err != nil {
		return err
	}
	data, err := modeller.EncodeJob(modeller.JobRecord{
		Job: jb,
	})
	if err != nil {
		return err
	}
	sub := sm.newSubmission(ctx, jb, data)
	select {
	case sm.submissions <- sub:
	default:
		return classifier.New(classifier.JobRefused, "the queue of jobs to be stored is full (%d jobs)", jobQueueSize)
	}
	select {
	case err := <-sub.done:
		return err
	case <-ctx.Done():
		return classifier.Wrap(ctx.Err(), classifier.JobOutcomeUnknown, "job %s", jb.ID)
	}
}
