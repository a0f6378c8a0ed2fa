package conductor

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/storer"
)

// Timing of the watches on the store.
const (
	// watchTimeout is how long a watch waits for changes; it bounds the time
	// until a dead connection is detected.
	watchTimeout = time.Second
	// minBackoff and maxBackoff bound the pauses after failed calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// load delivers the records of previous holders to the allocator and starts the
// watches that deliver later changes. It first fences off the writes of previous
// holders, so that none of them can change a record after it has been read.
func (tm *term) load(ctx context.Context) {
	for _, read := range []func(ctx context.Context) error{tm.committers.Begin, tm.loadProgress, tm.loadRoster, tm.loadWaves} {
		if err := tm.retry(ctx, "reading the records of previous holders", read); err != nil {
			return
		}
	}
	var synced sync.WaitGroup
	for _, fw := range []struct {
		prefix string
		handle func(ctx context.Context, ev storer.Event)
	}{
		{adapter.OperatorPrefix, tm.handleOperatorEvent},
		{adapter.WorkerPrefix, tm.handleWorkerEvent},
		{storer.JobPrefix, tm.handleJobEvent},
	} {
		synced.Add(1)
		go tm.follow(ctx, fw.prefix, fw.handle, sync.OnceFunc(synced.Done))
	}
	synced.Wait()
	tm.logger.Info("records of previous holders loaded", zap.Uint64("epoch", tm.heldDuty.Epoch()))
	tm.enqueue(ctx, allocator.RecordsLoaded{})
}

// retry repeats a store operation until it succeeds, the duty is lost or the
// context is done.
func (tm *term) retry(ctx context.Context, operation string, call func(ctx context.Context) error) error {
	isFailing := false
	for {
		err := call(ctx)
		switch {
		case err == nil:
			if isFailing {
				tm.logger.Info(operation + " succeeded after retries")
			}
			return nil
		case classifier.CodeOf(err) == classifier.StaleEpoch:
			tm.fail(err)
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		if !isFailing {
			isFailing = true
			tm.logger.Warn(operation+" failed; retrying", zap.Error(err))
		}
		if err := storer.Pause(ctx, storeRetryDelay); err != nil {
			return err
		}
	}
}

// fail ends the term with an error; only the first error is kept.
func (tm *term) fail(err error) {
	select {
	case tm.failures <- err:
	default:
	}
}

func (tm *term) loadProgress(ctx context.Context) error {
	entries, _, err := tm.store.List(ctx, storer.ProgressPrefix)
	if err != nil {
		return err
	}
	for _, et := range entries {
		pg, err := archiver.DecodeProgress(et)
		if err != nil {
			tm.logger.Error("cannot decode the progress of a job, whose tasks won't be started", zap.String("job", string(pg.ID)), zap.Error(err))
		}
		tm.enqueue(ctx, allocator.ProgressLoaded{
			Progress:  pg,
			IsInvalid: err != nil,
		})
	}
	return nil
}

func (tm *term) loadRoster(ctx context.Context) error {
	et, err := tm.store.Get(ctx, archiver.RosterKey(tm.region))
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	workers, err := archiver.DecodeRoster(et.Value)
	if err != nil {
		tm.logger.Error("cannot decode the roster of workers; tasks of earlier holders wait for the longest lease", zap.Error(err))
	}
	tm.enqueue(ctx, allocator.RosterLoaded{
		Workers:      workers,
		IsIncomplete: err != nil,
	})
	return nil
}

func (tm *term) loadWaves(ctx context.Context) error {
	entries, _, err := tm.store.List(ctx, storer.WavePrefix)
	if err != nil {
		return err
	}
	for _, et := range entries {
		wave, err := archiver.DecodeWave(et, tm.wallClock().UnixMilli())
		if err != nil {
			tm.logger.Error("cannot decode the progress of a wave", zap.Error(err))
			continue
		}
		tm.enqueue(ctx, wave)
	}
	return nil
}

// follow passes the entries below a prefix and their later changes to handle.
// It calls onSynced each time all changes so far have been handled, and when the
// watch ends.
func (tm *term) follow(ctx context.Context, prefix string, handle func(ctx context.Context, ev storer.Event), onSynced func()) {
	err := storer.Follow(ctx, tm.store, prefix, func(nt storer.Notice) {
		switch nt := nt.(type) {
		case storer.Changed:
			handle(ctx, nt.Event)
		case storer.Synced:
			if prefix == storer.JobPrefix {
				now := timekeeper.Now()
				tm.jobsSyncedAt.Store(now.UnixNano())
				tm.enqueue(ctx, allocator.JobsSynced{
					At: now.Add(-nt.Age),
				})
			}
			onSynced()
		case storer.Disconnected:
			tm.logger.Warn("watch on the store interrupted", zap.String("prefix", prefix), zap.Error(nt.Err))
		}
	}, storer.WithWait(watchTimeout), storer.WithBackoff(minBackoff, maxBackoff))
	onSynced()
	tm.logger.Debug("watch on the store ended", zap.String("prefix", prefix), zap.Error(err))
}

func (tm *term) handleOperatorEvent(ctx context.Context, ev storer.Event) {
	key := ev.Entry.Key
	switch {
	case ev.Deleted:
	case key == adapter.ConfigurationKey:
		cf, err := adapter.DecodeConfiguration(ev.Entry.Value, func(err error) {
			tm.logger.Error("ignoring a part of the configuration that cannot be decoded", zap.Error(err))
		})
		if err != nil {
			tm.logger.Error("cannot decode the configuration; keeping the current one", zap.Error(err))
			return
		}
		tm.enqueue(ctx, allocator.ConfigurationLoaded{
			Configuration: cf,
		})
	case adapter.IsWaveKey(key):
		wave, err := adapter.DecodeWave(key, ev.Entry.Value)
		if err != nil {
			tm.logger.Error("ignoring an invalid wave", zap.Error(err))
			return
		}
		tm.enqueue(ctx, allocator.WaveRecorded{
			Wave: wave,
		})
	}
}

// handleWorkerEvent passes on a change of the directory. An entry that can't be
// decoded names no worker, and neither did it before it was overwritten.
func (tm *term) handleWorkerEvent(ctx context.Context, ev storer.Event) {
	key := ev.Entry.Key
	unlisted := allocator.WorkerUnlisted{
		Worker: adapter.WorkerIDFromKey(key),
	}
	if ev.Deleted {
		delete(tm.invalidEntries, key)
		tm.enqueue(ctx, unlisted)
		return
	}
	worker, err := adapter.DecodeWorker(key, ev.Entry.Value, tm.wallClock())
	if err != nil {
		if _, isKnown := tm.invalidEntries[key]; !isKnown {
			tm.invalidEntries[key] = struct{}{}
			tm.logger.Warn("ignoring an invalid worker entry", zap.Error(err), zap.Uint64("revision", uint64(ev.Entry.Revision)))
		}
		tm.enqueue(ctx, unlisted)
		return
	}
	delete(tm.invalidEntries, key)
	tm.enqueue(ctx, allocator.WorkerListed{
		Worker: worker,
	})
}

func (tm *term) handleJobEvent(ctx context.Context, ev storer.Event) {
	id, isCancel, err := archiver.ParseJobKey(ev.Entry.Key)
	switch {
	case err != nil:
		tm.logger.Error("ignoring an invalid job record", zap.Error(err))
	case ev.Deleted && !isCancel:
		tm.enqueue(ctx, allocator.JobRemoved{
			Job: id,
		})
	case ev.Deleted:
	case isCancel:
		tm.enqueue(ctx, allocator.CancelRecorded{
			Job: id,
		})
	default:
		jr, err := modeller.DecodeJob(ev.Entry.Value)
		if err != nil || jr.Job.ID != id {
			tm.logger.Error("ignoring an invalid job record", zap.String("key", ev.Entry.Key), zap.String("job", string(jr.Job.ID)), zap.Error(err))
			return
		}
		tm.enqueue(ctx, allocator.JobRecorded{
			Record: jr,
		})
	}
}
