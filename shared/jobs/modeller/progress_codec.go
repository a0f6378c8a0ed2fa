package modeller

import (
	"encoding/json"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/packer"
)

// The first byte of a stored Progress in the format of package packer. Records of
// earlier versions are JSON objects, which begin with a brace.
const (
	// progressWithoutPools is the format of records that don't name the pools, and
	// count ordered starts as ones that took place.
	progressWithoutPools = 2
	progressFormat       = 3
)

// The bits of a stored task.
const (
	progressDone = 1 << iota
	progressFailed
	progressCheckpoint
	// progressNext is set if the task follows the one before it in the same step,
	// so that only its other fields are stored.
	progressNext
)

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(pg Progress) []byte {
	data := []byte{progressFormat}
	data = packer.AppendString(data, string(pg.ID))
	data = packer.AppendString(data, pg.Queue)
	data = packer.AppendBool(data, pg.HasStarted)
	data = packer.AppendUint(data, uint64(len(pg.Pools)))
	for _, pool := range pg.Pools {
		data = packer.AppendString(data, pool)
	}
	data = packer.AppendUint(data, uint64(len(pg.Tasks)))
	var last TaskProgress
	for number, tp := range pg.Tasks {
		data = appendTask(data, tp, number > 0 && tp.isNext(last))
		last = tp
	}
	return data
}

// isNext reports whether the task has the index after that of another one of the
// same step.
func (tp TaskProgress) isNext(last TaskProgress) bool {
	return tp.Occurrence == last.Occurrence && tp.Step == last.Step && tp.Index == last.Index+1
}

func appendTask(data []byte, tp TaskProgress, isNext bool) []byte {
	var bits byte
	if tp.IsDone {
		bits |= progressDone
	}
	if len(tp.FailedAttempts) > 0 {
		bits |= progressFailed
	}
	if tp.Checkpoint != "" {
		bits |= progressCheckpoint
	}
	if isNext {
		bits |= progressNext
	}
	data = append(data, bits)
	if !isNext {
		data = packer.AppendUint(data, uint64(tp.Occurrence))
		data = packer.AppendUint(data, uint64(tp.Step))
		data = packer.AppendUint(data, uint64(tp.Index))
	}
	data = packer.AppendUint(data, uint64(tp.Attempt))
	if len(tp.FailedAttempts) > 0 {
		data = packer.AppendUint(data, uint64(len(tp.FailedAttempts)))
		for _, attempt := range tp.FailedAttempts {
			data = packer.AppendUint(data, uint64(attempt))
		}
	}
	if tp.Checkpoint != "" {
		data = packer.AppendString(data, tp.Checkpoint)
	}
	return data
}

// DecodeProgress returns a job's progress from its stored form.
func DecodeProgress(data []byte) (Progress, error) {
	if len(data) == 0 || data[0] != progressFormat && data[0] != progressWithoutPools {
		return decodeProgressObject(data)
	}
	rd := packer.NewReader(data[1:])
	pg := Progress{
		ID:    JobID(rd.String()),
		Queue: rd.String(),
	}
	if data[0] == progressFormat {
		pg.HasStarted = rd.Bool()
		for range rd.Length() {
			pg.Pools = append(pg.Pools, rd.String())
		}
	}
	var last TaskProgress
	for range rd.Length() {
		last = readTask(rd, last)
		pg.Tasks = append(pg.Tasks, last)
	}
	if err := rd.Err(); err != nil {
		return Progress{}, classifier.Wrap(err, classifier.RecordInvalid, "progress record")
	}
	if data[0] == progressWithoutPools {
		pg.HasStarted = len(pg.Tasks) > 0
	}
	return pg, pg.validate()
}

// maxAttempt limits the numbers of attempts.
const maxAttempt = 1 << 31

// validate returns a RecordInvalid error if a number is out of range.
func (pg Progress) validate() error {
	for _, tp := range pg.Tasks {
		isValid := min(tp.Occurrence, tp.Step, tp.Index, tp.Attempt) >= 0 && max(tp.Occurrence, tp.Step, tp.Index) <= maxTaskNumber && tp.Attempt <= maxAttempt
		for _, attempt := range tp.FailedAttempts {
			isValid = isValid && attempt >= 0 && attempt <= maxAttempt
		}
		if !isValid {
			return classifier.New(classifier.RecordInvalid, "progress record of job %s: a number of task %d.%d.%d is out of range", pg.ID, tp.Occurrence, tp.Step, tp.Index)
		}
	}
	return nil
}

func readTask(rd *packer.Reader, last TaskProgress) TaskProgress {
	bits := rd.Byte()
	tp := TaskProgress{
		Occurrence: last.Occurrence,
		Step:       last.Step,
		Index:      last.Index + 1,
		IsDone:     bits&progressDone != 0,
	}
	if bits&progressNext == 0 {
		tp.Occurrence = int(rd.Uint())
		tp.Step = rd.Index()
		tp.Index = rd.Index()
	}
	tp.Attempt = int(rd.Uint())
	if bits&progressFailed != 0 {
		for range rd.Length() {
			tp.FailedAttempts = append(tp.FailedAttempts, int(rd.Uint()))
		}
	}
	if bits&progressCheckpoint != 0 {
		tp.Checkpoint = rd.String()
	}
	return tp
}

// progressRecord is the stored form of a Progress in earlier versions.
type progressRecord struct {
	ID    string       `json:"id"`
	Queue string       `json:"queue"`
	Tasks []taskRecord `json:"tasks,omitempty"`
}

// taskRecord is the stored form of a TaskProgress in earlier versions.
type taskRecord struct {
	Occurrence     int    `json:"k,omitempty"`
	Step           int    `json:"s,omitempty"`
	Index          int    `json:"i,omitempty"`
	IsDone         bool   `json:"done,omitempty"`
	Attempt        int    `json:"attempt,omitempty"`
	FailedAttempts []int  `json:"failed,omitempty"`
	Checkpoint     string `json:"checkpoint,omitempty"`
}

func decodeProgressObject(data []byte) (Progress, error) {
	var rec progressRecord
	if err := json.Unmarshal(data, &rec); err != nil {
		return Progress{}, classifier.Wrap(err, classifier.RecordInvalid, "progress record")
	}
	pg := Progress{
		ID:    JobID(rec.ID),
		Queue: rec.Queue,
		Tasks: make([]TaskProgress, 0, len(rec.Tasks)),
	}
	for _, tr := range rec.Tasks {
		pg.Tasks = append(pg.Tasks, TaskProgress(tr))
	}
	pg.HasStarted = len(pg.Tasks) > 0
	return pg, pg.validate()
}
