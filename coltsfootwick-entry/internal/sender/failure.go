package sender

import (
	"fmt"

	"coltsfootwick.example/shared/process/classifier"
)

// Failure describes how an attempt failed.
type Failure struct {
	// Code is TargetFailed, TargetTimeout, AnswerInvalid or AnswerTooLarge.
	Code classifier.Code
	// Unread is true if the target provably did not read the request: no byte of
	// it was written to the connection, or the target refused it as draining.
	Unread bool
	// Draining is true if the target refused the request because it is leaving.
	Draining bool
	// Cancelled is true if the entry cancelled the attempt.
	Cancelled bool
	// Cause is the underlying error; it may be nil.
	Cause error
}

// String returns the code and the cause on one line.
func (fe *Failure) String() string {
	if fe.Cause == nil {
		return fe.Code.String()
	}
	return fmt.Sprintf("%s: %v", fe.Code, fe.Cause)
}
