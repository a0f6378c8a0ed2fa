package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

func TestPollThatIsNotSentIsReportedAsFailed(t *testing.T) {
	events := make(chan allocator.Event, 1)
	di := New(Platform{}, "node", 1, func() bool { return false }, func(ev allocator.Event) { events <- ev }, zap.NewNop())
	di.Dispatch(t.Context(), time.Now(), []allocator.Order{allocator.PollOrder{
		Worker: modeller.Worker{ID: "w"},
	}})
	failed, ok := (<-events).(allocator.PollFailed)
	must.True(t, ok)
	must.Eq(t, "w", failed.Worker)
	must.Eq(t, allocator.NotSent, failed.Outcome)
}
