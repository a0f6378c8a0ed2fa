package lender

import "time"

// sendRequest sends an owner the slots that this entry holds and wants of each
// of the owner's targets.
func (br *broker) sendRequest(now time.Time, li *link) {
	re := Request{
		Sequence:   br.nextSequence(now, li),
		Echo:       li.received,
		View:       br.view,
		ViewStable: !now.Before(br.viewStableAt),
	}
	for _, ts := range br.sortedSlots {
		if ts.owner != li.peer {
			continue
		}
		ts.requestedHeld = ts.heldSlots(now)
		ts.requestedWanted = ts.wanted(now, br.queuedPerTarget(), br.config.DemandWindow)
		re.Targets = append(re.Targets, SlotRequest{
			VM:       ts.VM,
			Held:     ts.requestedHeld,
			Leased:   ts.leasedSlots(now),
			Reserved: br.slotsOutOfView(now, ts),
			Wanted:   ts.requestedWanted,
		})
		if li.received > 0 {
			ts.recordConfirmation(now, li.peer, li.receivedAt.Add(br.expiry()))
		}
	}
	li.request = re.Sequence
	li.requestedAt = now
	li.answered = false
	li.unconfirmed = li.received == 0
	br.send(li, re)
}

// handleGrant applies the leases that an owner granted.
func (br *broker) handleGrant(now time.Time, li *link, gr Grant) {
	if gr.Answers != li.request {
		return
	}
	li.answered = true
	for _, sg := range gr.Targets {
		ts := br.slotsByVM[sg.VM]
		if ts == nil || ts.owner != li.peer {
			continue
		}
		ts.leased = sg.Slots
		ts.leasedUntil = li.requestedAt.Add(sg.Duration)
	}
	if li.unconfirmed {
		br.sendRequest(now, li)
	}
}

// hasDemandChange reports whether the owner should be sent a Request early
// because this entry wants more slots than it has, has released some, or wants
// at least two slots fewer than in the last Request.
func (br *broker) hasDemandChange(now time.Time, li *link) bool {
	for _, ts := range br.sortedSlots {
		if ts.owner != li.peer {
			continue
		}
		wanted := ts.wanted(now, br.queuedPerTarget(), br.config.DemandWindow)
		missing := wanted > ts.requestedWanted && wanted > ts.leased
		returned := ts.heldSlots(now) < ts.requestedHeld
		dropped := wanted < ts.requestedWanted-1
		if missing || returned || dropped {
			return true
		}
	}
	return false
}

// requestDue returns when the next Request to a member is due. Requests are
// also sent to members that own no targets, because they serve as heartbeats.
func (br *broker) requestDue(now time.Time, li *link) time.Time {
	if li.answered && br.hasDemandChange(now, li) {
		return li.requestedAt.Add(br.config.MinInterval)
	}
	return li.requestedAt.Add(br.config.LeaseTime / renewals)
}
