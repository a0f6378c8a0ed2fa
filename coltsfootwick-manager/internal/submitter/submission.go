package submitter

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// submission is a job that waits to be stored.
type submission struct {
	ctx  context.Context
	job  modeller.Job
	key  string
	data []byte
	done chan error
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
		// The loop's condition tells of the context's end.
		_ = storer.Pause(sub.ctx, settlePause)
	}
	return classifier.New(classifier.JobOutcomeUnknown, "job %s: the store's answer was lost", sub.job.ID)
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
