// Package submitter does at every entry what callers ask for: it stores jobs
// and wishes to cancel them, and looks their states up.
package submitter

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// ringJobs is how many jobs wait to be stored.
	ringJobs = 256
	// batchJobs is how many jobs a transaction stores: each takes a condition
	// and a write.
	batchJobs = storer.MaxTransactionEntries / 2
	// maxCommits is how many transactions are under way at once.
	maxCommits = 4
	// settlePause is between two tries to settle an unanswered transaction.
	settlePause = 100 * time.Millisecond
)

// Scheduler is the holder of the scheduler's duty as it can be asked, here or
// at another manager.
type Scheduler interface {
	// State returns the state of a job, with errors as of peer.Client.
	State(ctx context.Context, holder netip.AddrPort, id modeller.JobID) (modeller.JobState, error)
	// Pending returns the number of a queue's jobs that haven't begun.
	Pending(ctx context.Context, holder netip.AddrPort, queue string) (int, error)
	// Announce tells of a job that is stored, by its record.
	Announce(ctx context.Context, holder netip.AddrPort, record []byte) error
}

// Locator knows where the holder is.
type Locator interface {
	// Holder returns the holder's address, and false while none is known.
	Holder() (netip.AddrPort, bool)
}

// Health tells whether the store answers.
type Health interface {
	// IsOut reports whether the store is believed not to answer.
	IsOut() bool
}

// Submitter implements adapter.Jobs.
type Submitter struct {
	store     storer.TransactionStore
	scheduler Scheduler
	locator   Locator
	health    Health
	logger    *zap.Logger
	ring      chan *submission
	commits   chan struct{}
	patience  storer.Patience
}

// New returns a Submitter.
func New(store storer.TransactionStore, scheduler Scheduler, locator Locator, health Health, logger *zap.Logger) *Submitter {
	return &Submitter{
		store:     store,
		scheduler: scheduler,
		locator:   locator,
		health:    health,
		logger:    logger,
		ring:      make(chan *submission, ringJobs),
		commits:   make(chan struct{}, maxCommits),
	}
}

// Run stores what is submitted until the context is done.
func (sm *Submitter) Run(ctx context.Context) error {
	for {
		select {
		case first := <-sm.ring:
			batch := sm.gather(first)
			sm.commits <- struct{}{}
			go func() {
				defer func() { <-sm.commits }()
				sm.commit(ctx, batch)
			}()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Submit implements adapter.Jobs.
func (sm *Submitter) Submit(ctx context.Context, jb modeller.Job) error {
	err := sm.submit(ctx, jb)
	if err == nil {
		sm.logger.Info("job accepted", zap.String("job", string(jb.ID)), zap.String("queue", jb.Queue), zap.Int("steps", len(jb.Steps)))
	} else {
		sm.logger.Warn("job not accepted", zap.String("job", string(jb.ID)), zap.String("queue", jb.Queue), zap.Error(err))
	}
	return err
}

func (sm *Submitter) submit(ctx context.Context, jb modeller.Job) error {
	if sm.health.IsOut() {
		return classifier.New(classifier.JobRefused, "the store doesn't answer")
	}
	data, err := modeller.EncodeJob(modeller.JobRecord{
		Job: jb,
	})
	if err != nil {
		return err
	}
	sub := &submission{
		ctx:  ctx,
		job:  jb,
		key:  archiver.JobKey(jb.Queue, jb.ID),
		data: data,
		done: make(chan error, 1),
	}
	select {
	case sm.ring <- sub:
	default:
		return classifier.New(classifier.JobRefused, "%d jobs wait to be stored", ringJobs)
	}
	select {
	case err := <-sub.done:
		return err
	case <-ctx.Done():
		return classifier.Wrap(ctx.Err(), classifier.JobOutcomeUnknown, "job %s", jb.ID)
	}
}
