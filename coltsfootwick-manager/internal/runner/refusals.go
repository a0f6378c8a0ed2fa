package runner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
)

// refusalLogInterval is the minimum time between two log lines about refused callers,
// who may send thousands of requests a second.
const refusalLogInterval = 5 * time.Second

// refusedForBacklog is the cause of a refusal for the backlog of a pool.
const refusedForBacklog adapter.RefusalCause = "backlog"

// refusalLog counts refused callers by cause and logs the counts: at the first refusal,
// and then at most once in refusalLogInterval.
type refusalLog struct {
	logger *zap.Logger

	mu sync.Mutex
	// counts are the refusals that are not logged yet.
	counts map[adapter.RefusalCause]int
	// queue is the queue of the last refusal.
	queue string
	// isWaiting is true from a log line until the next one may be written.
	isWaiting bool
}

func newRefusalLog(logger *zap.Logger) *refusalLog {
	return &refusalLog{
		logger: logger,
		counts: map[adapter.RefusalCause]int{},
	}
}

// add counts a refusal.
func (rl *refusalLog) add(cause adapter.RefusalCause, queue string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.counts[cause]++
	rl.queue = queue
	if !rl.isWaiting {
		rl.write()
	}
}

// endWait logs what has been counted since the last line.
func (rl *refusalLog) endWait() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.isWaiting = false
	if len(rl.counts) > 0 {
		rl.write()
	}
}

// write logs the counts and resets them.
func (rl *refusalLog) write() {
	fields := []zap.Field{zap.String("queue", rl.queue)}
	for _, cause := range slices.Sorted(maps.Keys(rl.counts)) {
		fields = append(fields, zap.Int(string(cause), rl.counts[cause]))
	}
	rl.logger.Warn("callers refused", fields...)
	clear(rl.counts)
	rl.isWaiting = true
	time.AfterFunc(refusalLogInterval, rl.endWait)
}
