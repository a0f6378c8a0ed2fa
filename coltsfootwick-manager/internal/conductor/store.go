package conductor

import (
	"context"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
)

// storeBatches stores the batches of a lane one after the other until the
// context is done or the duty is lost.
func (tm *term) storeBatches(ctx context.Context, lane int) {
	for {
		select {
		case bt := <-tm.batches[lane]:
			sentAt := timekeeper.Now()
			if err := tm.retry(ctx, "storing records", func(ctx context.Context) error { return tm.storeBatch(ctx, bt) }); err != nil {
				return
			}
			tm.monitor.recordBatch(timekeeper.Now().Sub(sentAt))
			tm.enqueue(ctx, allocator.BatchStored{
				Batch: bt,
			})
		case <-ctx.Done():
			return
		}
	}
}

// storeBatch stores a batch. It is idempotent and may be called again after an
// error: the contents of a batch do not become outdated while it is retried, and
// its transactions overwrite whole records.
func (tm *term) storeBatch(ctx context.Context, bt *allocator.Batch) error {
	transactions, err := archiver.Transactions(bt, tm.region, tm.wallClock().UnixMilli(), tm.waveStatus)
	if err != nil {
		// Retrying a batch that cannot be encoded would block all later batches
		// forever. StaleEpoch ends the term instead.
		tm.logger.Error("cannot encode a batch of records; ending the scheduler's term", zap.Error(err))
		return classifier.Wrap(err, classifier.StaleEpoch, "batch")
	}
	for _, tx := range transactions {
		if err := tm.committers.Lane(bt.Lane).Commit(ctx, tx); err != nil {
			return err
		}
	}
	return nil
}
