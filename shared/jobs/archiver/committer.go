package archiver

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Committer carries out a holder's transactions one after the other.
type Committer struct {
	store       storer.TransactionStore
	dutyKey     string
	epoch       storer.Revision
	sequenceKey string
	revision    storer.Revision
	patience    storer.Patience
}

// NewCommitter returns the Committer of a holder whose duty's key has the
// revision epoch.
func NewCommitter(store storer.TransactionStore, dutyKey string, epoch storer.Revision, region string) *Committer {
	return &Committer{
		store:       store,
		dutyKey:     dutyKey,
		epoch:       epoch,
		sequenceKey: SequenceKey(region),
	}
}

// Begin shuts out the transactions of earlier holders. It has to be called
// before anything that they have written is read.
func (cm *Committer) Begin(ctx context.Context) error {
	et, err := cm.store.Get(ctx, cm.sequenceKey)
	if err != nil && classifier.CodeOf(err) != classifier.PlatformNotFound {
		return err
	}
	cm.revision = et.Revision
	return cm.Commit(ctx, storer.Transaction{})
}

// Commit carries out a transaction. After a PlatformUnavailable,
// PlatformAmbiguous or PlatformRateLimited error it may be called again, with
// the same transaction or another. A StaleEpoch error means that the duty has
// another holder.
func (cm *Committer) Commit(ctx context.Context, tx storer.Transaction) error {
	tx.Expected = append(tx.Expected, storer.Expectation{
		Key:      cm.dutyKey,
		Revision: cm.epoch,
	}, storer.Expectation{
		Key:      cm.sequenceKey,
		Revision: cm.revision,
	})
	tx.Writes = append(tx.Writes, storer.Write{
		Key:   cm.sequenceKey,
		Value: []byte(strconv.FormatUint(uint64(cm.epoch), 10)),
	})
	revision, err := storer.CommitPatiently(ctx, cm.store, tx, &cm.patience)
	if err == nil {
		cm.revision = revision
		return nil
	}
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return cm.settle(conflict.Entries)
	}
	return err
}

// settle finds out why a transaction's conditions don't hold: one before it
// took effect unanswered, or the duty has another holder.
func (cm *Committer) settle(entries map[string]storer.Entry) error {
	duty := entries[cm.dutyKey]
	if duty.Revision != cm.epoch {
		return classifier.New(classifier.StaleEpoch, "duty %s is at revision %d, the holder has %d", cm.dutyKey, duty.Revision, cm.epoch)
	}
	cm.revision = entries[cm.sequenceKey].Revision
	return classifier.New(classifier.PlatformAmbiguous, "an earlier transaction took effect unanswered")
}
