// Package archiver turns what a scheduler has to store into transactions of the
// platform's store, and reads it back for its successor.
//
// Each transaction expects the duty's key as the holder made it, so that a
// holder that has been replaced can't write, and a sequence key as the
// transaction before has left it, so that a transaction whose answer was lost
// can't take effect after a later one.
package archiver

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// cancelSuffix is what the key of a wish to cancel ends with.
const cancelSuffix = "/cancel"

// JobKey returns the key of a job.
func JobKey(queue string, id modeller.JobID) string {
	return storer.JobPrefix + queue + "/" + string(id)
}

// CancelKey returns the key of the wish to cancel a job.
func CancelKey(queue string, id modeller.JobID) string {
	return JobKey(queue, id) + cancelSuffix
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(queue string, id modeller.JobID) string {
	return storer.ProgressPrefix + queue + "/" + string(id)
}

// SequenceKey returns the key that orders the transactions of a region's holders.
func SequenceKey(region string) string { return storer.SchedulerPrefix + region + "/sequence" }

// RosterKey returns the key of a region's workers.
func RosterKey(region string) string { return storer.SchedulerPrefix + region + "/roster" }

// WaveKey returns the key of a wave's progress.
func WaveKey(number int64) string { return storer.WavePrefix + strconv.FormatInt(number, 10) }

// ParseJobKey returns the job that a key below storer.JobPrefix is about, and
// whether the key is the wish to cancel it.
func ParseJobKey(key string) (id modeller.JobID, isCancel bool) {
	rest, isCancel := strings.CutSuffix(strings.TrimPrefix(key, storer.JobPrefix), cancelSuffix)
	return modeller.JobID(rest[strings.LastIndexByte(rest, '/')+1:]), isCancel
}

// EncodeStatusFunc is how operators are told of a wave: a key and its value.
type EncodeStatusFunc func(number int64, isCompleted bool) (key string, value []byte, err error)

// change is what belongs together in one transaction.
type change struct {
	writes  []storer.Write
	removed []string
}

// overhead is how many entries of a transaction its fences take.
const overhead = 3

// Transactions returns the changes of a batch at a Unix millisecond, each small
// enough for a transaction beside its fences.
func Transactions(bt *allocator.Batch, region string, nowMS int64, status EncodeStatusFunc) ([]storer.Transaction, error) {
	changes, err := changesOf(bt, region, nowMS, status)
	if err != nil {
		return nil, err
	}
	var transactions []storer.Transaction
	var current storer.Transaction
	for _, ch := range changes {
		if current.Size()+len(ch.writes)+len(ch.removed) > storer.MaxTransactionEntries-overhead {
			transactions = append(transactions, current)
			current = storer.Transaction{}
		}
		current.Writes = append(current.Writes, ch.writes...)
		current.Removed = append(current.Removed, ch.removed...)
	}
	if current.Size() > 0 {
		transactions = append(transactions, current)
	}
	return transactions, nil
}

func changesOf(bt *allocator.Batch, region string, nowMS int64, status EncodeStatusFunc) ([]change, error) {
	var changes []change
	for _, pg := range bt.Progress {
		value, err := modeller.EncodeProgress(pg)
		if err != nil {
			return nil, err
		}
		changes = append(changes, writeOf(ProgressKey(pg.Queue, pg.ID), value))
	}
	for _, ej := range bt.Ended {
		ch, err := endOf(ej, nowMS)
		if err != nil {
			return nil, err
		}
		changes = append(changes, ch)
	}
	for _, ej := range bt.Expired {
		changes = append(changes, change{
			removed: []string{JobKey(ej.Queue, ej.ID)},
		})
	}
	for _, wp := range bt.Waves {
		ch, err := waveOf(wp, nowMS, status)
		if err != nil {
			return nil, err
		}
		changes = append(changes, ch)
	}
	if bt.Roster != nil {
		value, err := EncodeRoster(bt.Roster)
		if err != nil {
			return nil, err
		}
		changes = append(changes, writeOf(RosterKey(region), value))
	}
	return changes, nil
}

func writeOf(key string, value []byte) change {
	return change{
		writes: []storer.Write{{Key: key, Value: value}},
	}
}

func endOf(ej allocator.EndedJob, endedAtMS int64) (change, error) {
	value, err := modeller.EncodeJob(modeller.JobRecord{
		Job: modeller.Job{
			ID:    ej.ID,
			Queue: ej.Queue,
		},
		FinalState: ej.State,
		EndedAtMS:  endedAtMS,
	})
	if err != nil {
		return change{}, err
	}
	ch := writeOf(JobKey(ej.Queue, ej.ID), value)
	ch.removed = []string{ProgressKey(ej.Queue, ej.ID)}
	if ej.State == modeller.JobCancelled {
		ch.removed = append(ch.removed, CancelKey(ej.Queue, ej.ID))
	}
	return ch, nil
}

func waveOf(wp allocator.WaveProgress, nowMS int64, status EncodeStatusFunc) (change, error) {
	value, err := json.Marshal(waveRecord{
		Maintained: wp.Maintained,
		BegunAtMS:  nowMS - wp.Elapsed.Milliseconds(),
	})
	if err != nil {
		return change{}, classifier.Wrap(err, classifier.Internal, "wave %d", wp.Number)
	}
	key, told, err := status(wp.Number, wp.IsCompleted)
	if err != nil {
		return change{}, err
	}
	ch := writeOf(WaveKey(wp.Number), value)
	ch.writes = append(ch.writes, storer.Write{
		Key:   key,
		Value: told,
	})
	return ch, nil
}

// waveRecord is a wave's progress as it is stored.
type waveRecord struct {
	Maintained []string `json:"maintained"`
	// BegunAtMS is the Unix millisecond at which the wave began.
	BegunAtMS int64 `json:"begunAtMs"`
}

// DecodeWave returns the progress of a wave's entry at a Unix millisecond.
func DecodeWave(et storer.Entry, nowMS int64) (allocator.WaveProgressLoaded, error) {
	number, err := strconv.ParseInt(strings.TrimPrefix(et.Key, storer.WavePrefix), 10, 64)
	if err != nil {
		return allocator.WaveProgressLoaded{}, classifier.Wrap(err, classifier.RecordInvalid, "%s", et.Key)
	}
	var rec waveRecord
	if err := json.Unmarshal(et.Value, &rec); err != nil {
		return allocator.WaveProgressLoaded{}, classifier.Wrap(err, classifier.RecordInvalid, "%s", et.Key)
	}
	return allocator.WaveProgressLoaded{
		Number:     number,
		Maintained: rec.Maintained,
		Elapsed:    time.Duration(nowMS-rec.BegunAtMS) * time.Millisecond,
	}, nil
}

// rosterRecord is a worker as the roster holds it.
type rosterRecord struct {
	ID      string `json:"id"`
	Pool    string `json:"pool"`
	Address string `json:"address"`
	VM      string `json:"vm,omitempty"`
}

// EncodeRoster returns the stored form of the workers that may hold runs.
func EncodeRoster(workers []modeller.Worker) ([]byte, error) {
	records := make([]rosterRecord, 0, len(workers))
	for _, wk := range workers {
		records = append(records, rosterRecord{
			ID:      string(wk.ID),
			Pool:    wk.Pool,
			Address: wk.Address.String(),
			VM:      wk.VM,
		})
	}
	data, err := json.Marshal(records)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "roster")
	}
	return data, nil
}

// DecodeRoster returns the workers of a stored form.
func DecodeRoster(data []byte) ([]modeller.Worker, error) {
	var records []rosterRecord
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, classifier.Wrap(err, classifier.RecordInvalid, "roster")
	}
	workers := make([]modeller.Worker, 0, len(records))
	for _, rec := range records {
		address, err := netip.ParseAddrPort(rec.Address)
		if err != nil {
			return nil, classifier.Wrap(err, classifier.RecordInvalid, "roster: worker %s", rec.ID)
		}
		workers = append(workers, modeller.Worker{
			ID:      modeller.WorkerID(rec.ID),
			Pool:    rec.Pool,
			Address: address,
			VM:      rec.VM,
		})
	}
	return workers, nil
}
