package submitter

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// maxPostponed is the maximum number of cancellations that a postponer is to carry out,
	// and maxPostponedOfOne that of those of one queue and team.
	maxPostponed      = 1024
	maxPostponedOfOne = maxPostponed / 4
	// postponedTime is how long a cancellation is tried. It is longer than most outages, and
	// about as long as the states of jobs are kept.
	postponedTime = 2 * time.Minute
	// postponedTryTime bounds one try.
	postponedTryTime = 3 * time.Second
	// refusedWorkers and limitedWorkers are the numbers of cancellations that are tried at
	// once.
	refusedWorkers = 2
	limitedWorkers = 1
	// postponedRate bounds the tries per second. After an outage all managers have
	// cancellations to carry out.
	postponedRate = 32
	// minPostponedPause and maxPostponedPause bound the pauses after failed tries.
	minPostponedPause = 100 * time.Millisecond
	maxPostponedPause = 2 * time.Second
)

// postponer carries out cancellations that could not be carried out while their callers
// waited. Those that wait are lost with the process.
type postponer struct {
	try     func(ctx context.Context, cn cancellation) error
	workers int
	logger  *zap.Logger
	limiter *rate.Limiter
	// queue has a place for each cancellation in waiting.
	queue chan postponedCancellation

	mu      sync.Mutex
	waiting map[postponedKey]struct{}
	// counts holds the numbers of waiting cancellations by callers.
	counts map[postponedCaller]int
}

// postponedCancellation is a cancellation that waits since a time.
type postponedCancellation struct {
	cancellation
	since time.Time
}

// postponedKey identifies a cancellation, which its caller may repeat meanwhile.
type postponedKey struct {
	caller postponedCaller
	id     modeller.JobID
}

// postponedCaller is what is known of the caller of a cancellation.
type postponedCaller struct{ queue, team string }

func (cn cancellation) key() postponedKey {
	return postponedKey{
		caller: postponedCaller{
			queue: cn.queue.Name,
			team:  cn.team,
		},
		id: cn.id,
	}
}

func newPostponer(try func(ctx context.Context, cn cancellation) error, workers int, logger *zap.Logger) *postponer {
	return &postponer{
		try:     try,
		workers: workers,
		logger:  logger,
		limiter: rate.NewLimiter(postponedRate, postponedRate),
		queue:   make(chan postponedCancellation, maxPostponed),
		waiting: map[postponedKey]struct{}{},
		counts:  map[postponedCaller]int{},
	}
}

// add has a cancellation carried out later, unless it waits already or too many do. It
// returns the number of those that wait.
func (pp *postponer) add(cn cancellation) int {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	key := cn.key()
	if _, ok := pp.waiting[key]; ok {
		return len(pp.waiting)
	}
	if len(pp.waiting) >= maxPostponed || pp.counts[key.caller] >= maxPostponedOfOne {
		pp.logger.Warn("cancellation is not carried out later: too many wait", zap.String("job", string(cn.id)), zap.String("queue", cn.queue.Name), teamField(cn.team),
			zap.Int("waiting", len(pp.waiting)), zap.Int("ofCaller", pp.counts[key.caller]))
		return len(pp.waiting)
	}
	pp.waiting[key] = struct{}{}
	pp.counts[key.caller]++
	pp.queue <- postponedCancellation{
		cancellation: cn,
		since:        time.Now(),
	}
	return len(pp.waiting)
}

// remove ends the wait of a cancellation.
func (pp *postponer) remove(cn cancellation) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	key := cn.key()
	delete(pp.waiting, key)
	if pp.counts[key.caller]--; pp.counts[key.caller] == 0 {
		delete(pp.counts, key.caller)
	}
}

// run carries out cancellations until the context is done.
func (pp *postponer) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range pp.workers {
		workers.Go(func() { pp.work(ctx) })
	}
	workers.Wait()
	if waiting := len(pp.queue); waiting > 0 {
		pp.logger.Warn("cancellations are lost with the process", zap.Int("count", waiting))
	}
}

func (pp *postponer) work(ctx context.Context) {
	backoff := storer.NewBackoff(minPostponedPause, maxPostponedPause)
	for ctx.Err() == nil {
		select {
		case pc := <-pp.queue:
			if pp.carryOut(ctx, pc) {
				backoff.Reset()
				continue
			}
			// The queue has a place for it, since it is still in waiting.
			pp.queue <- pc
			_ = backoff.Pause(ctx)
		case <-ctx.Done():
		}
	}
}

// carryOut tries a cancellation, and returns false if it is to be tried again.
func (pp *postponer) carryOut(ctx context.Context, pc postponedCancellation) bool {
	if pp.limiter.Wait(ctx) != nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, postponedTryTime)
	defer cancel()
	err := pp.try(limited, pc.cancellation)
	age := time.Since(pc.since)
	fields := []zap.Field{zap.String("job", string(pc.id)), zap.String("queue", pc.queue.Name), teamField(pc.team), zap.Duration("age", age), zap.Error(err)}
	switch {
	case errors.Is(err, errTooManyTombstones):
		// It waits for the limit now.
	case isSettled(err):
		pp.logger.Info("postponed cancellation carried out", fields...)
	case age > postponedTime:
		pp.logger.Error("postponed cancellation given up", fields...)
	default:
		return false
	}
	pp.remove(pc.cancellation)
	return true
}
