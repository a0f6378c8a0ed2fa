package archiver

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Committer commits a holder's transactions one after the other.
type Committer struct {
	store         storer.TransactionStore
	dutyKey       string
	epoch         storer.Revision
	sequenceKey   string
	revision      storer.Revision
	commitTimeout storer.AdaptiveTimeout
}

// NewCommitter returns the Committer of a holder. The epoch is the revision of
// the duty's key that the holder has written.
func NewCommitter(store storer.TransactionStore, dutyKey string, epoch storer.Revision, region string) *Committer {
	return &Committer{
		store:       store,
		dutyKey:     dutyKey,
		epoch:       epoch,
		sequenceKey: SequenceKey(region),
	}
}

// Begin fences off the transactions of earlier holders. It must be called
// before any of their records are read.
func (cm *Committer) Begin(ctx context.Context) error {
	et, err := cm.store.Get(ctx, cm.sequenceKey)
	if err != nil && classifier.CodeOf(err) != classifier.PlatformNotFound {
		return err
	}
	cm.revision = et.Revision
	return cm.Commit(ctx, storer.Transaction{})
}

// Commit commits a transaction. After a PlatformUnavailable, PlatformAmbiguous
// or PlatformRateLimited error it may be called again, with the same or another
// transaction. A StaleEpoch error means that the duty has another holder.
func (cm *Committer) Commit(ctx context.Context, tx storer.Transaction) error {
	tx.Preconditions = append(tx.Preconditions, storer.Precondition{
		Key:      cm.dutyKey,
		Revision: cm.epoch,
	}, storer.Precondition{
		Key:      cm.sequenceKey,
		Revision: cm.revision,
	})
	tx.Writes = append(tx.Writes, storer.Write{
		Key:   cm.sequenceKey,
		Value: []byte(strconv.FormatUint(uint64(cm.epoch), 10)),
	})
	revision, err := storer.CommitHedged(ctx, cm.store, tx, &cm.commitTimeout)
	if err == nil {
		cm.revision = revision
		return nil
	}
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return cm.resolveConflict(conflict.Entries)
	}
	return err
}

// resolveConflict returns the cause of a conflict: either an earlier
// transaction took effect although its answer was lost, or the duty has another
// holder.
func (cm *Committer) resolveConflict(entries map[string]storer.Entry) error {
	duty := entries[cm.dutyKey]
	if duty.Revision != cm.epoch {
		return classifier.New(classifier.StaleEpoch, "duty key %s is at revision %d, but this holder has revision %d", cm.dutyKey, duty.Revision, cm.epoch)
	}
	cm.revision = entries[cm.sequenceKey].Revision
	return classifier.New(classifier.PlatformAmbiguous, "an earlier transaction whose answer was lost has taken effect")
}
