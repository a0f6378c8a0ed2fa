package submitter

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
)

const (
	// intakeTime is how long jobs are refused after the holder has told that it has no memory
	// for them. Then one job is submitted, whose announcement tells how it is now.
	intakeTime = time.Second
	// storedChecks is how many refused jobs a second are looked up in the store: one that is
	// stored already was accepted.
	storedChecks = 32
	// maxUnreported is the memory of the jobs that are admitted between two answers to
	// announcements, which take some milliseconds. It is that of over a hundred jobs.
	maxUnreported = 2 << 20
)

// intake is which jobs the holder of the scheduler's duty has memory for, as it tells in
// answers to announcements. Without a holder all jobs are admitted.
type intake struct {
	checks *rate.Limiter

	mu    sync.Mutex
	level modeller.Intake
	// until is when the next job is submitted all the same.
	until time.Time
	// unreported is the memory of the jobs that were admitted since the last answer to an
	// announcement, or since forgottenAt if there is none.
	unreported  int64
	forgottenAt time.Time
	// refused counts the refusals that are not logged yet. The last ones were logged at
	// loggedAt.
	refused  int
	loggedAt time.Time
}

func newIntake() intake {
	return intake{
		checks: rate.NewLimiter(storedChecks, storedChecks),
	}
}

// report records an answer of the holder.
func (in *intake) report(now time.Time, level modeller.Intake) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.level = level
	in.until = now.Add(intakeTime)
	in.unreported = 0
}

// forget admits further jobs without an answer of the holder, once per intakeTime.
func (in *intake) forget(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if now.Sub(in.forgottenAt) >= intakeTime {
		in.unreported, in.forgottenAt = 0, now
	}
}

// admits reports whether a job may be submitted.
func (in *intake) admits(now time.Time, jb modeller.Job) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	size := jb.MemoryBytes()
	if in.level.Admits(jb) && in.unreported+size <= maxUnreported {
		in.unreported += size
		return true
	}
	if now.Before(in.until) {
		return false
	}
	in.until = now.Add(intakeTime)
	return true
}

// countRefusal counts a refusal. It returns the number of those to be logged now, or zero
// if some were logged lately.
func (in *intake) countRefusal(now time.Time) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.refused++
	if now.Sub(in.loggedAt) < intakeTime {
		return 0
	}
	count := in.refused
	in.refused, in.loggedAt = 0, now
	return count
}

// errNoMemory is the cause of the errors of checkIntake.
var errNoMemory = errors.New("the scheduler has no memory for further jobs")

// checkIntake returns an error for a job that the scheduler has no memory for. The error is
// JobRefused if it isn't stored already, which is only known for some of many.
func (sm *Submitter) checkIntake(ctx context.Context, jb modeller.Job) error {
	if sm.intake.admits(sm.now(), jb) {
		return nil
	}
	isKnown := sm.intake.checks.Allow()
	if isKnown {
		isStored, err := sm.isStored(ctx, jb.ID)
		if mayBeStored := isStored || err != nil; mayBeStored {
			return nil
		}
	}
	if count := sm.intake.countRefusal(sm.now()); count > 0 {
		sm.logger.Warn("jobs refused: the scheduler has no memory for them", zap.Int("count", count), zap.String("queue", jb.Queue), teamField(jb.Team))
	}
	if !isKnown {
		return classifier.Wrap(errNoMemory, classifier.JobOutcomeUnknown, "the store was not asked whether job %s is stored", jb.ID)
	}
	return classifier.Wrap(errNoMemory, classifier.JobRefused, "job %s", jb.ID)
}
