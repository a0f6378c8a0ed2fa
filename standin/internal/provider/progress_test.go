package provider

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestProgressCountsTheTasksOfAJob(t *testing.T) {
	rg := newRig(t)
	must.Eq(t, Progress{}, rg.provider.Progress(jobID))
	rg.expect(nil, modeller.Step{Count: 2, IsGang: true}, modeller.Step{Count: 3})
	must.Eq(t, Progress{Tasks: 5}, rg.provider.Progress(jobID))
	rg.provider.SetWorkerFaults("a", HangingRuns{Share: 1})
	rg.mustStart("a", taskText(1, 1), 1)
	must.Eq(t, Progress{Tasks: 5, Started: 1, Running: 1}, rg.provider.Progress(jobID))
	rg.mustStart("b", taskText(0, 0), 1)
	rg.mustStart("c", taskText(0, 1), 1)
	rg.awaitEnd("b", taskText(0, 0), 1)
	must.Eq(t, Progress{Tasks: 5, Started: 3, Running: 1, Done: 2}, rg.provider.Progress(jobID))
}
