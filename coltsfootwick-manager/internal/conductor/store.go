package conductor

import (
	"context"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/process/classifier"
)

// keep is the storing goroutine: it stores batch after batch.
func (tm *term) keep(ctx context.Context) {
	for {
		select {
		case bt := <-tm.batches:
			if err := tm.insist(ctx, "storing records", func(ctx context.Context) error { return tm.keepBatch(ctx, bt) }); err != nil {
				return
			}
			tm.tell(ctx, allocator.BatchStored{
				Batch: bt,
			})
		case <-ctx.Done():
			return
		}
	}
}

// keepBatch stores a batch. It may be called again after an error: all that a
// batch says still holds, and its transactions set whole records.
func (tm *term) keepBatch(ctx context.Context, bt *allocator.Batch) error {
	transactions, err := archiver.Transactions(bt, tm.region, tm.timeOfDay().UnixMilli(), tm.waveStatus)
	if err != nil {
		// A record that can't be encoded would hold up all others for good.
		tm.logger.Error("batch can't be encoded", zap.Error(err))
		return classifier.Wrap(err, classifier.StaleEpoch, "batch")
	}
	for _, tx := range transactions {
		if err := tm.committer.Commit(ctx, tx); err != nil {
			return err
		}
	}
	return nil
}
