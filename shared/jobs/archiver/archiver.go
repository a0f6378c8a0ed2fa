// Package archiver stores and loads the state of a scheduler: it encodes
// batches of the allocator as transactions of the platform's store, and decodes
// stored records for the next holder.
//
// Each transaction expects two revisions. That of the duty's key ensures that a
// holder that has been replaced can't write. That of the sequence key of its
// lane, which each transaction of the lane writes, ensures that a transaction
// whose answer was lost can't take effect after a later one of the lane. A
// record is never in two lanes at once.
package archiver

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// cancelSuffix is the suffix of the keys of cancellation requests.
const cancelSuffix = "/cancel"

// JobKey returns the key of a job's record. It doesn't contain the job's queue,
// which may have another name later.
func JobKey(id modeller.JobID) string { return storer.JobPrefix + string(id) }

// CancelKey returns the key of the request to cancel a job.
func CancelKey(id modeller.JobID) string { return JobKey(id) + cancelSuffix }

// PayloadKey returns the key of a job's payload.
func PayloadKey(queue string, id modeller.JobID) string {
	return storer.PayloadPrefix + queue + "/" + string(id)
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(queue string, id modeller.JobID) string {
	return storer.ProgressPrefix + queue + "/" + string(id)
}

// DecodeProgress decodes the entry of a job's progress. With an error it returns the
// job that the key names.
func DecodeProgress(et storer.Entry) (modeller.Progress, error) {
	id := modeller.JobID(et.Key[strings.LastIndexByte(et.Key, '/')+1:])
	pg, err := modeller.DecodeProgress(et.Value)
	if err == nil && pg.ID != id {
		err = classifier.New(classifier.RecordInvalid, "progress of job %q", pg.ID)
	}
	if err != nil {
		return modeller.Progress{ID: id}, classifier.Wrap(err, classifier.RecordInvalid, "%s", et.Key)
	}
	return pg, nil
}

// SequencePrefix returns the prefix of the keys that order the transactions of
// a region's holders, one key for each lane.
func SequencePrefix(region string) string { return storer.SchedulerPrefix + region + "/sequence/" }

// RosterKey returns the key of a region's roster of workers.
func RosterKey(region string) string { return storer.SchedulerPrefix + region + "/roster" }

// WaveKey returns the key of a wave's progress.
func WaveKey(number int64) string { return storer.WavePrefix + strconv.FormatInt(number, 10) }

// ParseJobKey returns the job of a key below storer.JobPrefix, and whether the
// key is a request to cancel it. The error is RecordInvalid for any other key.
func ParseJobKey(key string) (id modeller.JobID, isCancel bool, err error) {
	name, isCancel := strings.CutSuffix(strings.TrimPrefix(key, storer.JobPrefix), cancelSuffix)
	if name == "" || strings.Contains(name, "/") {
		return "", false, classifier.New(classifier.RecordInvalid, "key %s is not that of a job", key)
	}
	return modeller.JobID(name), isCancel, nil
}

// EncodeStatusFunc returns the key and the value of a wave's status for
// operators.
type EncodeStatusFunc func(number int64, isCompleted bool) (key string, value []byte, err error)

// transactionPart is a set of changes that have to be in one transaction.
type transactionPart struct {
	writes  []storer.Write
	removed []string
}

// bytes returns the size of the part's values.
func (tp transactionPart) bytes() int {
	total := 0
	for _, wr := range tp.writes {
		total += len(wr.Value)
	}
	return total
}

// fenceEntries is the number of entries that the fences take up in a
// transaction.
const fenceEntries = 3

// maxTransactionBytes limits the values of a transaction, unless a single one is
// larger.
const maxTransactionBytes = storer.MaxValueBytes

// Transactions returns the changes of a batch as transactions that stay, with
// the entries of their fences, within storer.MaxTransactionEntries. nowMS is
// the current time in Unix milliseconds.
func Transactions(bt *allocator.Batch, region string, nowMS int64, status EncodeStatusFunc) ([]storer.Transaction, error) {
	parts, err := batchParts(bt, region, nowMS, status)
	if err != nil {
		return nil, err
	}
	var transactions []storer.Transaction
	var current storer.Transaction
	currentBytes := 0
	for _, part := range parts {
		isFull := current.Size()+len(part.writes)+len(part.removed) > storer.MaxTransactionEntries-fenceEntries
		if isFull || current.Size() > 0 && currentBytes+part.bytes() > maxTransactionBytes {
			transactions = append(transactions, current)
			current = storer.Transaction{}
			currentBytes = 0
		}
		currentBytes += part.bytes()
		current.Writes = append(current.Writes, part.writes...)
		current.Deletes = append(current.Deletes, part.removed...)
	}
	if current.Size() > 0 {
		transactions = append(transactions, current)
	}
	return transactions, nil
}

func batchParts(bt *allocator.Batch, region string, nowMS int64, status EncodeStatusFunc) ([]transactionPart, error) {
	var parts []transactionPart
	for _, pg := range bt.Progress {
		parts = append(parts, writePart(ProgressKey(pg.Queue, pg.ID), encodeProgress(pg)))
	}
	for _, ej := range bt.Ended {
		part, err := jobEndPart(ej, nowMS)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	for _, ej := range bt.Expired {
		parts = append(parts, transactionPart{
			removed: []string{JobKey(ej.ID)},
		})
	}
	for _, wp := range bt.Waves {
		part, err := wavePart(wp, nowMS, status)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	if bt.Roster != nil {
		value, err := EncodeRoster(bt.Roster)
		if err != nil {
			return nil, err
		}
		parts = append(parts, writePart(RosterKey(region), value))
	}
	return parts, nil
}

// encodeProgress returns the stored form of a job's progress. It leaves out the
// checkpoints of a job that has too many, since a record that is too large would hold
// up those after it.
func encodeProgress(pg modeller.Progress) []byte {
	data := modeller.EncodeProgress(pg)
	if len(data) <= storer.MaxValueBytes {
		return data
	}
	tasks := slices.Clone(pg.Tasks)
	for idx := range tasks {
		tasks[idx].Checkpoint = ""
	}
	pg.Tasks = tasks
	return modeller.EncodeProgress(pg)
}

func writePart(key string, value []byte) transactionPart {
	return transactionPart{
		writes: []storer.Write{{Key: key, Value: value}},
	}
}

func jobEndPart(ej allocator.EndedJob, endedAtMS int64) (transactionPart, error) {
	value, err := modeller.EncodeJob(modeller.JobRecord{
		Job: modeller.Job{
			ID:     ej.ID,
			Queue:  ej.Queue,
			Origin: ej.Origin,
			Team:   ej.Team,
		},
		FinalState: ej.State,
		EndedAtMS:  endedAtMS,
	})
	if err != nil {
		return transactionPart{}, err
	}
	part := writePart(JobKey(ej.ID), value)
	part.removed = []string{ProgressKey(ej.Queue, ej.ID), PayloadKey(ej.Queue, ej.ID), CancelKey(ej.ID)}
	return part, nil
}

func wavePart(wp allocator.WaveProgress, nowMS int64, status EncodeStatusFunc) (transactionPart, error) {
	value, err := json.Marshal(waveRecord{
		Maintained:  wp.Maintained,
		Ordered:     wp.Ordered,
		StartedAtMS: nowMS - wp.Elapsed.Milliseconds(),
	})
	if err != nil {
		return transactionPart{}, classifier.Wrap(err, classifier.Internal, "encode progress of wave %d", wp.Number)
	}
	key, statusValue, err := status(wp.Number, wp.IsCompleted)
	if err != nil {
		return transactionPart{}, err
	}
	part := writePart(WaveKey(wp.Number), value)
	part.writes = append(part.writes, storer.Write{
		Key:   key,
		Value: statusValue,
	})
	return part, nil
}

// waveRecord is the stored form of a wave's progress.
type waveRecord struct {
	Maintained []string `json:"maintained"`
	Ordered    []string `json:"ordered,omitempty"`
	// StartedAtMS is the Unix millisecond at which the wave started.
	StartedAtMS int64 `json:"begunAtMs"`
}

// DecodeWave decodes the entry of a wave's progress. nowMS is the current time
// in Unix milliseconds.
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
		Ordered:    rec.Ordered,
		Elapsed:    time.Duration(nowMS-rec.StartedAtMS) * time.Millisecond,
	}, nil
}

// rosterRecord is the stored form of a worker in the roster.
type rosterRecord struct {
	ID      string `json:"id"`
	Pool    string `json:"pool"`
	Address string `json:"address"`
	VM      string `json:"vm,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// The settled incarnation: its start time, and the reading of its own clock at a
	// time by a holder's wall clock.
	StartedAtMS int64 `json:"startedAtMs,omitempty"`
	ClockMS     int64 `json:"clockMs,omitempty"`
	ReadAtMS    int64 `json:"readAtMs,omitempty"`
}

// EncodeRoster returns the stored form of the workers that may have runs.
func EncodeRoster(roster []modeller.RosterEntry) ([]byte, error) {
	records := make([]rosterRecord, 0, len(roster))
	for _, re := range roster {
		wk := re.Worker
		record := rosterRecord{
			ID:      string(wk.ID),
			Pool:    wk.Pool,
			Address: wk.Address.String(),
			VM:      wk.VM,
			Zone:    wk.Zone,
		}
		if settled := re.Settled; settled.StartedAtMS != 0 {
			record.StartedAtMS = settled.StartedAtMS
			record.ClockMS = settled.Clock.Milliseconds()
			record.ReadAtMS = settled.ReadAt.UnixMilli()
		}
		records = append(records, record)
	}
	data, err := json.Marshal(records)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "roster")
	}
	return data, nil
}

// DecodeRoster returns the workers of a stored roster. With an error it returns those
// that can be decoded.
func DecodeRoster(data []byte) ([]modeller.RosterEntry, error) {
	var records []json.RawMessage
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, classifier.Wrap(err, classifier.RecordInvalid, "roster")
	}
	var invalid error
	roster := make([]modeller.RosterEntry, 0, len(records))
	for _, data := range records {
		var rec rosterRecord
		err := json.Unmarshal(data, &rec)
		var address netip.AddrPort
		if err == nil {
			address, err = netip.ParseAddrPort(rec.Address)
		}
		if err != nil {
			invalid = errors.Join(invalid, classifier.Wrap(err, classifier.RecordInvalid, "roster: worker %q", rec.ID))
			continue
		}
		roster = append(roster, modeller.RosterEntry{
			Worker: modeller.Worker{
				ID:      modeller.WorkerID(rec.ID),
				Pool:    rec.Pool,
				Address: address,
				VM:      rec.VM,
				Zone:    rec.Zone,
			},
			Settled: rec.settled(),
		})
	}
	return roster, invalid
}

// settled returns the settled incarnation of a worker, or zero if there is none.
func (rec rosterRecord) settled() modeller.Incarnation {
	if rec.StartedAtMS == 0 || rec.ReadAtMS == 0 {
		return modeller.Incarnation{}
	}
	return modeller.Incarnation{
		StartedAtMS: rec.StartedAtMS,
		Clock:       time.Duration(rec.ClockMS) * time.Millisecond,
		ReadAt:      time.UnixMilli(rec.ReadAtMS),
	}
}
