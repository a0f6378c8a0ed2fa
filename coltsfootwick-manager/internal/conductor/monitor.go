package conductor

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/allocator"
)

// loadInterval is the interval between log lines about the scheduler's load.
const loadInterval = time.Second

// loadMonitor measures how far a holder keeps up with its work, and logs it.
// Except for recordBatch, its methods are called by the allocator's goroutine
// only.
type loadMonitor struct {
	logger   *zap.Logger
	loggedAt time.Time
	// links are the links whose traffic is logged, and traffic their traffic at
	// the last log line.
	links   []Link
	traffic []linkTraffic
	// plans, planTime, starts and polls count since the last log line.
	plans         int
	planTime      time.Duration
	starts, polls int
	// slowestBatch is the longest time that storing a batch has taken since the
	// last log line, in nanoseconds.
	slowestBatch atomic.Int64
}

// linkTraffic is the bytes sent and received on a link.
type linkTraffic struct {
	sent, received int64
}

func newLoadMonitor(now time.Time, logger *zap.Logger, links []Link) *loadMonitor {
	lm := &loadMonitor{
		logger:   logger,
		loggedAt: now,
		links:    links,
	}
	for _, li := range links {
		sent, received := li.Traffic()
		lm.traffic = append(lm.traffic, linkTraffic{sent: sent, received: received})
	}
	return lm
}

// recordPlan records the duration and the orders of a plan.
func (lm *loadMonitor) recordPlan(duration time.Duration, orders []allocator.Order) {
	lm.plans++
	lm.planTime += duration
	for _, od := range orders {
		switch od.(type) {
		case allocator.StartOrder:
			lm.starts++
		case allocator.PollOrder:
			lm.polls++
		}
	}
}

// recordBatch records how long storing a batch took.
func (lm *loadMonitor) recordBatch(duration time.Duration) {
	lm.slowestBatch.Store(max(lm.slowestBatch.Load(), int64(duration)))
}

// isDue reports whether the next log line is due.
func (lm *loadMonitor) isDue(now time.Time) bool { return now.Sub(lm.loggedAt) >= loadInterval }

// log logs the load and starts the next interval.
func (lm *loadMonitor) log(now time.Time, ld allocator.Load, queuedEvents int) {
	fields := []zap.Field{
		zap.Duration("interval", now.Sub(lm.loggedAt)),
		zap.Int("waitingJobs", ld.WaitingJobs),
		zap.Int("unconfirmedJobs", ld.UnconfirmedJobs),
		zap.Int("changedJobs", ld.ChangedJobs),
		zap.Int("workersWithUnstoredEnds", ld.UnstoredEnds),
		zap.Int("reports", ld.Reports),
		zap.Int("repeatedEnds", ld.RepeatedEnds),
		zap.Int("queuedEvents", queuedEvents),
		zap.Int("plans", lm.plans),
		zap.Duration("planTime", lm.planTime),
		zap.Int("starts", lm.starts),
		zap.Int("polls", lm.polls),
		zap.Duration("slowestBatch", time.Duration(lm.slowestBatch.Swap(0))),
	}
	for idx, li := range lm.links {
		sent, received := li.Traffic()
		fields = append(fields, zap.Int64(li.Name+"SentBytes", sent-lm.traffic[idx].sent), zap.Int64(li.Name+"ReceivedBytes", received-lm.traffic[idx].received))
		lm.traffic[idx] = linkTraffic{sent: sent, received: received}
	}
	if len(ld.Teams) > 0 {
		fields = append(fields, zap.Objects("teams", teamFields(ld.Teams)))
	}
	lm.logger.Info("scheduler load", fields...)
	for _, po := range ld.Pools {
		lm.logger.Info("pool load", zap.String("pool", po.Name), zap.Int("required", po.Required), zap.Int("available", po.Available),
			zap.Int("idle", po.Idle), zap.Int("cordoned", po.Cordoned), zap.Int("urgent", po.Urgent), zap.Int("target", po.Target),
			zap.Duration("age", now.Sub(ld.PoolsAt)))
	}
	lm.loggedAt = now
	lm.plans, lm.planTime, lm.starts, lm.polls = 0, 0, 0, 0
}
