package journaler

import (
	"context"
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// commit writes the changes of held records and the pending claims to the shard
// and resolves the claims that this decides. After an error it must be called
// again; all changes stay pending.
func (wr *writer) commit(ctx context.Context) error {
	if err := wr.limiter.Wait(ctx); err != nil {
		return err
	}
	pageRead := !wr.pageCurrent
	if pageRead {
		if err := wr.read(ctx); err != nil {
			return err
		}
	}
	wr.drainInbox()
	wr.pendingClaims = slices.DeleteFunc(wr.pendingClaims, func(cr *claimRequest) bool { return cr.phase.Load() == phaseAbandoned })
	pn := reconcile(wr.page, wr.incarnation, wr.held, wr.pendingClaims, time.Now())
	if !pageRead && wr.isPlanStale(pn) {
		wr.pageCurrent = false
		return nil
	}
	if pn.changed || wr.writeAmbiguous {
		if err := wr.write(ctx, pn.page); err != nil {
			return err
		}
	}
	wr.applyPlan(pn)
	return nil
}

// isPlanStale reports whether the plan is based on another entry's unfinished
// claim, which may have changed since the page was read.
func (wr *writer) isPlanStale(pn plan) bool {
	return slices.ContainsFunc(pn.found, func(cr *claimRequest) bool {
		rd := pn.page[cr.id]
		return !rd.isFinal() && rd.Owner != wr.incarnation
	})
}

// read reads the page from the platform's key-value service.
func (wr *writer) read(ctx context.Context) error {
	ey, err := wr.store.Get(ctx, wr.key)
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		ey = storer.Entry{}
	} else if err != nil {
		return err
	}
	pe := page{}
	if ey.Revision > 0 {
		if pe, err = decode(ey.Value); err != nil {
			return err
		}
	}
	if ey.Revision == wr.revision {
		wr.contended = false
	} else {
		wr.writeAmbiguous = false
	}
	wr.page = pe
	wr.revision = ey.Revision
	wr.pageCurrent = true
	return nil
}

// write replaces the page by compare-and-swap. The shard stays dirty until a
// write succeeds, so that the write is retried even if no claim is pending. If
// the result of the write is ambiguous or the page has been changed by another
// entry, the page must be read again.
func (wr *writer) write(ctx context.Context, pe page) error {
	wr.markDirty()
	value, err := encode(pe)
	if err != nil {
		return err
	}
	revision, err := wr.store.Put(ctx, wr.key, value, wr.revision, 0)
	switch classifier.CodeOf(err) {
	case classifier.OK:
		wr.page = pe
		wr.revision = revision
		wr.writeAmbiguous = false
		wr.pageCurrent = !wr.contended
		return nil
	case classifier.PlatformConflict:
		wr.writeAmbiguous = false
		wr.contended = true
	case classifier.PlatformAmbiguous:
		wr.writeAmbiguous = true
	}
	wr.pageCurrent = false
	return err
}

// applyPlan resolves the claims of a written plan and drops final records from
// held.
func (wr *writer) applyPlan(pn plan) {
	wr.pendingClaims = nil
	wr.dirtySince = time.Time{}
	for id, rd := range wr.held {
		if rd.isFinal() {
			delete(wr.held, id)
		}
	}
	for _, cr := range pn.granted {
		wr.grant(cr, pn.page[cr.id])
	}
	for _, cr := range pn.found {
		rd := pn.page[cr.id]
		cr.resolve(Found{
			Record: rd,
			Own:    rd.Owner == wr.incarnation,
		}, nil)
	}
	for _, cr := range pn.rejected {
		cr.resolve(nil, classifier.New(classifier.JournalUnavailable, "journal shard %s is full: no room for another claim", wr.key))
	}
}

// grant resolves a claim request with a claim. If the request was abandoned,
// the claim is not held, so the next write removes it.
func (wr *writer) grant(cr *claimRequest, rd Record) {
	wr.held[cr.id] = rd
	claim := &Claim{
		writer: wr,
		id:     cr.id,
		serial: cr.serial,
	}
	if !cr.resolve(Granted{Claim: claim}, nil) {
		delete(wr.held, cr.id)
		wr.markDirty()
	}
}
