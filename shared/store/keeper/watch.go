package keeper

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// maxRepeated is how many revisions a WatchRepeat fault goes back at most.
const maxRepeated = 8

// Watch implements storer.Store.
func (zn *Zone) Watch(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	if zn.timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, wait+zn.timeout)
		defer cancel()
		ctx = limited
	}
	vt, err := zn.arrive(ctx, KindWatch)
	if err != nil {
		return nil, 0, err
	}
	if err := zn.pause(ctx, vt.before+vt.after); err != nil {
		return nil, 0, err
	}
	return zn.await(ctx, prefix, after, wait)
}

// await waits for events until wait has passed or a fault ends the watch.
func (zn *Zone) await(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	wt := zn.keeper.enrol(prefix, after)
	defer zn.keeper.dismiss(wt)
	ends := time.NewTimer(wait)
	defer ends.Stop()
	cutAt, isCut, faultsChanged := zn.watchCut(wait)
	for {
		bt, err := zn.keeper.collect(wt)
		if err != nil {
			return nil, 0, err
		}
		if len(bt.events) > 0 && isCut {
			return nil, 0, zn.unanswered(KindWatch, ErrNoAnswer)
		}
		if len(bt.events) > 0 {
			return zn.repeat(prefix, bt), bt.to, nil
		}
		select {
		case <-wt.wake:
		case <-ends.C:
			return nil, zn.keeper.position(wt), nil
		case <-cutAt:
			return nil, 0, zn.unanswered(KindWatch, ErrNoAnswer)
		case <-ctx.Done():
			return nil, 0, zn.unanswered(KindWatch, ctx.Err())
		case <-faultsChanged:
			if err := zn.disturb(ctx); err != nil {
				return nil, 0, err
			}
			cutAt, isCut, faultsChanged = zn.watchCut(wait)
		}
	}
}

// watchCut draws whether and when a watch that waits is cut, and returns a
// channel that is closed when the faults change.
func (zn *Zone) watchCut(wait time.Duration) (<-chan time.Time, bool, <-chan struct{}) {
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	_, random, isCut := strike[WatchBroken](kr.faults, zn.name)
	if !isCut {
		return nil, false, kr.faultsChanged
	}
	moment := time.Duration(random.Float64() * float64(wait))
	return time.After(moment), true, kr.faultsChanged
}

// disturb applies changed faults to a watch that waits.
func (zn *Zone) disturb(ctx context.Context) error {
	for {
		ct, mended, isCut := zn.cut()
		if !isCut {
			break
		}
		if ct.Refuse {
			return zn.unanswered(KindWatch, ErrNoAnswer)
		}
		select {
		case <-ctx.Done():
			return zn.unanswered(KindWatch, ctx.Err())
		case <-mended:
		}
	}
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	if _, _, out := strike[Outage](kr.faults, zn.name); out {
		return classifier.Wrap(ErrNoAnswer, classifier.PlatformUnavailable, "watch from zone %s: service is out", zn.name)
	}
	return nil
}

// repeat puts earlier events before those of the batch if a fault asks for it.
func (zn *Zone) repeat(prefix string, bt batch) []storer.Event {
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	_, random, repeats := strike[WatchReplay](kr.faults, zn.name)
	if !repeats {
		return bt.events
	}
	back := storer.Revision(1 + random.IntN(maxRepeated))
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
		return zn.unanswered(KindWatch, ctx.Err())
	}
}
