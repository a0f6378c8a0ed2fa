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

// scriptedAnswer is the answer of the service to one copy of a transaction.
type scriptedAnswer struct {
	// after is the latency of the answer. Zero means that the answer is lost.
	after time.Duration
	err   error
}

// scriptedStore answers the copies of a transaction with scripted answers, in the
// order in which the copies arrive.
type scriptedStore struct {
	storer.TransactionStore
	answers []scriptedAnswer
	start   time.Time
	mu      sync.Mutex
	sent    int
}

// next returns the answer to the next copy.
func (ss *scriptedStore) next() scriptedAnswer {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.sent++
	if ss.sent > len(ss.answers) {
		return scriptedAnswer{}
	}
	return ss.answers[ss.sent-1]
}

// count returns the number of copies sent.
func (ss *scriptedStore) count() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.sent
}

func (ss *scriptedStore) Commit(ctx context.Context, _ storer.Transaction) (storer.Revision, error) {
	an := ss.next()
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

func TestCommitHedgedSendsCopies(t *testing.T) {
	const answerLatency = 4 * time.Millisecond
	refusal := classifier.New(classifier.PlatformUnavailable, "busy")
	conflict := classifier.New(classifier.PlatformConflict, "key already exists")
	for _, row := range []struct {
		name    string
		answers []scriptedAnswer
		code    classifier.Code
		copies  int
		elapsed time.Duration
	}{
		{"answered", []scriptedAnswer{{after: answerLatency}}, classifier.OK, 1, answerLatency},
		{"refused", []scriptedAnswer{{after: answerLatency, err: refusal}}, classifier.PlatformUnavailable, 1, answerLatency},
		{"first answer lost", []scriptedAnswer{{}, {after: answerLatency, err: conflict}}, classifier.PlatformConflict, 2, 104 * time.Millisecond},
		{"first two answers lost", []scriptedAnswer{{}, {}, {after: answerLatency}}, classifier.OK, 3, 304 * time.Millisecond},
		{"slow", []scriptedAnswer{{after: 240 * time.Millisecond}, {after: 240 * time.Millisecond, err: conflict}}, classifier.OK, 2, 240 * time.Millisecond},
		{"refusal of second copy leaves first ambiguous", []scriptedAnswer{{}, {after: answerLatency, err: refusal}}, classifier.PlatformAmbiguous, 3, 600 * time.Millisecond},
		{"all answers lost", nil, classifier.PlatformAmbiguous, 3, 600 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ss := &scriptedStore{
					answers: row.answers,
					start:   time.Now(),
				}
				var at storer.AdaptiveTimeout
				_, err := storer.CommitHedged(t.Context(), ss, storer.Transaction{}, &at)
				must.Eq(t, row.code, classifier.CodeOf(err))
				must.Eq(t, row.elapsed, time.Since(ss.start))
				must.Eq(t, row.copies, ss.count())
			})
		})
	}
}

func TestCommitHedgedSendsFewCopiesToSlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var at storer.AdaptiveTimeout
		for round := range 3 {
			ss := &scriptedStore{
				answers: []scriptedAnswer{{after: 240 * time.Millisecond}},
				start:   time.Now(),
			}
			_, err := storer.CommitHedged(t.Context(), ss, storer.Transaction{}, &at)
			must.NoError(t, err)
			if round > 0 {
				must.Eq(t, 1, ss.count(), must.Sprint("the hedge delay must exceed the latency of the last answer"))
			}
		}
	})
}
