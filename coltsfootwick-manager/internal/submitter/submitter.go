// Package submitter does at every entry what callers ask for: it stores jobs
// and wishes to cancel them, and looks their states up.
package submitter

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
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

// submission is a job that waits to be stored.
type submission struct {
	ctx  context.Context
	job  modeller.Job
	key  string
	data []byte
	done chan error
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

// gather returns the submissions that wait, at most a transaction's.
func (sm *Submitter) gather(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < batchJobs {
		select {
		case next := <-sm.ring:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
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

// commit stores a batch. Jobs that are stored already count as accepted, and
// the rest is tried again without them.
func (sm *Submitter) commit(ctx context.Context, batch []*submission) {
	for len(batch) > 0 {
		_, err := storer.CommitPatiently(ctx, sm.store, transactionOf(batch), &sm.patience)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			answerAll(batch, nil)
			sm.announce(ctx, batch)
			return
		case errors.As(err, &conflict):
			batch = answerStored(batch, conflict.Entries)
		case classifier.CodeOf(err) == classifier.PlatformAmbiguous:
			sm.settle(ctx, batch)
			return
		default:
			answerAll(batch, classifier.Wrap(err, classifier.JobRefused, "not stored"))
			return
		}
	}
}

// announce tells the holder of jobs that have just been stored. Its watch tells
// it as well, so a failure costs time only.
func (sm *Submitter) announce(ctx context.Context, batch []*submission) {
	holder, ok := sm.locator.Holder()
	if !ok {
		return
	}
	for _, sub := range batch {
		if err := sm.scheduler.Announce(ctx, holder, sub.data); err != nil {
			sm.logger.Debug("job not announced", zap.String("job", string(sub.job.ID)), zap.Error(err))
			return
		}
	}
}

func transactionOf(batch []*submission) storer.Transaction {
	var tx storer.Transaction
	for _, sub := range batch {
		tx.Expected = append(tx.Expected, storer.Expectation{
			Key: sub.key,
		})
		tx.Writes = append(tx.Writes, storer.Write{
			Key:   sub.key,
			Value: sub.data,
		})
	}
	return tx
}

func answerAll(batch []*submission, err error) {
	for _, sub := range batch {
		sub.done <- err
	}
}

// answerStored answers for the jobs that are stored and returns the others. A
// job that is twice in a batch is stored by its first submission.
func answerStored(batch []*submission, stored map[string]storer.Entry) []*submission {
	var rest []*submission
	for _, sub := range batch {
		if _, ok := stored[sub.key]; ok {
			sub.done <- nil
			continue
		}
		rest = append(rest, sub)
	}
	if len(rest) == len(batch) {
		// No condition is known to fail, so another try would fail as well.
		answerAll(rest, classifier.New(classifier.JobOutcomeUnknown, "conflict without a cause"))
		return nil
	}
	return rest
}

// settle finds out what became of a transaction without an answer, one job at a
// time. It may still take effect after it was looked for, so a job that isn't
// found is stored again under the same condition and never refused.
func (sm *Submitter) settle(ctx context.Context, batch []*submission) {
	for _, sub := range batch {
		go func() { sub.done <- sm.settleOne(ctx, sub) }()
	}
}

func (sm *Submitter) settleOne(ctx context.Context, sub *submission) error {
	for sub.ctx.Err() == nil && ctx.Err() == nil {
		_, err := storer.CommitPatiently(ctx, sm.store, transactionOf([]*submission{sub}), &sm.patience)
		var conflict *storer.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		timer := time.NewTimer(settlePause)
		select {
		case <-timer.C:
		case <-sub.ctx.Done():
			timer.Stop()
		}
	}
	return classifier.New(classifier.JobOutcomeUnknown, "job %s: the store's answer was lost", sub.job.ID)
}

// State implements adapter.Jobs. The holder knows best; without it, or if it
// doesn't know the job, the store does.
func (sm *Submitter) State(ctx context.Context, queue string, id modeller.JobID) (modeller.JobState, error) {
	if holder, ok := sm.locator.Holder(); ok {
		state, err := sm.scheduler.State(ctx, holder, id)
		if err == nil {
			return state, nil
		}
	}
	return sm.storedState(ctx, queue, id)
}

// storedState returns the state of a job as the store has it.
func (sm *Submitter) storedState(ctx context.Context, queue string, id modeller.JobID) (modeller.JobState, error) {
	key := archiver.JobKey(queue, id)
	entries, _, err := sm.store.List(ctx, key)
	if err != nil {
		return "", classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	}
	state := modeller.JobState("")
	isCancelled := false
	for _, et := range entries {
		switch et.Key {
		case key:
			jr, err := modeller.DecodeJob(et.Value)
			if err != nil {
				return "", classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
			}
			state = modeller.JobRunning
			if jr.FinalState != "" {
				state = jr.FinalState
			}
		case archiver.CancelKey(queue, id):
			isCancelled = true
		}
	}
	switch {
	case state == "":
		return "", classifier.New(classifier.JobUnknown, "job %s", id)
	case isCancelled && !state.IsFinal():
		return modeller.JobCancelled, nil
	}
	return state, nil
}

// Cancel implements adapter.Jobs.
func (sm *Submitter) Cancel(ctx context.Context, queue string, id modeller.JobID) error {
	err := sm.cancel(ctx, queue, id)
	sm.logger.Info("cancellation", zap.String("job", string(id)), zap.String("queue", queue), zap.Error(err))
	return err
}

func (sm *Submitter) cancel(ctx context.Context, queue string, id modeller.JobID) error {
	for {
		err := sm.cancelOnce(ctx, queue, id)
		if code := classifier.CodeOf(err); code != classifier.PlatformConflict && code != classifier.PlatformAmbiguous {
			return err
		}
		timer := time.NewTimer(settlePause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return classifier.Wrap(err, classifier.JobOutcomeUnknown, "job %s", id)
		}
	}
}

// cancelOnce stores the wish on the condition that the job is as it was read,
// so that none is left behind for a job that has ended.
func (sm *Submitter) cancelOnce(ctx context.Context, queue string, id modeller.JobID) error {
	et, err := sm.store.Get(ctx, archiver.JobKey(queue, id))
	switch classifier.CodeOf(err) {
	case classifier.OK:
	case classifier.PlatformNotFound:
		return classifier.New(classifier.JobUnknown, "job %s", id)
	default:
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	}
	jr, err := modeller.DecodeJob(et.Value)
	if err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	}
	if jr.FinalState != "" {
		return nil
	}
	_, err = sm.store.Commit(ctx, storer.Transaction{
		Expected: []storer.Expectation{{Key: et.Key, Revision: et.Revision}},
		Writes:   []storer.Write{{Key: archiver.CancelKey(queue, id), Value: []byte("{}")}},
	})
	switch classifier.CodeOf(err) {
	case classifier.PlatformUnavailable, classifier.PlatformRateLimited:
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	default:
		return err
	}
}

// Pending implements adapter.Jobs.
func (sm *Submitter) Pending(ctx context.Context, queue string) (int, error) {
	holder, ok := sm.locator.Holder()
	if !ok {
		return 0, classifier.New(classifier.JobUnavailable, "no scheduler is known")
	}
	return sm.scheduler.Pending(ctx, holder, queue)
}
