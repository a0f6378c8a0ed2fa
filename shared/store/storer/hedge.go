package storer

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// hedge is one transaction that is sent in several copies.
type hedge struct {
	store    TransactionStore
	tx       Transaction
	patience *AdaptiveTimeout
	deadline time.Time
	answers  chan outcome
	// pending counts the copies without an answer so far.
	pending int
}

// outcome is what came of one copy.
type outcome struct {
	revision Revision
	err      error
	latency  time.Duration
}

// maxCopies bounds the copies of a transaction; the pause before each is twice
// the one before.
const maxCopies = 4

// CommitHedged carries out a transaction whose conditions fail once it has
// taken effect. It waits for the answer as long as the patience says, and
// meanwhile sends further copies, since an answer may have been lost. A
// PlatformAmbiguous error means that any copy may still take effect, a
// ConflictError may be due to an earlier copy.
func CommitHedged(ctx context.Context, store TransactionStore, tx Transaction, pa *AdaptiveTimeout) (Revision, error) {
	he := &hedge{
		store:    store,
		tx:       tx,
		patience: pa,
		deadline: time.Now().Add(pa.Timeout()),
		answers:  make(chan outcome, maxCopies),
	}
	return he.run(ctx)
}

func (he *hedge) run(ctx context.Context) (Revision, error) {
	he.send(ctx)
	pause := he.patience.HedgeDelay()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	var refused, doubtful error
	for copies := 1; he.pending > 0; {
		select {
		case <-timer.C:
			if copies < maxCopies {
				copies++
				pause *= 2
				timer.Reset(pause)
				he.send(ctx)
			}
		case oc := <-he.answers:
			he.pending--
			switch {
			case oc.err == nil:
				he.patience.RecordAnswer(oc.latency)
				return oc.revision, nil
			case classifier.CodeOf(oc.err) == classifier.PlatformConflict:
				return 0, oc.err
			case classifier.CodeOf(oc.err) == classifier.PlatformAmbiguous:
				doubtful = oc.err
			default:
				refused = oc.err
			}
		}
	}
	if doubtful == nil {
		return 0, refused
	}
	if ctx.Err() == nil {
		he.patience.RecordTimeout()
	}
	return 0, doubtful
}

// send sends a copy. It goes on after another copy's answer, so that the
// connection can be used again.
func (he *hedge) send(ctx context.Context) {
	he.pending++
	go func() {
		limited, cancel := context.WithDeadline(ctx, he.deadline)
		defer cancel()
		began := time.Now()
		revision, err := he.store.Commit(limited, he.tx)
		he.answers <- outcome{
			revision: revision,
			err:      err,
			latency:  time.Since(began),
		}
	}()
}
