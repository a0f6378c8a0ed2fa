package gossiper

import (
	"slices"

	"coltsfootwick.example/shared/peers/messenger"
)

// gossipQueue are word about members that is still to be passed on.
type gossipQueue struct {
	queue []*queuedUpdate
}

type queuedUpdate struct {
	update messenger.Update
	// transmissions is how often it was passed on.
	transmissions int
}

// disseminate passes on word about a member in place of older word.
func (rs *gossipQueue) disseminate(update messenger.Update) {
	rs.queue = slices.DeleteFunc(rs.queue, func(rr *queuedUpdate) bool {
		return rr.update.Member.Name == update.Member.Name
	})
	rs.queue = append(rs.queue, &queuedUpdate{
		update: update,
	})
}

// nextUpdates returns the word to put into a message, that passed on least first, and
// forgets word passed on often enough.
func (rs *gossipQueue) nextUpdates(count, repeats int) []messenger.Update {
	slices.SortStableFunc(rs.queue, func(left, right *queuedUpdate) int { return left.transmissions - right.transmissions })
	var updates []messenger.Update
	for _, rr := range rs.queue[:min(count, len(rs.queue))] {
		updates = append(updates, rr.update)
		rr.transmissions++
	}
	rs.queue = slices.DeleteFunc(rs.queue, func(rr *queuedUpdate) bool { return rr.transmissions >= repeats })
	return updates
}

// updatesFor returns the word for a message to a member. If the member is not
// believed alive, the first is word about itself, so that it can refute.
func (mc *Machine) updatesFor(to string) []messenger.Update {
	count := mc.tuning.UpdatesPerMessage
	var updates []messenger.Update
	if rd, ok := mc.records[to]; ok && rd.update.State != messenger.Alive {
		updates = append(updates, rd.update)
		count--
	}
	return append(updates, mc.nextUpdates(count, mc.tuning.maxTransmissions(len(mc.records)))...)
}
