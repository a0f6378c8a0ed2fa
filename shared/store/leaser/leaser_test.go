package leaser_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

// turn is one time that a duty was held.
type turn struct {
	holder string
	epoch  uint64
	start  time.Time
}

// contend runs a Leaser that reports its turns, until it is stopped.
func contend(t *testing.T, store storer.Store, holder string, turns chan<- turn) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	lr := leaser.New(store, "a", "directory", holder)
	go func() {
		defer close(done)
		_ = lr.Run(ctx, func(ctx context.Context, hd leaser.HeldDuty) error {
			turns <- turn{
				holder: holder,
				epoch:  hd.Epoch(),
				start:  time.Now(),
			}
			<-ctx.Done()
			return nil
		})
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestEpochsRiseThoughTheKeyIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		turns := make(chan turn, 10)
		var last uint64
		for range 3 {
			stop := contend(t, kr.Zone("a"), "x", turns)
			tn := <-turns
			must.Greater(t, last, tn.epoch)
			last = tn.epoch
			stop()
			_, err := kr.Zone("a").Get(t.Context(), "duties/a/directory")
			must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err))
		}
	})
}

func TestDutyPassesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		turns := make(chan turn, 10)
		stopFirst := contend(t, kr.Zone("a"), "first", turns)
		first := <-turns
		stopSecond := contend(t, kr.Zone("a"), "second", turns)
		time.Sleep(time.Minute)
		synctest.Wait()
		must.SliceEmpty(t, turnsSoFar(turns))
		stopped := time.Now()
		stopFirst()
		second := <-turns
		must.Eq(t, "second", second.holder)
		must.Greater(t, first.epoch, second.epoch)
		must.Eq(t, 0, second.start.Sub(stopped))
		stopSecond()
	})
}

func TestDutyPassesOnWithinTheTTLWhenItsHolderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		turns := make(chan turn, 10)
		stopFirst := contend(t, kr.Zone("cut"), "first", turns)
		<-turns
		stopSecond := contend(t, kr.Zone("a"), "second", turns)
		time.Sleep(time.Minute)
		cutAt := time.Now()
		must.NoError(t, kr.SetFaults(keeper.Partition{Scope: keeper.Scope{Zone: "cut", Share: 1}}))
		second := <-turns
		must.LessEq(t, 5*time.Second, second.start.Sub(cutAt))
		stopSecond()
		stopFirst()
	})
}

func TestOutageLongerThanTheTTLEndsTheDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		lost := make(chan time.Time, 1)
		ctx, cancel := context.WithCancel(t.Context())
		lr := leaser.New(kr.Zone("a"), "a", "directory", "x")
		done := make(chan error)
		go func() {
			done <- lr.Run(ctx, func(ctx context.Context, _ leaser.HeldDuty) error {
				<-ctx.Done()
				lost <- time.Now()
				must.Eq(t, classifier.LeaseLost, classifier.CodeOf(context.Cause(ctx)))
				return nil
			})
		}()
		time.Sleep(time.Minute)
		out := time.Now()
		must.NoError(t, kr.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
		must.LessEq(t, 5*time.Second, (<-lost).Sub(out))
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	})
}

func TestContenderAtRestCostsOneWatchAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		turns := make(chan turn, 10)
		stopFirst := contend(t, kr.Zone("holder"), "first", turns)
		<-turns
		stopSecond := contend(t, kr.Zone("contender"), "second", turns)
		time.Sleep(5*time.Minute + time.Second)
		synctest.Wait()
		calls := kr.Counts().Zones["contender"].Calls
		must.Eq(t, 11, calls[keeper.KindWatch])
		must.Eq(t, 1, calls[keeper.KindList])
		stopSecond()
		stopFirst()
	})
}

func turnsSoFar(turns chan turn) []turn {
	var found []turn
	for {
		select {
		case tn := <-turns:
			found = append(found, tn)
		default:
			return found
		}
	}
}

// rivalStore lets a rival take the duty just before a write whose answer is
// lost on its way to the service.
type rivalStore struct {
	storer.Store
	rival storer.Store
}

func (rs *rivalStore) Put(ctx context.Context, key string, _ []byte, _ storer.Revision, _ storer.LeaseID) (storer.Revision, error) {
	lease, err := rs.rival.Grant(ctx, time.Hour)
	if err != nil {
		return 0, err
	}
	_, _ = rs.rival.Put(ctx, key, []byte("rival"), 0, lease)
	return 0, classifier.New(classifier.PlatformAmbiguous, "key %s", key)
}

func TestLostAnswerDoesNotTakeTheDutyOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		turns := make(chan turn, 10)
		store := &rivalStore{
			Store: kr.Zone("a"),
			rival: kr.Zone("a"),
		}
		stop := contend(t, store, "x", turns)
		time.Sleep(time.Minute)
		synctest.Wait()
		must.SliceEmpty(t, turnsSoFar(turns))
		stop()
	})
}

func TestLostAnswerOfTheAcquiringWriteIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		turns := make(chan turn, 10)
		stop := contend(t, &lossyStore{Store: kr.Zone("a")}, "x", turns)
		tn := <-turns
		et, err := kr.Zone("a").Get(t.Context(), "duties/a/directory")
		must.NoError(t, err)
		must.Eq(t, uint64(et.Revision), tn.epoch)
		stop()
	})
}

// lossyStore loses the answers of writes of keys.
type lossyStore struct {
	storer.Store
}

func (ls *lossyStore) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	if _, err := ls.Store.Put(ctx, key, value, expected, lease); err != nil {
		return 0, err
	}
	return 0, classifier.New(classifier.PlatformAmbiguous, "key %s", key)
}
