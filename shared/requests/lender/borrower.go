package lender

import "time"

// sendRequest tells an owner what this entry holds and wants of its targets.
func (br *broker) sendRequest(now time.Time, li *link) {
	re := Request{
		Sequence: br.number(now, li),
		Echo:     li.received,
		View:     br.view,
		Settled:  !now.Before(br.heldUntil),
	}
	for _, lo := range br.ordered {
		if lo.owner != li.peer {
			continue
		}
		lo.askedHolds = lo.holds(now)
		lo.askedWants = lo.wants(now, br.queuedAt(), br.config.DemandHold)
		re.Lines = append(re.Lines, Need{
			VM:       lo.VM,
			Holds:    lo.askedHolds,
			Keeps:    lo.keeps(now),
			Reserved: br.reservedOf(now, lo),
			Wants:    lo.askedWants,
		})
		if li.received > 0 {
			lo.confirm(now, li.peer, li.receivedAt.Add(br.expiry()))
		}
	}
	li.request = re.Sequence
	li.requestedAt = now
	li.answered = false
	li.unconfirmed = li.received == 0
	br.send(li, re)
}

// takeGrant takes what an owner lent.
func (br *broker) takeGrant(now time.Time, li *link, gr Grant) {
	if gr.Answers != li.request {
		return
	}
	li.answered = true
	for _, line := range gr.Lines {
		lo := br.lots[line.VM]
		if lo == nil || lo.owner != li.peer {
			continue
		}
		lo.allowed = line.Slots
		lo.until = li.requestedAt.Add(line.Lease)
	}
	if li.unconfirmed {
		br.sendRequest(now, li)
	}
}

// hasNews reports whether the peer should hear at once of what this entry
// wants or gives back.
func (br *broker) hasNews(now time.Time, li *link) bool {
	for _, lo := range br.ordered {
		if lo.owner != li.peer {
			continue
		}
		wants := lo.wants(now, br.queuedAt(), br.config.DemandHold)
		missing := wants > lo.askedWants && wants > lo.allowed
		returned := lo.holds(now) < lo.askedHolds
		dropped := wants < lo.askedWants-1
		if missing || returned || dropped {
			return true
		}
	}
	return false
}

// requestDue returns when the next Request to a member is due. Every member
// gets some, as they also tell that this entry is alive.
func (br *broker) requestDue(now time.Time, li *link) time.Time {
	if li.answered && br.hasNews(now, li) {
		return li.requestedAt.Add(br.config.MinInterval)
	}
	return li.requestedAt.Add(br.config.LeaseTime / renewals)
}
