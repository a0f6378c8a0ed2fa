package modeller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
)

func TestJobRecordRoundTrip(t *testing.T) {
	for _, jr := range []JobRecord{
		{Job: Job{ID: "j", Queue: "q", Origin: Queue{
			Name: "q", Host: "h", Prefix: "/p/", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond,
			Advice: &Advice{DecisionTime: 5 * time.Millisecond, TimePerWorker: 2 * time.Millisecond, Validity: 3 * time.Second},
		}, Steps: []Step{{Count: 2, DependsOn: nil, Estimate: time.Second}, {Count: 1, DependsOn: []int{0}}}}},
		{Job: Job{ID: "j", Queue: "q", Origin: Queue{Name: "q"}}, FinalState: JobCompleted, EndedAtMS: 7},
		{Job: Job{ID: "j", Queue: "q", Origin: Queue{Name: "q"}, Team: "t", Steps: []Step{{Count: 1}}}},
		{Job: Job{ID: "j", Queue: "q", Origin: Queue{Name: "q"}, Team: "t"}, FinalState: JobCompleted, EndedAtMS: 7},
		{Job: Job{ID: "j", Queue: "q", Origin: Queue{Name: "q", Host: "h", Prefix: "/p/"}}, FinalState: JobCancelled, EndedAtMS: 7, IsTombstone: true},
		{Job: Job{ID: "j", Queue: "q", Origin: Queue{Name: "q"}, Team: "t", Steps: []Step{{Count: 1}}}},
		{Job: Job{ID: "j", Queue: "q", Origin: Queue{Name: "q"}, Team: "t"}, FinalState: JobCompleted, EndedAtMS: 7},
	} {
		data, err := EncodeJob(jr)
		must.NoError(t, err)
		decoded, err := DecodeJob(data)
		must.NoError(t, err)
		must.Eq(t, jr, decoded)
	}
}

// TestInconsistentJobRecordsAreRejected guards against records that end the process
// which schedules the job, and after it each later holder of the duty.
func TestInconsistentJobRecordsAreRejected(t *testing.T) {
	const step = `{"count":1}`
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, fields := range []string{
		`"steps":[]`,
		`"steps":[{"count":0}]`, `"steps":[{"count":-1}]`, `"steps":[{"count":1000000000}]`,
		`"steps":[{"count":1,"after":[0]}]`, `"steps":[{"count":1,"after":[7]}]`, `"steps":[` + step + `,{"count":1,"after":[-1]}]`,
		`"steps":[{"count":1,"milliCores":9223372036854775807}]`, `"steps":[{"count":1,"memoryMb":-1}]`, `"steps":[{"count":1,"accelerators":1e18}]`,
		`"steps":[{"count":1,"estimateMs":9223372036854775807}]`, `"steps":[{"count":1,"estimateMs":-1}]`, `"steps":[{"count":1,"maxPerWorker":-1}]`,
		`"steps":[` + step + `],"occurrences":-1`, `"steps":[` + step + `],"occurrences":1000000000,"firstAtMs":1`,
		`"steps":[` + step + `],"occurrences":3,"firstAtMs":1,"intervalMs":9223372036854775807`, `"steps":[` + step + `],"occurrences":3,"firstAtMs":9223372036854775807`,
		`"steps":[` + strings.TrimSuffix(strings.Repeat(`{"count":10000},`, 11), ",") + `]`,
		`"steps":[` + step + `],"finalState":"asleep"`, `"steps":` + deep, `"steps":[` + step + `],"other":` + deep, `"steps":[` + step + `],"occurrences":1e400`,
	} {
		_, err := DecodeJob([]byte(fmt.Sprintf(`{"id":"j","queue":"q",%s}`, fields)))
		must.Eq(t, classifier.RecordInvalid, classifier.CodeOf(err), must.Sprintf("%.90s", fields))
	}
}

func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"id":"j","queue":"q","steps":[{"count":2,"estimateMs":900},{"count":1,"after":[0]}],"occurrences":2,"firstAtMs":1,"intervalMs":5}`))
	f.Add([]byte(`{"id":"j","queue":"q","finalState":"completed"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		jr, err := DecodeJob(data)
		if err != nil {
			must.Eq(t, classifier.RecordInvalid, classifier.CodeOf(err))
			return
		}
		if jr.FinalState == "" {
			must.NoError(t, jr.Job.Validate())
		}
	})
}

// Guards against accepted jobs whose records are ignored afterwards.
func TestScheduleFromTheFirstMillisecondRoundTrips(t *testing.T) {
	jb := Job{ID: "j", Queue: "q", Steps: []Step{{Count: 1}}, Occurrences: 2, FirstAt: time.UnixMilli(0).In(time.FixedZone("west", -3600)), Interval: time.Second}
	must.NoError(t, jb.Validate())
	data, err := EncodeJob(JobRecord{Job: jb})
	must.NoError(t, err)
	decoded, err := DecodeJob(data)
	must.NoError(t, err)
	must.True(t, jb.FirstAt.Equal(decoded.Job.FirstAt))
}

// Guards against records of deployments without teams that differ from earlier ones.
func TestRecordOfAJobWithoutATeamHasNoTeam(t *testing.T) {
	data, err := EncodeJob(JobRecord{Job: Job{ID: "j", Queue: "q", Steps: []Step{{Count: 1}}}})
	must.NoError(t, err)
	must.StrNotContains(t, string(data), "team")
}
