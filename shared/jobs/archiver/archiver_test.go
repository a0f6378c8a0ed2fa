package archiver

import (
	"fmt"
	"net/netip"
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

// hold makes the duty's key anew and returns the committer of its holder.
func hold(t *testing.T, store storer.TransactionStore) *Committer {
	t.Helper()
	et, err := store.Get(t.Context(), dutyKey)
	if err == nil {
		must.NoError(t, store.Delete(t.Context(), dutyKey, et.Revision))
	}
	epoch, err := store.Put(t.Context(), dutyKey, []byte("holder"), 0, 0)
	must.NoError(t, err)
	cm := NewCommitter(store, dutyKey, epoch, "r")
	must.NoError(t, cm.Begin(t.Context()))
	return cm
}

func setting(key, value string) storer.Transaction {
	return storer.Transaction{
		Writes: []storer.Write{{Key: key, Value: []byte(value)}},
	}
}

func valueOf(t *testing.T, store storer.Store, key string) string {
	t.Helper()
	et, err := store.Get(t.Context(), key)
	must.NoError(t, err)
	return string(et.Value)
}

func TestReplacedHolderCannotWrite(t *testing.T) {
	store := keeper.New().Zone("a")
	first := hold(t, store)
	must.NoError(t, first.Commit(t.Context(), setting("k", "first")))
	second := hold(t, store)
	err := first.Commit(t.Context(), setting("k", "late"))
	must.Eq(t, classifier.StaleEpoch, classifier.CodeOf(err))
	must.NoError(t, second.Commit(t.Context(), setting("k", "second")))
	must.Eq(t, "second", valueOf(t, store, "k"))
}

func TestWriteWithALostAnswerIsRepeatedOnce(t *testing.T) {
	kr := keeper.New()
	store := kr.Zone("a", keeper.WithCallTimeout(50*time.Millisecond))
	cm := hold(t, store)
	must.NoError(t, kr.SetFaults(keeper.AnswerLost{Scope: keeper.Scope{Share: 1}}))
	must.Eq(t, classifier.PlatformAmbiguous, classifier.CodeOf(cm.Commit(t.Context(), setting("k", "first"))))
	must.NoError(t, kr.SetFaults())
	must.Eq(t, classifier.PlatformAmbiguous, classifier.CodeOf(cm.Commit(t.Context(), setting("k", "first"))))
	must.NoError(t, cm.Commit(t.Context(), setting("k", "second")))
	must.Eq(t, "second", valueOf(t, store, "k"))
}

func TestTransactionsStayWithinTheStoresBound(t *testing.T) {
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
		must.LessEq(t, storer.MaxTransactionEntries-overhead, tx.Size())
		entries += tx.Size()
	}
	must.Eq(t, 100+100*4-100, entries, must.Sprint("a job's progress, its end, and two removals"))
}

func TestRosterIsReadBack(t *testing.T) {
	workers := []modeller.Worker{{ID: "i-1", Pool: "p", Address: netip.MustParseAddrPort("10.0.0.1:80"), VM: "m-1"}}
	data, err := EncodeRoster(workers)
	must.NoError(t, err)
	again, err := DecodeRoster(data)
	must.NoError(t, err)
	must.Eq(t, workers, again)
}

func TestJobKeysAreParsed(t *testing.T) {
	id, isCancel := ParseJobKey(JobKey("q", "5c"))
	must.Eq(t, "5c", id)
	must.False(t, isCancel)
	id, isCancel = ParseJobKey(CancelKey("q", "5c"))
	must.Eq(t, "5c", id)
	must.True(t, isCancel)
}
