package sender

import (
	"fmt"

	"coltsfootwick.example/shared/process/classifier"
)

// Failure tells how an attempt failed.
type Failure struct {
	// Code is TargetFailed, TargetTimeout, AnswerInvalid or AnswerTooLarge.
	Code classifier.Code
	// Unread is true if the target provably read nothing of the request: no
	// byte of it was handed to the connection, or the target said so.
	Unread bool
	// Draining is true if the target refused the request because it is leaving.
	Draining bool
	// Cancelled is true if the entry gave the attempt up.
	Cancelled bool
	// Cause is the underlying error; it may be nil.
	Cause error
}

// String returns the code and the cause in one line.
func (fe *Failure) String() string {
	if fe.Cause == nil {
		return fe.Code.String()
	}
	return fmt.Sprintf("%s: %v", fe.Code, fe.Cause)
}
