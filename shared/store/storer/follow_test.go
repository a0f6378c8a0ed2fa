package storer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// view collects the notices of a follower, and checks that the revisions of each
// key are strictly increasing.
type view struct {
	t              *testing.T
	values         map[string]string
	revisions      map[string]storer.Revision
	isConnected    bool
	disconnections int
}

func newView(t *testing.T) *view {
	return &view{
		t:         t,
		values:    map[string]string{},
		revisions: map[string]storer.Revision{},
	}
}

func (vw *view) handle(nt storer.Notice) {
	switch nt := nt.(type) {
	case storer.Changed:
		et := nt.Event.Entry
		must.Greater(vw.t, vw.revisions[et.Key], et.Revision)
		vw.revisions[et.Key] = et.Revision
		vw.values[et.Key] = string(et.Value)
		if nt.Event.Deleted {
			delete(vw.values, et.Key)
		}
	case storer.Synced:
		vw.isConnected = true
	case storer.Disconnected:
		vw.isConnected = false
		vw.disconnections++
	}
}

// follow starts a follower and returns a function that stops it.
func follow(t *testing.T, store storer.Store, vw *view, opts ...storer.FollowOption) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = storer.Follow(ctx, store, "k/", vw.handle, opts...)
	}()
	return func() {
		cancel()
		<-done
	}
}

// randomFaults returns a random selection of the faults that a follower may
// encounter.
func randomFaults(random *rand.Rand) []keeper.Fault {
	scope := func() keeper.Scope {
		return keeper.Scope{
			Share: random.Float64(),
			Seed:  random.Uint64(),
		}
	}
	candidates := []keeper.Fault{
		keeper.Outage{Scope: scope()},
		keeper.Slow{Scope: scope(), Delay: 700 * time.Millisecond},
		keeper.AnswerLost{Scope: scope()},
		keeper.WatchBroken{Scope: scope()},
		keeper.WatchReplay{Scope: scope()},
		keeper.Partition{Scope: scope(), Refuse: random.IntN(2) == 0},
	}
	random.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	return candidates[:random.IntN(len(candidates))]
}

// mutate writes or deletes one of five keys, chosen at random.
func mutate(t *testing.T, store storer.Store, random *rand.Rand, number int) {
	key := fmt.Sprintf("k/%d", random.IntN(5))
	et, err := store.Get(t.Context(), key)
	if err == nil && random.IntN(3) == 0 {
		must.NoError(t, store.Delete(t.Context(), key, et.Revision))
		return
	}
	_, err = store.Put(t.Context(), key, fmt.Appendf(nil, "%d", number), et.Revision, 0)
	must.NoError(t, err)
}

func TestFollowConvergesDespiteFaults(t *testing.T) {
	disconnections := 0
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			kr := keeper.New(keeper.WithHistory(4, 1<<20))
			writer := kr.Zone("w")
			vw := newView(t)
			stop := follow(t, kr.Zone("r"), vw, storer.WithWait(5*time.Second))
			for number := range 60 {
				if number%6 == 0 {
					faults := randomFaults(random)
					must.NoError(t, kr.SetFaults(limitToZone("r", faults)...))
				}
				mutate(t, writer, random, number)
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
			must.NoError(t, kr.SetFaults())
			time.Sleep(20 * time.Second)
			synctest.Wait()
			stop()
			entries, _, err := writer.List(t.Context(), "k/")
			must.NoError(t, err)
			actual := map[string]string{}
			for _, et := range entries {
				actual[et.Key] = string(et.Value)
			}
			must.Eq(t, actual, vw.values, must.Sprintf("seed %d", seed))
			must.True(t, vw.isConnected, must.Sprintf("seed %d", seed))
			disconnections += vw.disconnections
		})
	}
	must.Positive(t, disconnections)
}

// limitToZone restricts the faults to one availability zone.
func limitToZone(zone string, faults []keeper.Fault) []keeper.Fault {
	for idx, ft := range faults {
		switch ft := ft.(type) {
		case keeper.Outage:
			ft.Zone = zone
			faults[idx] = ft
		case keeper.Slow:
			ft.Zone = zone
			faults[idx] = ft
		case keeper.AnswerLost:
			ft.Zone = zone
			faults[idx] = ft
		case keeper.WatchBroken:
			ft.Zone = zone
			faults[idx] = ft
		case keeper.WatchReplay:
			ft.Zone = zone
			faults[idx] = ft
		case keeper.Partition:
			ft.Zone = zone
			faults[idx] = ft
		}
	}
	return faults
}

// staleStore returns a stale listing from List while one is set.
type staleStore struct {
	storer.Store
	stale atomic.Pointer[storer.Listing]
}

func (ss *staleStore) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	if ls := ss.stale.Load(); ls != nil {
		return ls.Entries, ls.Revision, nil
	}
	return ss.Store.List(ctx, prefix)
}

func TestFollowRejectsStaleLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New(keeper.WithHistory(1, 1<<20))
		writer := kr.Zone("w")
		store := &staleStore{
			Store: kr.Zone("r"),
		}
		first, err := writer.Put(t.Context(), "k/x", []byte("old"), 0, 0)
		must.NoError(t, err)
		stale, at, err := writer.List(t.Context(), "k/")
		must.NoError(t, err)
		vw := newView(t)
		stop := follow(t, store, vw)
		synctest.Wait()
		second, err := writer.Put(t.Context(), "k/x", []byte("new"), first, 0)
		must.NoError(t, err)
		synctest.Wait()
		must.Eq(t, "new", vw.values["k/x"])

		store.stale.Store(&storer.Listing{
			Entries:  stale,
			Revision: at,
		})
		must.NoError(t, kr.SetFaults(keeper.Outage{Scope: keeper.Scope{Zone: "r", Share: 1}}))
		for number := range 3 {
			_, err = writer.Put(t.Context(), fmt.Sprintf("k/%d", number), nil, 0, 0)
			must.NoError(t, err)
		}
		must.NoError(t, kr.SetFaults())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		must.False(t, vw.isConnected)
		must.Eq(t, second, vw.revisions["k/x"])

		store.stale.Store(nil)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		must.True(t, vw.isConnected)
		must.MapLen(t, 4, vw.values)
		stop()
	})
}

// TestFollowReconnectsSoonAfterAnOutage guards against a Synced that comes only at
// the end of a long watch: no key changes, so nothing ends the watch earlier.
func TestFollowReconnectsSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		vw := newView(t)
		stop := follow(t, kr.Zone("r"), vw, storer.WithWait(30*time.Second), storer.WithBackoff(50*time.Millisecond, time.Second))
		synctest.Wait()
		must.True(t, vw.isConnected)
		must.NoError(t, kr.SetFaults(keeper.Partition{Scope: keeper.Scope{Zone: "r", Share: 1}, Refuse: true}))
		time.Sleep(4 * time.Second)
		synctest.Wait()
		must.False(t, vw.isConnected)
		must.NoError(t, kr.SetFaults())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		must.True(t, vw.isConnected)
		stop()
	})
}

func TestIdleFollowMakesOneCallPerWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		vw := newView(t)
		stop := follow(t, kr.Zone("r"), vw, storer.WithWait(30*time.Second))
		time.Sleep(10*time.Minute - time.Second)
		synctest.Wait()
		calls := kr.Counts().Zones["r"].Calls
		must.Eq(t, 1, calls[keeper.KindList])
		must.Eq(t, 20, calls[keeper.KindWatch])
		stop()
	})
}

func TestFollowDeliversAllKeysOfATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keeper.New().Zone("a")
		vw := newView(t)
		stop := follow(t, store, vw)
		time.Sleep(time.Second)
		_, err := store.Commit(t.Context(), storer.Transaction{
			Writes: []storer.Write{{Key: "k/1", Value: []byte("one")}, {Key: "k/2", Value: []byte("two")}},
		})
		time.Sleep(time.Second)
		stop()
		must.NoError(t, err)
		must.Eq(t, map[string]string{"k/1": "one", "k/2": "two"}, vw.values)
	})
}

// delayedStore delays the answers to lists.
type delayedStore struct {
	storer.Store
	delay time.Duration
}

func (ds *delayedStore) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	entries, revision, err := ds.Store.List(ctx, prefix)
	time.Sleep(ds.delay)
	return entries, revision, err
}

func TestFollowCountsTheTimeOfAListAsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ages []time.Duration
		store := &delayedStore{
			Store: keeper.New().Zone("r"),
			delay: 3 * time.Second,
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			_ = storer.Follow(ctx, store, "k/", func(nt storer.Notice) {
				if sd, ok := nt.(storer.Synced); ok {
					ages = append(ages, sd.Age)
				}
			}, storer.WithWait(time.Second))
		}()
		time.Sleep(4500 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, 2, len(ages))
		must.Eq(t, 3*time.Second, ages[0])
		must.Less(t, 100*time.Millisecond, ages[1], must.Sprint("a watch that has waited in vain"))
	})
}

// pagedStore has a list whose pages were read one after the other: its revision is that
// of the first page, and the last page has a later change.
type pagedStore struct {
	storer.Store
	isWatched atomic.Bool
}

func (*pagedStore) List(context.Context, string) ([]storer.Entry, storer.Revision, error) {
	return []storer.Entry{{Key: "k/1", Value: []byte("one"), Revision: 1}, {Key: "k/2", Value: []byte("newest"), Revision: 6}}, 3, nil
}

func (ps *pagedStore) Watch(ctx context.Context, _ string, _ storer.Revision, _ time.Duration) ([]storer.Event, storer.Revision, error) {
	if ps.isWatched.Swap(true) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return []storer.Event{
		{Entry: storer.Entry{Key: "k/2", Value: []byte("older"), Revision: 4}},
		{Entry: storer.Entry{Key: "k/2", Revision: 5}, Deleted: true},
		{Entry: storer.Entry{Key: "k/2", Value: []byte("newest"), Revision: 6}},
		{Entry: storer.Entry{Key: "k/1", Value: []byte("two"), Revision: 7}},
	}, 7, nil
}

// TestFollowDeliversNoChangeBeforeAListedOne guards against a key that goes back to an
// earlier value, since the watch starts at the first page of the list.
func TestFollowDeliversNoChangeBeforeAListedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vw := newView(t)
		stop := follow(t, &pagedStore{}, vw)
		synctest.Wait()
		stop()
		must.Eq(t, map[string]string{"k/1": "two", "k/2": "newest"}, vw.values)
	})
}
