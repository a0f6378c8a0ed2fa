package classifier

import (
	"time"

	"github.com/go-faster/errors"
)

// RetryError is an error after which the request may be repeated once a time has passed.
type RetryError struct {
	// Err is the error.
	Err error
	// After is the time.
	After time.Duration
}

// Error returns the text of the error.
func (re *RetryError) Error() string { return re.Err.Error() }

// Unwrap returns the error.
func (re *RetryError) Unwrap() error { return re.Err }

// RetryAfter returns the time after which the request may be repeated, and false if the
// chain of err doesn't say so.
func RetryAfter(err error) (time.Duration, bool) {
	var re *RetryError
	if errors.As(err, &re) {
		return re.After, true
	}
	return 0, false
}
