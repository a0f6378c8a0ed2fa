package archiver

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Committers commit a holder's transactions in lanes: those of one lane one
// after the other, those of different lanes concurrently.
type Committers struct {
	store         storer.TransactionStore
	dutyKey       string
	epoch         storer.Revision
	prefix        string
	lanes         []*Committer
	commitTimeout storer.AdaptiveTimeout
}

// Committer commits the transactions of one lane. It must not be used
// concurrently.
type Committer struct {
	shared      *Committers
	sequenceKey string
	revision    storer.Revision
}

// NewCommitters returns the Committers of a holder with the given number of
// lanes. The epoch is the revision of the duty's key that the holder has written.
func NewCommitters(store storer.TransactionStore, dutyKey string, epoch storer.Revision, region string, lanes int) *Committers {
	cs := &Committers{
		store:   store,
		dutyKey: dutyKey,
		epoch:   epoch,
		prefix:  SequencePrefix(region),
	}
	for number := range lanes {
		cs.lanes = append(cs.lanes, &Committer{
			shared:      cs,
			sequenceKey: cs.prefix + strconv.Itoa(number),
		})
	}
	return cs
}

// Lane returns the Committer of a lane.
func (cs *Committers) Lane(number int) *Committer { return cs.lanes[number] }

// Begin fences off the transactions of earlier holders in all lanes. It must be
// called before any of their records are read.
func (cs *Committers) Begin(ctx context.Context) error {
	entries, _, err := cs.store.List(ctx, cs.prefix)
	if err != nil {
		return err
	}
	revisions := make(map[string]storer.Revision, len(entries))
	for _, et := range entries {
		revisions[et.Key] = et.Revision
	}
	tx := storer.Transaction{
		Preconditions: []storer.Precondition{cs.dutyPrecondition()},
	}
	for _, cm := range cs.lanes {
		cm.revision = revisions[cm.sequenceKey]
		tx.Preconditions = append(tx.Preconditions, cm.sequencePrecondition())
		tx.Writes = append(tx.Writes, cm.sequenceWrite())
	}
	revision, err := storer.CommitHedged(ctx, cs.store, tx, &cs.commitTimeout)
	if err != nil {
		var conflict *storer.ConflictError
		if errors.As(err, &conflict) {
			return cs.conflictCause(conflict.Entries)
		}
		return err
	}
	for _, cm := range cs.lanes {
		cm.revision = revision
	}
	return nil
}

// dutyPrecondition is the condition that the duty still has this holder.
func (cs *Committers) dutyPrecondition() storer.Precondition {
	return storer.Precondition{
		Key:      cs.dutyKey,
		Revision: cs.epoch,
	}
}

// conflictCause returns the cause of a conflict: either an earlier transaction
// took effect although its answer was lost, or the duty has another holder.
func (cs *Committers) conflictCause(entries map[string]storer.Entry) error {
	if duty := entries[cs.dutyKey]; duty.Revision != cs.epoch {
		return classifier.New(classifier.StaleEpoch, "duty key %s is at revision %d, but this holder has revision %d", cs.dutyKey, duty.Revision, cs.epoch)
	}
	return classifier.New(classifier.PlatformAmbiguous, "an earlier transaction whose answer was lost has taken effect")
}

// sequencePrecondition is the condition that no other transaction of the lane
// has taken effect.
func (cm *Committer) sequencePrecondition() storer.Precondition {
	return storer.Precondition{
		Key:      cm.sequenceKey,
		Revision: cm.revision,
	}
}

// sequenceWrite advances the lane's sequence key.
func (cm *Committer) sequenceWrite() storer.Write {
	return storer.Write{
		Key:   cm.sequenceKey,
		Value: []byte(strconv.FormatUint(uint64(cm.shared.epoch), 10)),
	}
}

// Commit commits a transaction. After a PlatformUnavailable, PlatformAmbiguous
// or PlatformRateLimited error it may be called again, with the same or another
// transaction. A StaleEpoch error means that the duty has another holder.
func (cm *Committer) Commit(ctx context.Context, tx storer.Transaction) error {
	tx.Preconditions = append(tx.Preconditions, cm.shared.dutyPrecondition(), cm.sequencePrecondition())
	tx.Writes = append(tx.Writes, cm.sequenceWrite())
	revision, err := storer.CommitHedged(ctx, cm.shared.store, tx, &cm.shared.commitTimeout)
	if err == nil {
		cm.revision = revision
		return nil
	}
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		cause := cm.shared.conflictCause(conflict.Entries)
		if classifier.CodeOf(cause) == classifier.PlatformAmbiguous {
			cm.revision = conflict.Entries[cm.sequenceKey].Revision
		}
		return cause
	}
	return err
}
