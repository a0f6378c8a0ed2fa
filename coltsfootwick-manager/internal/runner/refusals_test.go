package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"coltsfootwick.example/platform/adapter"
)

// Guards against a log that grows with each refused request, and against refusals that
// are never logged.
func TestRefusalsAreLoggedAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		rl := newRefusalLog(zap.New(core))
		for range 1000 {
			rl.add(adapter.KeyUnknown, "q")
			rl.add(adapter.KeyMissing, "q")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		must.LessEq(t, 4, logs.Len())
		total := int64(0)
		for _, entry := range logs.All() {
			fields := entry.ContextMap()
			unknown, _ := fields["unknownKey"].(int64)
			missing, _ := fields["missingKey"].(int64)
			total += unknown + missing
		}
		must.Eq(t, 2000, total)
	})
}
