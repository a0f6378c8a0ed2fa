package storer

import (
	"fmt"

	"coltsfootwick.example/shared/process/classifier"
)

// ConflictError is the cause of a PlatformConflict error where the key's
// revision is known.
type ConflictError struct {
	// Actual is the key's revision, zero if the key is absent.
	Actual Revision
	// Entries are the keys of a transaction's conditions as they are, by key,
	// without those that are absent.
	Entries map[string]Entry
}

// NewConflict returns the PlatformConflict error of a key with its cause.
func NewConflict(key string, actual Revision) error {
	cause := &ConflictError{
		Actual: actual,
	}
	return classifier.Wrap(cause, classifier.PlatformConflict, "key %s", key)
}

// Error says which revision the key is at.
func (ce *ConflictError) Error() string {
	return fmt.Sprintf("actual revision is %d", ce.Actual)
}

// NewTransactionConflict returns the PlatformConflict error of a transaction.
func NewTransactionConflict(entries map[string]Entry) error {
	cause := &ConflictError{
		Entries: entries,
	}
	return classifier.Wrap(cause, classifier.PlatformConflict, "transaction")
}
