package modeller

import (
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
)

// progressOfTwoSteps is the progress of a job with a step of three tasks, of which
// two are done, and a checkpointed task of a later step that has failed.
var progressOfTwoSteps = Progress{
	ID:         "5c0e7a21d94b36f8",
	Queue:      "q",
	Pools:      []string{"p", "p2"},
	HasStarted: true,
	Tasks: []TaskProgress{
		{IsDone: true, Attempt: 1},
		{Index: 1, IsDone: true, Attempt: 1},
		{Index: 2, Attempt: 1},
		{Occurrence: 1, Step: 2, Index: 7, Attempt: 3, FailedAttempts: []int{1, 2}, Checkpoint: "c1"},
	},
}

func TestProgressFormatStays(t *testing.T) {
	must.Eq(t, "03"+goldenJob+"01"+"02"+"01"+"70"+"02"+"7032"+goldenTasks, hex.EncodeToString(EncodeProgress(progressOfTwoSteps)))
}

// The parts of progressOfTwoSteps that all formats of package packer share.
const (
	goldenJob   = "10" + "35633065376132316439346233366638" + "01" + "71"
	goldenTasks = "04" +
		"01" + "000000" + "01" + // done, first task
		"09" + "01" + // done, next task
		"08" + "01" + // next task
		"06" + "010207" + "03" + "02" + "0102" + "02" + "6331" // failed, with a checkpoint
)

func TestProgressWithoutPoolsIsDecoded(t *testing.T) {
	data, err := hex.DecodeString("02" + goldenJob + goldenTasks)
	must.NoError(t, err)
	decoded, err := DecodeProgress(data)
	must.NoError(t, err)
	must.Eq(t, withoutPools(progressOfTwoSteps), decoded)
}

// withoutPools returns a progress as an earlier version stored it.
func withoutPools(pg Progress) Progress {
	pg.Pools = nil
	return pg
}

func TestProgressRoundTrip(t *testing.T) {
	for _, pg := range []Progress{{}, {ID: "j", Queue: "q"}, progressOfTwoSteps} {
		decoded, err := DecodeProgress(EncodeProgress(pg))
		must.NoError(t, err)
		must.Eq(t, pg, decoded)
	}
}

func TestProgressOfEarlierVersionIsDecoded(t *testing.T) {
	const stored = `{"id":"5c0e7a21d94b36f8","queue":"q","tasks":[{"done":true,"attempt":1},{"i":1,"done":true,"attempt":1},{"i":2,"attempt":1},` +
		`{"k":1,"s":2,"i":7,"attempt":3,"failed":[1,2],"checkpoint":"c1"}]}`
	decoded, err := DecodeProgress([]byte(stored))
	must.NoError(t, err)
	must.Eq(t, withoutPools(progressOfTwoSteps), decoded)
}

func FuzzDecodeProgress(f *testing.F) {
	f.Add(EncodeProgress(progressOfTwoSteps))
	f.Add([]byte(`{"id":"j"}`))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		pg, err := DecodeProgress(data)
		if err != nil {
			must.Eq(t, classifier.RecordInvalid, classifier.CodeOf(err))
			return
		}
		again, err := DecodeProgress(EncodeProgress(pg))
		must.NoError(t, err)
		if len(pg.Tasks) == 0 {
			pg.Tasks, again.Tasks = nil, nil
		}
		if !reflect.DeepEqual(pg, again) {
			t.Errorf("decoded %+v, and after encoding %+v", pg, again)
		}
	})
}
