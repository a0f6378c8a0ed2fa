package storer

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// hedge is a hedged transaction in progress.
type hedge struct {
	store    TransactionStore
	tx       Transaction
	timeout  *AdaptiveTimeout
	deadline time.Time
	results  chan copyResult
	// inFlight is the number of copies that have not completed.
	inFlight int
}

// copyResult is the result of one copy.
type copyResult struct {
	revision Revision
	err      error
	latency  time.Duration
}

// maxCopies bounds the copies of a transaction. The delay before each further
// copy is twice the previous delay.
const maxCopies = 4

// CommitHedged commits a transaction with hedged requests: while no answer has
// arrived, it sends further copies until the adaptive timeout expires, because
// an answer may have been lost. The transaction has to be idempotent: its
// preconditions must fail once it has taken effect. After a PlatformAmbiguous
// error any copy may still take effect. A ConflictError may be caused by an
// earlier copy of the same transaction.
func CommitHedged(ctx context.Context, store TransactionStore, tx Transaction, at *AdaptiveTimeout) (Revision, error) {
	he := &hedge{
		store:    store,
		tx:       tx,
		timeout:  at,
		deadline: time.Now().Add(at.Timeout()),
		results:  make(chan copyResult, maxCopies),
	}
	return he.run(ctx)
}

func (he *hedge) run(ctx context.Context) (Revision, error) {
	he.send(ctx)
	delay := he.timeout.HedgeDelay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var rejected, ambiguous error
	for copies := 1; he.inFlight > 0; {
		select {
		case <-timer.C:
			if copies < maxCopies {
				copies++
				delay *= 2
				timer.Reset(delay)
				he.send(ctx)
			}
		case cr := <-he.results:
			he.inFlight--
			switch {
			case cr.err == nil:
				he.timeout.RecordAnswer(cr.latency)
				return cr.revision, nil
			case classifier.CodeOf(cr.err) == classifier.PlatformConflict:
				return 0, cr.err
			case classifier.CodeOf(cr.err) == classifier.PlatformAmbiguous:
				ambiguous = cr.err
			default:
				rejected = cr.err
			}
		}
	}
	if ambiguous == nil {
		return 0, rejected
	}
	if ctx.Err() == nil {
		he.timeout.RecordTimeout()
	}
	return 0, ambiguous
}

// send sends a copy. The copy is not cancelled when another one completes, so
// that its connection can be reused.
func (he *hedge) send(ctx context.Context) {
	he.inFlight++
	go func() {
		limited, cancel := context.WithDeadline(ctx, he.deadline)
		defer cancel()
		began := time.Now()
		revision, err := he.store.Commit(limited, he.tx)
		he.results <- copyResult{
			revision: revision,
			err:      err,
			latency:  time.Since(began),
		}
	}()
}
