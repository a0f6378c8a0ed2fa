package storer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// copyAnswer is how the service treats one copy of a transaction.
type copyAnswer struct {
	// after is when the answer comes; zero stands for never.
	after time.Duration
	err   error
}

// copies is a service that treats the copies of a transaction in turn.
type copies struct {
	storer.TransactionStore
	answers []copyAnswer
	begin   time.Time
	mu      sync.Mutex
	sent    int
}

// next returns how the next copy is treated.
func (cs *copies) next() copyAnswer {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.sent++
	if cs.sent > len(cs.answers) {
		return copyAnswer{}
	}
	return cs.answers[cs.sent-1]
}

// count returns how many copies were sent.
func (cs *copies) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.sent
}

func (cs *copies) Commit(ctx context.Context, _ storer.Transaction) (storer.Revision, error) {
	an := cs.next()
	if an.after > 0 {
		select {
		case <-time.After(an.after):
			return 1, an.err
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return 0, classifier.New(classifier.PlatformAmbiguous, "no answer")
}

func TestCopiesOfATransaction(t *testing.T) {
	const answerTime = 4 * time.Millisecond
	refusal := classifier.New(classifier.PlatformUnavailable, "busy")
	conflict := classifier.New(classifier.PlatformConflict, "there already")
	for _, row := range []struct {
		name    string
		answers []copyAnswer
		code    classifier.Code
		copies  int
		elapsed time.Duration
	}{
		{"answered", []copyAnswer{{after: answerTime}}, classifier.OK, 1, answerTime},
		{"refused", []copyAnswer{{after: answerTime, err: refusal}}, classifier.PlatformUnavailable, 1, answerTime},
		{"one answer lost", []copyAnswer{{}, {after: answerTime, err: conflict}}, classifier.PlatformConflict, 2, 104 * time.Millisecond},
		{"two lost", []copyAnswer{{}, {}, {after: answerTime}}, classifier.OK, 3, 304 * time.Millisecond},
		{"slow", []copyAnswer{{after: 240 * time.Millisecond}, {after: 240 * time.Millisecond, err: conflict}}, classifier.OK, 2, 240 * time.Millisecond},
		{"a refusal beside a lost answer says nothing", []copyAnswer{{}, {after: answerTime, err: refusal}}, classifier.PlatformAmbiguous, 3, 600 * time.Millisecond},
		{"all lost", nil, classifier.PlatformAmbiguous, 3, 600 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cs := &copies{
					answers: row.answers,
					begin:   time.Now(),
				}
				var pa storer.AdaptiveTimeout
				_, err := storer.CommitHedged(t.Context(), cs, storer.Transaction{}, &pa)
				must.Eq(t, row.code, classifier.CodeOf(err))
				must.Eq(t, row.elapsed, time.Since(cs.begin))
				must.Eq(t, row.copies, cs.count())
			})
		})
	}
}

func TestSlowServiceGetsFewCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pa storer.AdaptiveTimeout
		for round := range 3 {
			cs := &copies{
				answers: []copyAnswer{{after: 240 * time.Millisecond}},
				begin:   time.Now(),
			}
			_, err := storer.CommitHedged(t.Context(), cs, storer.Transaction{}, &pa)
			must.NoError(t, err)
			if round > 0 {
				must.Eq(t, 1, cs.count(), must.Sprint("the last answer took as long"))
			}
		}
	})
}
