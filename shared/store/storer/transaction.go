package storer

import "context"

// Precondition is a condition of a Transaction.
type Precondition struct {
	// Key is the key.
	Key string
	// Revision is the revision that the key must have, zero for an absent key.
	Revision Revision
}

// Write is one key that a Transaction sets.
type Write struct {
	// Key and Value are the key and its new value.
	Key   string
	Value []byte
	// Lease is the lease the key is deleted with, or zero.
	Lease LeaseID
}

// Transaction is a change of several keys that happens wholly or not at all.
type Transaction struct {
	// Preconditions are the conditions, all of which must hold.
	Preconditions []Precondition
	// Writes are the keys that are set.
	Writes []Write
	// Deletes are the keys that are deleted; absent ones are passed over.
	Deletes []string
}

// MaxTransactionEntries is how many conditions, writes and removals a
// transaction holds in all.
const MaxTransactionEntries = 32

// Size returns the number of conditions, writes and removals.
func (tx Transaction) Size() int {
	return len(tx.Preconditions) + len(tx.Writes) + len(tx.Deletes)
}

// TransactionStore is a Store that changes several keys at once.
type TransactionStore interface {
	Store
	// Commit carries out a transaction and returns its revision. If a condition
	// does not hold, it returns a PlatformConflict error with a *ConflictError.
	Commit(ctx context.Context, tx Transaction) (Revision, error)
}

// ObserveTransactions returns a TransactionStore that tells observe as Observe
// does.
func ObserveTransactions(store TransactionStore, observe func(call string, err error)) TransactionStore {
	return &observedTransactions{
		Store:   Observe(store, observe),
		store:   store,
		observe: observe,
	}
}

type observedTransactions struct {
	Store
	store   TransactionStore
	observe func(call string, err error)
}

// Commit implements TransactionStore.
func (ot *observedTransactions) Commit(ctx context.Context, tx Transaction) (Revision, error) {
	revision, err := ot.store.Commit(ctx, tx)
	ot.observe("commit", err)
	return revision, err
}
