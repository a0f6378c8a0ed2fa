package soaker

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
	"coltsfootwick.example/standin/internal/stager"
)

// finisherFor returns a finisher for a job whose second step needs a rack that is down.
func finisherFor(t *testing.T) (*finisher, *job) {
	t.Helper()
	se, err := stager.New(t.TempDir(), t.TempDir())
	must.NoError(t, err)
	t.Cleanup(se.Close)
	jb := twoSteps()
	jb.Queue = "r-checks"
	for number := range jb.Steps {
		jb.Steps[number].Demand = modeller.Resources{
			MilliCores: taskMilliCores,
			MemoryMB:   taskMemoryMB,
		}
	}
	jb.Steps[1].RequiredLabel = "r2"
	return &finisher{
		play: &play{
			plan: Plan{
				Routes: []Route{{
					Prefix: "/checks/",
					Pool:   "checks",
				}},
			},
			stage: se,
		},
		pools: map[string]provider.Pool{
			"checks": {
				Workers: []provider.Worker{{
					VM:       "m-1",
					Labels:   []string{"r1"},
					Capacity: vmCapacity,
				}},
			},
		},
	}, jb
}

// storeDone stores the job's record, and that tasks of steps are done.
func storeDone(t *testing.T, fs *finisher, jb *job, steps ...int) {
	t.Helper()
	pg := modeller.Progress{
		ID:    jb.ID,
		Queue: jb.Queue,
	}
	for _, step := range steps {
		pg.Tasks = append(pg.Tasks, modeller.TaskProgress{
			Step:    step,
			IsDone:  true,
			Attempt: 1,
		})
	}
	record, err := modeller.EncodeJob(modeller.JobRecord{
		Job: jb.Job,
	})
	must.NoError(t, err)
	pv := fs.play.stage.Provider()
	pv.Put(archiver.JobKey(jb.ID), record)
	pv.Put(archiver.ProgressKey(jb.Queue, jb.ID), modeller.EncodeProgress(pg))
}

func TestJobIsIdleOnlyIfTheTaskThatManagersMayStartHasRoom(t *testing.T) {
	unacknowledged := done(0, 0.5, 1)
	acknowledged := unacknowledged
	acknowledged.IsAcknowledged = true
	killed := unacknowledged
	killed.Kind = provider.EndKilled
	for _, tc := range []struct {
		name   string
		run    provider.Run
		stored []int
		change func(fs *finisher, jb *job)
		next   string
		isIdle bool
	}{
		{name: "acknowledged", run: acknowledged, next: "1.0.1.0"},
		{name: "stored, and the worker is lost before the acknowledgement", run: unacknowledged, stored: []int{0}, next: "1.0.1.0"},
		{name: "stored, with room for the next step", run: unacknowledged, stored: []int{0}, change: func(_ *finisher, jb *job) {
			jb.Steps[1].RequiredLabel = "r1"
		}, next: "1.0.1.0", isIdle: true},
		{name: "stored without a task that is done", run: unacknowledged, stored: []int{}, next: "1.0.0.0", isIdle: true},
		{name: "not stored", run: unacknowledged, next: "1.0.0.0", isIdle: true},
		{name: "stored as done, but killed", run: killed, stored: []int{0}, next: "1.0.0.0", isIdle: true},
		{name: "stored as done, but the dependent step alone", run: unacknowledged, stored: []int{1}, next: "1.0.0.0", isIdle: true},
		{name: "a member of a gang is stored", run: unacknowledged, stored: []int{0}, change: func(_ *finisher, jb *job) {
			jb.Steps[0].Count = 2
			jb.Steps[0].IsGang = true
		}, next: "1.0.1.0"},
		{name: "another step has room", run: acknowledged, change: func(_ *finisher, jb *job) {
			other := jb.Steps[1]
			other.RequiredLabel = "r1"
			jb.Steps = append(jb.Steps, other)
		}, next: "1.0.2.0", isIdle: true},
		{name: "all tasks are stored, and the job isn't completed", run: unacknowledged, stored: []int{0}, change: func(_ *finisher, jb *job) {
			jb.Steps = jb.Steps[:1]
		}, next: "no task", isIdle: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fs, jb := finisherFor(t)
			if tc.change != nil {
				tc.change(fs, jb)
			}
			if tc.stored != nil {
				storeDone(t, fs, jb, tc.stored...)
			}
			fs.history = newHistory([]provider.Run{tc.run})
			next, isIdle := fs.next(t.Context(), jb)
			must.Eq(t, tc.next, next)
			must.Eq(t, tc.isIdle, isIdle)
		})
	}
}
