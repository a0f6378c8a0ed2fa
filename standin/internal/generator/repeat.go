package generator

import (
	"net/http"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/ledger"
)

// maxRepeatDelay bounds how long a caller waits before a repeat, whatever
// Retry-After asks for.
const maxRepeatDelay = 2 * time.Second

// repeat tells whether the caller sends the request again, and after what delay.
func (cr *Caller) repeat(rt ledger.Request, at ledger.Attempt, number int) (time.Duration, bool) {
	if number >= cr.config.MaxAttempts {
		return 0, false
	}
	delay := min(cr.config.RepeatDelay<<(number-1), maxRepeatDelay)
	switch result := at.Result.(type) {
	case ledger.Loss:
		if result.Reason == ledger.Unsent {
			return 0, true
		}
		return delay, isRepeatedAfter(rt, result)
	case ledger.Refusal:
		return max(delay, min(result.RetryAfter, maxRepeatDelay)), isRepeatedAfterRefusal(rt, result)
	case ledger.Answer:
		return delay, rt.Key != "" && result.Status >= http.StatusInternalServerError
	case ledger.Unclear:
		return delay, rt.Key != "" && result.Status >= http.StatusInternalServerError
	default:
		return 0, false
	}
}

// isRepeatedAfter is true for a lost attempt that is safe to repeat: the request
// has a key, or is repeatable and its connection broke.
func isRepeatedAfter(rt ledger.Request, ls ledger.Loss) bool {
	if rt.Key != "" {
		return true
	}
	return rt.Repeatable && ls.Reason == ledger.Broken
}

// isRepeatedAfterRefusal is true for a refusal by an entry that is starting or
// stopping, which a balancer answers with another entry, and for a request with
// a key whose end is open.
func isRepeatedAfterRefusal(rt ledger.Request, rl ledger.Refusal) bool {
	switch {
	case rl.Code == classifier.EntryStopping, rl.Code == classifier.EntryNotReady:
		return true
	case rt.Key == "" || rl.Outcome == classifier.Ran:
		return false
	default:
		return rl.Outcome == classifier.Unknown || rl.Status >= http.StatusInternalServerError
	}
}
