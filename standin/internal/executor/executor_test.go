package executor

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

var start = time.Unix(1_800_000_000, 0)

// after returns the time at which a test's clock shows the given time.
func after(elapsed time.Duration) time.Time { return start.Add(elapsed) }

// newExecutor returns an executor whose tasks have the same profile.
func newExecutor(profile Profile, change func(st *Settings)) *Executor {
	settings := Settings{
		StopTime:           100 * time.Millisecond,
		MaxLease:           time.Minute,
		GangWait:           3 * time.Second,
		CheckpointInterval: time.Second,
		RestoreTime:        500 * time.Millisecond,
		Profile:            func(modeller.TaskName) Profile { return profile },
	}
	if change != nil {
		change(&settings)
	}
	return New(start, settings)
}

func task(index int) modeller.TaskName {
	return modeller.TaskName{
		Job:   "j",
		Index: index,
	}
}

// startTask starts attempt 1 of a task.
func startTask(t *testing.T, ex *Executor, now time.Time, name modeller.TaskName, checkpoint string) {
	t.Helper()
	refusal, ok := ex.Start(now, StartOrder{
		Task:       name,
		Attempt:    1,
		Checkpoint: checkpoint,
		LeaseEnd:   time.Minute,
	})
	must.True(t, ok, must.Sprintf("refused: %s", refusal))
}

// ends returns the kinds of the ends that are reported.
func ends(ex *Executor, now time.Time) (kinds []modeller.EndKind) {
	ex.Advance(now)
	for _, end := range ex.Report(now).Ended {
		kinds = append(kinds, end.Kind)
	}
	return kinds
}

func TestCheckpointsAreSavedWithEachIntervalAndAtAStop(t *testing.T) {
	ex := newExecutor(Profile{Duration: 10 * time.Second, IsCheckpointing: true}, nil)
	startTask(t, ex, start, task(0), "")
	saved := func(elapsed time.Duration) string { return ex.Report(after(elapsed)).Running[0].Checkpoint }
	must.Eq(t, "", saved(900*time.Millisecond))
	must.StrHasPrefix(t, "000003e8", saved(1900*time.Millisecond))
	must.StrHasPrefix(t, "000007d0", saved(2100*time.Millisecond))
	_, ok := ex.Stop(after(2500*time.Millisecond), 0, task(0), 1)
	must.True(t, ok)
	must.Eq(t, []modeller.EndKind{modeller.EndStopped}, ends(ex, after(3*time.Second)))
	must.StrHasPrefix(t, "00000a28", ex.Report(after(3 * time.Second)).Ended[0].Checkpoint)
}

func TestARunResumesFromItsCheckpoint(t *testing.T) {
	profile := Profile{Duration: 4 * time.Second, IsCheckpointing: true}
	before := newExecutor(profile, nil)
	startTask(t, before, start, task(0), "")
	saved := before.Report(after(3 * time.Second)).Running[0].Checkpoint

	ex := newExecutor(profile, nil)
	startTask(t, ex, start, task(0), saved)
	must.Eq(t, 75, ex.Report(after(400 * time.Millisecond)).Running[0].Progress)
	must.Eq(t, saved, ex.Report(after(1400 * time.Millisecond)).Running[0].Checkpoint)
	must.SliceEmpty(t, ends(ex, after(1400*time.Millisecond)))
	must.Eq(t, []modeller.EndKind{modeller.EndDone}, ends(ex, after(1500*time.Millisecond)))
}

func TestACheckpointOfAnotherTaskHasNoProgress(t *testing.T) {
	profile := Profile{Duration: 2 * time.Second, IsCheckpointing: true}
	before := newExecutor(profile, nil)
	startTask(t, before, start, task(0), "")
	saved := before.Report(after(time.Second)).Running[0].Checkpoint
	must.NotEq(t, "", saved)

	ex := newExecutor(profile, nil)
	startTask(t, ex, start, task(1), saved)
	must.SliceEmpty(t, ends(ex, after(1900*time.Millisecond)))
	must.Eq(t, []modeller.EndKind{modeller.EndDone}, ends(ex, after(2*time.Second)))
}

func TestAMemberOfAGangWaitsForTheOthers(t *testing.T) {
	first := newExecutor(Profile{Duration: time.Second, IsGang: true}, nil)
	second := newExecutor(Profile{Duration: time.Second, IsGang: true}, nil)
	startTask(t, first, start, task(0), "")
	must.SliceEmpty(t, ends(first, after(2*time.Second)))
	must.True(t, first.IsWaiting(task(0), 1))
	second.Slowness = 2
	startTask(t, second, after(2*time.Second), task(1), "")
	Assemble(after(2*time.Second), []Member{{Executor: first, Task: task(0)}, {Executor: second, Task: task(1)}})
	must.False(t, first.IsWaiting(task(0), 1))
	must.SliceEmpty(t, ends(first, after(3900*time.Millisecond)))
	must.Eq(t, []modeller.EndKind{modeller.EndDone}, ends(first, after(4*time.Second)))
	second.EndMember(after(4*time.Second), task(1), 1, modeller.EndDone)
	must.Eq(t, []modeller.EndKind{modeller.EndDone}, ends(second, after(4*time.Second)))
}

func TestAMemberOfAGangWaitsForALimitedTime(t *testing.T) {
	ex := newExecutor(Profile{Duration: time.Second, IsGang: true}, nil)
	startTask(t, ex, start, task(0), "")
	must.SliceEmpty(t, ends(ex, after(2900*time.Millisecond)))
	must.Eq(t, []modeller.EndKind{modeller.EndGangIncomplete}, ends(ex, after(3*time.Second)))
}

func TestAFailingMemberEndsBeforeTheOthers(t *testing.T) {
	healthy := newExecutor(Profile{Duration: time.Second, IsGang: true}, nil)
	failing := newExecutor(Profile{Duration: time.Second, IsGang: true}, nil)
	failing.IsFailing = true
	startTask(t, healthy, start, task(0), "")
	startTask(t, failing, start, task(1), "")
	Assemble(start, []Member{{Executor: healthy, Task: task(0)}, {Executor: failing, Task: task(1)}})
	must.SliceEmpty(t, ends(healthy, after(2*time.Second)))
	must.Eq(t, []modeller.EndKind{modeller.EndFailed}, ends(failing, after(2*time.Second)))
}

func TestTheClockIsSlowAndItsStartIsOff(t *testing.T) {
	ex := newExecutor(Profile{Duration: time.Hour}, func(st *Settings) {
		st.Drift = 0.02
		st.ClockOffset = 30 * time.Second
		st.WallClockOffset = -3 * time.Second
	})
	must.Eq(t, 128*time.Second, ex.Clock(after(100*time.Second)))
	must.Eq(t, after(-3*time.Second).UnixMilli(), ex.Report(start).StartedAtMS)
	startTask(t, ex, start, task(0), "")
	must.SliceEmpty(t, ends(ex, after(30*time.Second)))
	must.Eq(t, []modeller.EndKind{modeller.EndLeaseExpired}, ends(ex, after(31*time.Second)))
}

func TestAStartWithoutATicketIsRefused(t *testing.T) {
	ex := newExecutor(Profile{Duration: time.Second}, nil)
	refusal, ok := ex.Start(start, StartOrder{
		Task:            task(0),
		Attempt:         1,
		LeaseEnd:        time.Minute,
		IsTicketInvalid: true,
	})
	must.False(t, ok)
	must.Eq(t, RefusedTicket, refusal)
	must.MapEmpty(t, ex.Runs())
}
