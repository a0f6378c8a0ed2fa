package storer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// appendWord returns a change that appends a word to a list of words.
func appendWord(word string) storer.Change {
	return storer.Change{
		Apply: func(et storer.Entry) ([]byte, error) {
			return fmt.Appendf(et.Value, "%s ", word), nil
		},
		IsApplied: func(et storer.Entry) bool {
			return strings.Contains(string(et.Value), word+" ")
		},
	}
}

func ExampleUpdate() {
	ctx := context.Background()
	store := keeper.New().Zone("a")
	_, _ = storer.Update(ctx, store, "words", appendWord("one"))
	et, err := storer.Update(ctx, store, "words", appendWord("two"))
	fmt.Println(string(et.Value), err)
	// Output: one two  <nil>
}

func TestUpdateTakesEffectOnce(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			kr := keeper.New()
			must.NoError(t, kr.SetFaults(randomFaults(random)...))
			const writers = 6
			failures := make([]error, writers)
			var group sync.WaitGroup
			for number := range writers {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					_, failures[number] = storer.Update(ctx, kr.Zone("a"), "words", appendWord(fmt.Sprintf("w%d", number)))
				})
			}
			time.Sleep(20 * time.Second)
			if random.IntN(2) == 0 {
				must.NoError(t, kr.SetFaults())
			}
			group.Wait()
			must.NoError(t, kr.SetFaults())
			time.Sleep(time.Minute)
			et, _ := kr.Zone("a").Get(t.Context(), "words")
			for number, err := range failures {
				checkOccurrences(t, seed, string(et.Value), fmt.Sprintf("w%d ", number), err)
			}
		})
	}
}

// checkOccurrences checks that the number of occurrences of a word in the value is
// consistent with the error of its update: one without an error, at most one if
// the update is ambiguous, and none otherwise.
func checkOccurrences(t *testing.T, seed uint64, value, word string, err error) {
	t.Helper()
	number := strings.Count(value, word)
	switch classifier.CodeOf(err) {
	case classifier.OK:
		must.Eq(t, 1, number, must.Sprintf("seed %d: %s", seed, word))
	case classifier.PlatformAmbiguous:
		must.LessEq(t, 1, number, must.Sprintf("seed %d: %s", seed, word))
	default:
		must.Eq(t, 0, number, must.Sprintf("seed %d: %s: %v", seed, word, err))
	}
}

func TestUpdateReturnsTheErrorOfApply(t *testing.T) {
	store := keeper.New().Zone("a")
	refusal := errors.New("refused")
	change := storer.Change{
		Apply: func(storer.Entry) ([]byte, error) { return nil, refusal },
	}
	_, err := storer.Update(t.Context(), store, "k", change)
	must.ErrorIs(t, err, refusal)
	change.Apply = func(storer.Entry) ([]byte, error) { return nil, storer.ErrUnchanged }
	et, err := storer.Update(t.Context(), store, "k", change)
	must.NoError(t, err)
	must.Eq(t, storer.Revision(0), et.Revision)
}

func TestUpdateDoesNotRetryTooLargeValue(t *testing.T) {
	kr := keeper.New()
	change := storer.Change{
		Apply: func(storer.Entry) ([]byte, error) { return make([]byte, storer.MaxValueBytes+1), nil },
	}
	_, err := storer.Update(t.Context(), kr.Zone("a"), "k", change)
	must.Eq(t, classifier.PlatformTooLarge, classifier.CodeOf(err))
	must.Eq(t, 2, kr.Counts().Total())
}
