package storer

import "context"

// Precondition is a condition on a key's revision.
type Precondition struct {
	Key string
	// Revision is the revision that the key must have. Zero means that the key
	// must be absent.
	Revision Revision
}

// Write is the write of one key in a Transaction.
type Write struct {
	Key string
	// Value is the key's new value.
	Value []byte
	// Lease is the lease at whose end the key is deleted, or zero.
	Lease LeaseID
}

// Transaction is an atomic change of several keys.
type Transaction struct {
	// Preconditions must all hold for the transaction to take effect.
	Preconditions []Precondition
	// Writes are the writes of keys.
	Writes []Write
	// Deletes are the keys to delete. Absent keys are ignored.
	Deletes []string
}

// MaxTransactionEntries is the maximum number of preconditions, writes and
// deletes of a transaction in total.
const MaxTransactionEntries = 32

// Size returns the total number of preconditions, writes and deletes.
func (tx Transaction) Size() int {
	return len(tx.Preconditions) + len(tx.Writes) + len(tx.Deletes)
}

// TransactionStore is a Store with transactions.
type TransactionStore interface {
	Store
	// Commit applies a transaction and returns its revision. If a precondition
	// does not hold, it returns a PlatformConflict error whose cause is a
	// *ConflictError.
	Commit(ctx context.Context, tx Transaction) (Revision, error)
}
