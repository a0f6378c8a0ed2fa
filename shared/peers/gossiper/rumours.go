package gossiper

import (
	"slices"

	"coltsfootwick.example/shared/peers/messenger"
)

// gossipQueue holds the member updates that are still to be disseminated.
type gossipQueue struct {
	queue []*queuedUpdate
}

type queuedUpdate struct {
	update messenger.Update
	// transmissions is the number of messages that have carried the update.
	transmissions int
}

// disseminate queues an update in place of an older one about the same member.
func (gq *gossipQueue) disseminate(update messenger.Update) {
	gq.queue = slices.DeleteFunc(gq.queue, func(qu *queuedUpdate) bool {
		return qu.update.Member.Name == update.Member.Name
	})
	gq.queue = append(gq.queue, &queuedUpdate{
		update: update,
	})
}

// nextUpdates returns the updates for one message, the least transmitted first,
// and removes those that have been transmitted limit times.
func (gq *gossipQueue) nextUpdates(count, limit int) []messenger.Update {
	slices.SortStableFunc(gq.queue, func(left, right *queuedUpdate) int { return left.transmissions - right.transmissions })
	var updates []messenger.Update
	for _, qu := range gq.queue[:min(count, len(gq.queue))] {
		updates = append(updates, qu.update)
		qu.transmissions++
	}
	gq.queue = slices.DeleteFunc(gq.queue, func(qu *queuedUpdate) bool { return qu.transmissions >= limit })
	return updates
}

// updatesFor returns the updates for a message to a member. If the member is not
// alive in the local view, the first update is about the member itself, so that
// it can refute.
func (mc *Machine) updatesFor(to string) []messenger.Update {
	count := mc.tuning.UpdatesPerMessage
	var updates []messenger.Update
	if rd, ok := mc.records[to]; ok && rd.update.State != messenger.Alive {
		updates = append(updates, rd.update)
		count--
	}
	return append(updates, mc.nextUpdates(count, mc.tuning.maxTransmissions(len(mc.records)))...)
}
