package conductor

import (
	"context"
	"strings"
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

// The bounds of following the store.
const (
	// followWait bounds how late a silent connection is noticed.
	followWait = time.Second
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// load tells the allocator of an earlier holder's records and then of what
// changes. It first shuts the earlier holder's writes out, so that nothing that
// it reads is changed by one.
func (tm *term) load(ctx context.Context) {
	for _, read := range []func(ctx context.Context) error{tm.committer.Begin, tm.loadProgress, tm.loadRoster, tm.loadWaves} {
		if err := tm.insist(ctx, "reading the records of earlier holders", read); err != nil {
			return
		}
	}
	var synced sync.WaitGroup
	for _, fw := range []struct {
		prefix string
		handle func(ctx context.Context, ev storer.Event)
	}{
		{adapter.OperatorPrefix, tm.operatorChanged},
		{adapter.WorkerPrefix, tm.workerChanged},
		{storer.JobPrefix, tm.jobChanged},
	} {
		synced.Add(1)
		go tm.follow(ctx, fw.prefix, fw.handle, sync.OnceFunc(synced.Done))
	}
	synced.Wait()
	tm.logger.Info("records of earlier holders loaded", zap.Uint64("epoch", tm.holding.Epoch()))
	tm.tell(ctx, allocator.Loaded{})
}

// insist repeats a call to the store until it succeeds, the duty is lost or the context done.
func (tm *term) insist(ctx context.Context, what string, call func(ctx context.Context) error) error {
	isFailing := false
	for {
		err := call(ctx)
		switch {
		case err == nil:
			if isFailing {
				tm.logger.Info(what + " again")
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
			tm.logger.Warn(what+" failed and is repeated", zap.Error(err))
		}
		if err := storer.Pause(ctx, loadRetry); err != nil {
			return err
		}
	}
}

// fail ends the term.
func (tm *term) fail(err error) {
	select {
	case tm.failed <- err:
	default:
	}
}

func (tm *term) loadProgress(ctx context.Context) error {
	entries, _, err := tm.store.List(ctx, storer.ProgressPrefix)
	if err != nil {
		return err
	}
	for _, et := range entries {
		pg, err := modeller.DecodeProgress(et.Value)
		if err != nil {
			tm.logger.Error("progress can't be read", zap.String("key", et.Key), zap.Error(err))
			continue
		}
		tm.tell(ctx, allocator.ProgressLoaded{
			Progress: pg,
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
		tm.logger.Error("roster can't be read", zap.Error(err))
		return nil
	}
	tm.tell(ctx, allocator.RosterLoaded{
		Workers: workers,
	})
	return nil
}

func (tm *term) loadWaves(ctx context.Context) error {
	entries, _, err := tm.store.List(ctx, storer.WavePrefix)
	if err != nil {
		return err
	}
	for _, et := range entries {
		wave, err := archiver.DecodeWave(et, tm.timeOfDay().UnixMilli())
		if err != nil {
			tm.logger.Error("progress of a wave can't be read", zap.Error(err))
			continue
		}
		tm.tell(ctx, wave)
	}
	return nil
}

// follow tells of what changes below a prefix. Synced is called once all that
// was there at first has been told of.
func (tm *term) follow(ctx context.Context, prefix string, handle func(ctx context.Context, ev storer.Event), synced func()) {
	err := storer.Follow(ctx, tm.store, prefix, func(nt storer.Notice) {
		switch nt := nt.(type) {
		case storer.Changed:
			handle(ctx, nt.Event)
		case storer.Synced:
			if prefix == storer.JobPrefix {
				tm.jobsSyncedAt.Store(timekeeper.Now().UnixNano())
			}
			synced()
		case storer.OutOfTouch:
			tm.logger.Warn("watch lost", zap.String("prefix", prefix), zap.Error(nt.Err))
		}
	}, storer.WithWait(followWait), storer.WithBackoff(firstPause, maxPause))
	synced()
	tm.logger.Debug("watch ended", zap.String("prefix", prefix), zap.Error(err))
}

func (tm *term) operatorChanged(ctx context.Context, ev storer.Event) {
	key := ev.Entry.Key
	switch {
	case ev.Deleted:
	case key == adapter.ConfigurationKey:
		cf, err := adapter.DecodeConfiguration(ev.Entry.Value)
		if err != nil {
			tm.logger.Error("configuration not taken", zap.Error(err))
			return
		}
		tm.tell(ctx, allocator.Configured{
			Configuration: cf,
		})
	case adapter.IsWaveKey(key):
		wave, err := adapter.DecodeWave(key, ev.Entry.Value)
		if err != nil {
			tm.logger.Error("wave can't be read", zap.Error(err))
			return
		}
		tm.tell(ctx, allocator.WaveRecorded{
			Wave: wave,
		})
	}
}

func (tm *term) workerChanged(ctx context.Context, ev storer.Event) {
	id := adapter.WorkerOfKey(ev.Entry.Key)
	if ev.Deleted {
		tm.tell(ctx, allocator.WorkerUnlisted{
			Worker: id,
		})
		return
	}
	worker, err := adapter.DecodeWorker(ev.Entry.Key, ev.Entry.Value)
	if err != nil {
		tm.logger.Warn("entry of the directory passed over", zap.Error(err), zap.Uint64("revision", uint64(ev.Entry.Revision)))
		return
	}
	tm.tell(ctx, allocator.WorkerListed{
		Worker: worker,
	})
}

func (tm *term) jobChanged(ctx context.Context, ev storer.Event) {
	id, isCancel := archiver.ParseJobKey(ev.Entry.Key)
	switch {
	case ev.Deleted && !isCancel:
		tm.tell(ctx, allocator.JobRemoved{
			Job: id,
		})
	case ev.Deleted:
	case isCancel:
		tm.tell(ctx, allocator.CancelRecorded{
			Job: id,
		})
	default:
		jr, err := modeller.DecodeJob(ev.Entry.Value)
		if err != nil || !strings.HasSuffix(ev.Entry.Key, string(jr.Job.ID)) {
			tm.logger.Error("job can't be read", zap.String("key", ev.Entry.Key), zap.Error(err))
			return
		}
		tm.tell(ctx, allocator.JobRecorded{
			Record: jr,
		})
	}
}
