package journaler

import (
	"context"
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// commit brings the shard to what the writer holds and was asked for, and
// answers the demands that are settled by that. After an error everything is
// still to be done.
func (wr *writer) commit(ctx context.Context) error {
	if err := wr.pace.Wait(ctx); err != nil {
		return err
	}
	fresh := !wr.current
	if fresh {
		if err := wr.read(ctx); err != nil {
			return err
		}
	}
	wr.drain()
	wr.demands = slices.DeleteFunc(wr.demands, func(dd *demand) bool { return dd.phase.Load() == abandoned })
	pn := reconcile(wr.page, wr.incarnation, wr.held, wr.demands, time.Now())
	if !fresh && wr.isGuess(pn) {
		wr.current = false
		return nil
	}
	if pn.changed || wr.unsettled {
		if err := wr.write(ctx, pn.page); err != nil {
			return err
		}
	}
	wr.settle(pn)
	return nil
}

// isGuess returns true if the plan rests on a claim by another that may have
// ended since the page was read.
func (wr *writer) isGuess(pn plan) bool {
	return slices.ContainsFunc(pn.found, func(dd *demand) bool {
		rd := pn.page[dd.id]
		return !rd.final() && rd.Owner != wr.incarnation
	})
}

// read gets the page from the platform's service.
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
		wr.unsettled = false
	}
	wr.page = pe
	wr.revision = ey.Revision
	wr.current = true
	return nil
}

// write replaces the page that was read. Until it succeeds the shard counts as
// not written, so that it is tried again also when nobody waits for it. When the
// answer is lost, or the page was changed meanwhile, the page has to be read again.
func (wr *writer) write(ctx context.Context, pe page) error {
	wr.touch()
	value, err := encode(pe)
	if err != nil {
		return err
	}
	revision, err := wr.store.Put(ctx, wr.key, value, wr.revision, 0)
	switch classifier.CodeOf(err) {
	case classifier.OK:
		wr.page = pe
		wr.revision = revision
		wr.unsettled = false
		wr.current = !wr.contended
		return nil
	case classifier.PlatformConflict:
		wr.unsettled = false
		wr.contended = true
	case classifier.PlatformAmbiguous:
		wr.unsettled = true
	}
	wr.current = false
	return err
}

// settle answers the demands of a plan that holds, and forgets what is final.
func (wr *writer) settle(pn plan) {
	wr.demands = nil
	wr.dirtySince = time.Time{}
	for id, rd := range wr.held {
		if rd.final() {
			delete(wr.held, id)
		}
	}
	for _, dd := range pn.granted {
		wr.grant(dd, pn.page[dd.id])
	}
	for _, dd := range pn.found {
		rd := pn.page[dd.id]
		dd.answer(Found{
			Record: rd,
			Own:    rd.Owner == wr.incarnation,
		}, nil)
	}
	for _, dd := range pn.refused {
		dd.answer(nil, classifier.New(classifier.JournalUnavailable, "shard %s is full", wr.key))
	}
}

// grant gives a claim to its asker. If it no longer waits, the claim is not
// held, and the next write removes it.
func (wr *writer) grant(dd *demand, rd Record) {
	wr.held[dd.id] = rd
	claim := &Claim{
		writer: wr,
		id:     dd.id,
		serial: dd.serial,
	}
	if !dd.answer(Granted{Claim: claim}, nil) {
		delete(wr.held, dd.id)
		wr.touch()
	}
}
