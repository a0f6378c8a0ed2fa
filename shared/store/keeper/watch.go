package keeper

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// maxReplayedRevisions is the maximum number of revisions that a WatchReplay fault
// goes back.
const maxReplayedRevisions = 8

// Watch implements storer.Store.
func (zn *Zone) Watch(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	if zn.timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, wait+zn.timeout)
		defer cancel()
		ctx = limited
	}
	ef, err := zn.deliver(ctx, KindWatch)
	if err != nil {
		return nil, 0, err
	}
	if err := zn.pause(ctx, ef.requestDelay+ef.answerDelay); err != nil {
		return nil, 0, err
	}
	return zn.waitForEvents(ctx, prefix, after, wait)
}

// waitForEvents returns the next batch of events, no events if wait passes without any,
// or an error if a fault ends the watch.
func (zn *Zone) waitForEvents(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	wt := zn.keeper.addWaiter(prefix, after)
	defer zn.keeper.removeWaiter(wt)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	breakTimer, isBroken, faultsChanged := zn.drawBreak(wait)
	for {
		bt, err := zn.keeper.collect(wt)
		if err != nil {
			return nil, 0, err
		}
		if len(bt.events) > 0 && isBroken {
			return nil, 0, zn.noAnswerError(KindWatch, ErrNoAnswer)
		}
		if len(bt.events) > 0 {
			return zn.replay(prefix, bt), bt.to, nil
		}
		select {
		case <-wt.wake:
		case <-timeout.C:
			return nil, zn.keeper.position(wt), nil
		case <-breakTimer:
			return nil, 0, zn.noAnswerError(KindWatch, ErrNoAnswer)
		case <-ctx.Done():
			return nil, 0, zn.noAnswerError(KindWatch, ctx.Err())
		case <-faultsChanged:
			if err := zn.applyChangedFaults(ctx); err != nil {
				return nil, 0, err
			}
			breakTimer, isBroken, faultsChanged = zn.drawBreak(wait)
		}
	}
}

// drawBreak draws whether and when a WatchBroken fault ends a waiting watch. The last
// channel returned is closed when the faults change.
func (zn *Zone) drawBreak(wait time.Duration) (<-chan time.Time, bool, <-chan struct{}) {
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	_, random, isBroken := draw[WatchBroken](kr.faults, zn.name)
	if !isBroken {
		return nil, false, kr.faultsChanged
	}
	delay := time.Duration(random.Float64() * float64(wait))
	return time.After(delay), true, kr.faultsChanged
}

// applyChangedFaults applies changed partitions and outages to a waiting watch. It
// blocks until a partition ends, and returns an error if a fault ends the watch.
func (zn *Zone) applyChangedFaults(ctx context.Context) error {
	for {
		pt, changed, isPartitioned := zn.partition()
		if !isPartitioned {
			break
		}
		if pt.Refuse {
			return zn.noAnswerError(KindWatch, ErrNoAnswer)
		}
		select {
		case <-ctx.Done():
			return zn.noAnswerError(KindWatch, ctx.Err())
		case <-changed:
		}
	}
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	if _, _, isOut := draw[Outage](kr.faults, zn.name); isOut {
		return classifier.Wrap(ErrNoAnswer, classifier.PlatformUnavailable, "watch from zone %s: service outage", zn.name)
	}
	return nil
}

// replay returns the events of the batch, preceded by earlier events if a WatchReplay
// fault affects the watch.
func (zn *Zone) replay(prefix string, bt batch) []storer.Event {
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	_, random, isReplayed := draw[WatchReplay](kr.faults, zn.name)
	if !isReplayed {
		return bt.events
	}
	back := storer.Revision(1 + random.IntN(maxReplayedRevisions))
	earlier := bt.from - min(bt.from, back)
	return copyEvents(kr.table.history.since(prefix, earlier))
}

func copyEvents(events []storer.Event) []storer.Event {
	for idx := range events {
		events[idx].Entry = copyEntry(events[idx].Entry)
	}
	return events
}

// pause waits for a duration, or until the context is done.
func (zn *Zone) pause(ctx context.Context, duration time.Duration) error {
	if duration == 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return zn.noAnswerError(KindWatch, ctx.Err())
	}
}
