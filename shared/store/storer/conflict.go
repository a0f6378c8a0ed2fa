package storer

import (
	"fmt"

	"coltsfootwick.example/shared/process/classifier"
)

// ConflictError is the cause of a PlatformConflict error, and holds what the
// service reported about the conflicting keys.
type ConflictError struct {
	// Actual is the key's current revision, zero if the key is absent.
	Actual Revision
	// Entries holds the current entries of the keys in a transaction's
	// preconditions, by key. Absent keys are missing.
	Entries map[string]Entry
}

// NewConflict returns a PlatformConflict error for a key, with a ConflictError as
// its cause.
func NewConflict(key string, actual Revision) error {
	cause := &ConflictError{
		Actual: actual,
	}
	return classifier.Wrap(cause, classifier.PlatformConflict, "key %s", key)
}

// Error returns a message with the key's current revision.
func (ce *ConflictError) Error() string {
	return fmt.Sprintf("actual revision is %d", ce.Actual)
}

// NewTransactionConflict returns a PlatformConflict error for a transaction, with
// a ConflictError as its cause.
func NewTransactionConflict(entries map[string]Entry) error {
	cause := &ConflictError{
		Entries: entries,
	}
	return classifier.Wrap(cause, classifier.PlatformConflict, "transaction")
}
