package archiver

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

const dutyKey = storer.DutyPrefix + "r/scheduler"

// acquireDuty replaces the duty's key and returns the Committers of the new
// holder.
func acquireDuty(t *testing.T, store storer.TransactionStore) *Committers {
	t.Helper()
	et, err := store.Get(t.Context(), dutyKey)
	if err == nil {
		must.NoError(t, store.Delete(t.Context(), dutyKey, et.Revision))
	}
	epoch, err := store.Put(t.Context(), dutyKey, []byte("holder"), 0, 0)
	must.NoError(t, err)
	cs := NewCommitters(store, dutyKey, epoch, "r", 2)
	must.NoError(t, cs.Begin(t.Context()))
	return cs
}

func writeTransaction(key, value string) storer.Transaction {
	return storer.Transaction{
		Writes: []storer.Write{{Key: key, Value: []byte(value)}},
	}
}

func storedValue(t *testing.T, store storer.Store, key string) string {
	t.Helper()
	et, err := store.Get(t.Context(), key)
	must.NoError(t, err)
	return string(et.Value)
}

func TestReplacedHolderCannotWrite(t *testing.T) {
	store := keeper.New().Zone("a")
	first := acquireDuty(t, store)
	must.NoError(t, first.Lane(0).Commit(t.Context(), writeTransaction("k", "first")))
	second := acquireDuty(t, store)
	for lane := range 2 {
		err := first.Lane(lane).Commit(t.Context(), writeTransaction("k", "late"))
		must.Eq(t, classifier.StaleEpoch, classifier.CodeOf(err))
	}
	must.NoError(t, second.Lane(0).Commit(t.Context(), writeTransaction("k", "second")))
	must.Eq(t, "second", storedValue(t, store, "k"))
}

func TestWriteWithLostAnswerIsRetriedSafely(t *testing.T) {
	kr := keeper.New()
	store := kr.Zone("a", keeper.WithCallTimeout(50*time.Millisecond))
	cm := acquireDuty(t, store).Lane(1)
	must.NoError(t, kr.SetFaults(keeper.AnswerLost{Scope: keeper.Scope{Share: 1}}))
	must.Eq(t, classifier.PlatformAmbiguous, classifier.CodeOf(cm.Commit(t.Context(), writeTransaction("k", "first"))))
	must.NoError(t, kr.SetFaults())
	must.Eq(t, classifier.PlatformAmbiguous, classifier.CodeOf(cm.Commit(t.Context(), writeTransaction("k", "first"))))
	must.NoError(t, cm.Commit(t.Context(), writeTransaction("k", "second")))
	must.Eq(t, "second", storedValue(t, store, "k"))
}

func TestLanesCommitIndependently(t *testing.T) {
	kr := keeper.New()
	store := kr.Zone("a", keeper.WithCallTimeout(50*time.Millisecond))
	cs := acquireDuty(t, store)
	must.NoError(t, kr.SetFaults(keeper.AnswerLost{Scope: keeper.Scope{Share: 1}}))
	must.Eq(t, classifier.PlatformAmbiguous, classifier.CodeOf(cs.Lane(0).Commit(t.Context(), writeTransaction("k", "first"))))
	must.NoError(t, kr.SetFaults())
	must.NoError(t, cs.Lane(1).Commit(t.Context(), writeTransaction("l", "other lane")))
	must.Eq(t, classifier.PlatformAmbiguous, classifier.CodeOf(cs.Lane(0).Commit(t.Context(), writeTransaction("k", "second"))))
	must.NoError(t, cs.Lane(0).Commit(t.Context(), writeTransaction("k", "second")))
	must.Eq(t, "second", storedValue(t, store, "k"))
	must.Eq(t, "other lane", storedValue(t, store, "l"))
}

func TestBeginFitsInOneTransaction(t *testing.T) {
	must.LessEq(t, storer.MaxTransactionEntries, 1+2*allocator.BatchLanes)
}

func TestTransactionsStayWithinStoreLimit(t *testing.T) {
	batch := &allocator.Batch{}
	for number := range 100 {
		id := modeller.JobID(fmt.Sprintf("%016x", number))
		batch.Progress = append(batch.Progress, modeller.Progress{ID: id, Queue: "q"})
		batch.Ended = append(batch.Ended, allocator.EndedJob{ID: id, Queue: "q", State: modeller.JobCancelled})
	}
	status := func(number int64, _ bool) (string, []byte, error) { return fmt.Sprint(number), nil, nil }
	transactions, err := Transactions(batch, "r", 1, status)
	must.NoError(t, err)
	entries := 0
	for _, tx := range transactions {
		must.LessEq(t, storer.MaxTransactionEntries-fenceEntries, tx.Size())
		entries += tx.Size()
	}
	must.Eq(t, 100+100*4, entries, must.Sprint("each job's progress, its end, and three removals"))
}

func TestRosterRoundTrip(t *testing.T) {
	roster := []modeller.RosterEntry{
		{Worker: modeller.Worker{ID: "i-1", Pool: "p", Address: netip.MustParseAddrPort("10.0.0.1:80"), VM: "m-1"}},
		{
			Worker:  modeller.Worker{ID: "i-2", Pool: "p", Address: netip.MustParseAddrPort("10.0.0.2:80")},
			Settled: modeller.Incarnation{StartedAtMS: 5, Clock: time.Hour, ReadAt: time.UnixMilli(1_700_000_000_123)},
		},
	}
	data, err := EncodeRoster(roster)
	must.NoError(t, err)
	decoded, err := DecodeRoster(data)
	must.NoError(t, err)
	must.Eq(t, roster, decoded)
}

func TestJobKeysAreParsed(t *testing.T) {
	id, isCancel, err := ParseJobKey(JobKey("5c"))
	must.NoError(t, err)
	must.Eq(t, "5c", id)
	must.False(t, isCancel)
	id, isCancel, err = ParseJobKey(CancelKey("5c"))
	must.NoError(t, err)
	must.Eq(t, "5c", id)
	must.True(t, isCancel)
	for _, key := range []string{"jobs/", "jobs//cancel", "jobs/q/5c", "jobs/q/5c/cancel"} {
		_, _, err := ParseJobKey(key)
		must.Eq(t, classifier.RecordInvalid, classifier.CodeOf(err), must.Sprint(key))
	}
}

// TestLargeProgressHoldsUpNoOtherRecord guards against records that the store refuses
// for their size again and again, while those of other jobs wait behind them.
func TestLargeProgressHoldsUpNoOtherRecord(t *testing.T) {
	large := modeller.Progress{ID: "large", Queue: "q"}
	for index := range 1000 {
		large.Tasks = append(large.Tasks, modeller.TaskProgress{Index: index, Attempt: 1, Checkpoint: strings.Repeat("c", 4000)})
	}
	batch := &allocator.Batch{Progress: []modeller.Progress{large}}
	for number := range 5 {
		medium := modeller.Progress{ID: modeller.JobID(fmt.Sprintf("medium%d", number)), Queue: "q"}
		for index := range 150 {
			medium.Tasks = append(medium.Tasks, modeller.TaskProgress{Index: index, Attempt: 1, Checkpoint: strings.Repeat("c", 4000)})
		}
		batch.Progress = append(batch.Progress, medium)
	}
	transactions, err := Transactions(batch, "r", 0, nil)
	must.NoError(t, err)
	stored := 0
	for _, tx := range transactions {
		bytes := 0
		for _, wr := range tx.Writes {
			bytes += len(wr.Value)
			stored++
		}
		must.LessEq(t, storer.MaxValueBytes, bytes)
	}
	must.Eq(t, 6, stored)
	must.Eq(t, 1000, len(large.Tasks[999].Checkpoint)/4, must.Sprint("the progress itself keeps its checkpoints"))
}

// Guards against ended jobs that callers of other teams can query.
func TestRecordOfAnEndedJobHasItsTeam(t *testing.T) {
	part, err := jobEndPart(allocator.EndedJob{ID: "j", Queue: "q", Team: "t", State: modeller.JobCompleted}, 1)
	must.NoError(t, err)
	jr, err := modeller.DecodeJob(part.writes[0].Value)
	must.NoError(t, err)
	must.Eq(t, "t", jr.Job.Team)
}

// Guards against a later job with the same ID that is taken for cancelled.
func TestEndOfJobLeavesNoCancellation(t *testing.T) {
	store := keeper.New().Zone("a")
	_, err := store.Put(t.Context(), CancelKey("j"), []byte("{}"), 0, 0)
	must.NoError(t, err)
	transactions, err := Transactions(&allocator.Batch{
		Ended: []allocator.EndedJob{{ID: "j", Queue: "q", State: modeller.JobCompleted}},
	}, "r", 1, nil)
	must.NoError(t, err)
	must.Len(t, 1, transactions)
	must.NoError(t, acquireDuty(t, store).Lane(0).Commit(t.Context(), transactions[0]))
	_, err = store.Get(t.Context(), CancelKey("j"))
	must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err))
}
