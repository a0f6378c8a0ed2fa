package submitter

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// submission is a job that is queued to be stored.
type submission struct {
	ctx  context.Context
	job  modeller.Job
	key  string
	data []byte
	done chan error
	// expiresAt is the caller's deadline by now, or zero. The context doesn't count the time
	// for which the VM is suspended.
	expiresAt time.Time
	now       func() time.Time
}

func (sm *Submitter) newSubmission(ctx context.Context, jb modeller.Job, data []byte) *submission {
	sub := &submission{
		ctx:  ctx,
		job:  jb,
		key:  archiver.JobKey(jb.ID),
		data: data,
		done: make(chan error, 1),
		now:  sm.now,
	}
	if deadline, ok := ctx.Deadline(); ok {
		sub.expiresAt = sm.now().Add(time.Until(deadline))
	}
	return sub
}

// collectBatch returns first and the submissions queued behind it, up to the
// size of a transaction.
func (sm *Submitter) collectBatch(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < maxBatchJobs {
		select {
		case next := <-sm.submissions:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch stores a batch. Of submissions with one ID, the first is stored, and
// the others are compared with it.
func (sm *Submitter) commitBatch(ctx context.Context, batch []*submission) {
	for len(batch) > 0 {
		var repeats []*submission
		batch, repeats = separateRepeats(batch)
		sm.commitDistinct(ctx, batch)
		batch = repeats
	}
}

// separateRepeats returns the first submission of each key, and the others.
func separateRepeats(batch []*submission) (distinct, repeats []*submission) {
	keys := make(map[string]struct{}, len(batch))
	for _, sub := range batch {
		if _, isRepeat := keys[sub.key]; isRepeat {
			repeats = append(repeats, sub)
			continue
		}
		keys[sub.key] = struct{}{}
		distinct = append(distinct, sub)
	}
	return distinct, repeats
}

// dropAbandoned drops the submissions whose callers no longer wait, who may have
// cancelled the jobs by now, and returns the others.
func dropAbandoned(batch []*submission) []*submission {
	var remaining []*submission
	for _, sub := range batch {
		if sub.isAbandoned() {
			sub.done <- classifier.New(classifier.JobOutcomeUnknown, "the caller of job %s no longer waits", sub.job.ID)
			continue
		}
		remaining = append(remaining, sub)
	}
	return remaining
}

// isAbandoned reports whether the caller no longer waits. After the process was stopped
// the deadline may have passed before the context is done.
func (sub *submission) isAbandoned() bool {
	return sub.ctx.Err() != nil || !sub.expiresAt.IsZero() && !sub.now().Before(sub.expiresAt)
}

// commitDistinct stores submissions with different keys in one transaction. Jobs
// that are already stored count as accepted, and the transaction is retried without
// them.
func (sm *Submitter) commitDistinct(ctx context.Context, batch []*submission) {
	for {
		batch = dropAbandoned(batch)
		if len(batch) == 0 {
			return
		}
		_, err := storer.CommitHedged(ctx, sm.store, transactionOf(batch), &sm.answerTimeout)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			completeAll(batch, nil)
			sm.startAnnouncing(ctx, batch)
			return
		case errors.As(err, &conflict):
			batch = sm.completeStored(batch, conflict.Entries)
		case classifier.CodeOf(err) == classifier.PlatformAmbiguous:
			sm.resolveAmbiguous(ctx, batch)
			return
		case len(batch) > 1 && !isUnavailable(err):
			// One of the jobs can't be stored, which must not cost the others.
			for _, sub := range batch {
				sm.commitDistinct(ctx, []*submission{sub})
			}
			return
		default:
			completeAll(batch, refusal(err))
			return
		}
	}
}

// isUnavailable reports whether an error says nothing of the transaction, which can
// be repeated later.
func isUnavailable(err error) bool {
	code := classifier.CodeOf(err)
	return code == classifier.PlatformUnavailable || code == classifier.PlatformRateLimited
}

// refusal returns the answer for a job that was not stored.
func refusal(err error) error {
	if classifier.CodeOf(err) == classifier.PlatformTooLarge {
		return classifier.Wrap(err, classifier.JobTooLarge, "the job can't be stored")
	}
	return classifier.Wrap(err, classifier.JobRefused, "the job was not stored")
}

func transactionOf(batch []*submission) storer.Transaction {
	var tx storer.Transaction
	for _, sub := range batch {
		tx.Preconditions = append(tx.Preconditions, storer.Precondition{
			Key: sub.key,
		})
		tx.Writes = append(tx.Writes, storer.Write{
			Key:   sub.key,
			Value: sub.data,
		}, storer.Write{
			Key:   archiver.PayloadKey(sub.job.Queue, sub.job.ID),
			Value: []byte(sub.job.Payload),
		})
	}
	return tx
}

func completeAll(batch []*submission, err error) {
	for _, sub := range batch {
		sub.done <- err
	}
}

// completeStored completes the submissions whose jobs are already stored and
// returns the remaining ones.
func (sm *Submitter) completeStored(batch []*submission, stored map[string]storer.Entry) []*submission {
	var remaining []*submission
	for _, sub := range batch {
		if et, ok := stored[sub.key]; ok {
			sub.done <- sm.checkStored(sub.job, et)
			continue
		}
		remaining = append(remaining, sub)
	}
	if len(remaining) == len(batch) {
		// No failed condition is known, so a retry would fail as well.
		completeAll(remaining, classifier.New(classifier.JobOutcomeUnknown, "the store reported a conflict but no conflicting key"))
		return nil
	}
	return remaining
}

// resolveAmbiguous resolves the outcome of an unanswered transaction for each of
// its jobs separately. The transaction may still take effect at any time, so a
// job is never refused, but stored again under the same condition.
func (sm *Submitter) resolveAmbiguous(ctx context.Context, batch []*submission) {
	for _, sub := range batch {
		go func() { sub.done <- sm.resolveSubmission(ctx, sub) }()
	}
}

func (sm *Submitter) resolveSubmission(ctx context.Context, sub *submission) error {
	for !sub.isAbandoned() && ctx.Err() == nil {
		_, err := storer.CommitHedged(ctx, sm.store, transactionOf([]*submission{sub}), &sm.answerTimeout)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			return sm.checkStored(sub.job, conflict.Entries[sub.key])
		}
		// The loop condition checks whether the context is done.
		_ = storer.Pause(sub.ctx, retryDelay)
	}
	return classifier.New(classifier.JobOutcomeUnknown, "job %s: the store did not confirm that the job is stored", sub.job.ID)
}

// startAnnouncing announces newly stored jobs, unless too many announcements wait for
// the holder: its watch delivers the jobs as well, and no job waits for them to be
// stored.
func (sm *Submitter) startAnnouncing(ctx context.Context, batch []*submission) {
	select {
	case sm.announceSlots <- struct{}{}:
		go func() {
			defer func() { <-sm.announceSlots }()
			sm.announce(ctx, batch)
		}()
	default:
	}
}

// announce sends newly stored jobs to the holder of the scheduler's duty. A
// failure only delays the jobs, since the holder's watch delivers them as well.
func (sm *Submitter) announce(ctx context.Context, batch []*submission) {
	holder, ok := sm.locator.Holder()
	if !ok {
		sm.intake.forget(sm.now())
		return
	}
	for _, sub := range batch {
		level, err := sm.scheduler.Announce(ctx, holder, sub.data, sub.job.Payload)
		if err != nil {
			sm.intake.forget(sm.now())
			sm.logger.Debug("job not announced to the holder of the scheduler's duty", zap.String("job", string(sub.job.ID)), zap.Error(err))
			return
		}
		sm.intake.report(sm.now(), level)
	}
}
