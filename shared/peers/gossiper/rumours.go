package gossiper

import (
	"slices"

	"coltsfootwick.example/shared/peers/messenger"
)

// rumours are word about members that is still to be passed on.
type rumours struct {
	queue []*rumour
}

type rumour struct {
	update messenger.Update
	// sent is how often it was passed on.
	sent int
}

// spread passes on word about a member in place of older word.
func (rs *rumours) spread(update messenger.Update) {
	rs.queue = slices.DeleteFunc(rs.queue, func(rr *rumour) bool {
		return rr.update.Member.Name == update.Member.Name
	})
	rs.queue = append(rs.queue, &rumour{
		update: update,
	})
}

// take returns the word to put into a message, that passed on least first, and
// forgets word passed on often enough.
func (rs *rumours) take(count, repeats int) []messenger.Update {
	slices.SortStableFunc(rs.queue, func(left, right *rumour) int { return left.sent - right.sent })
	var updates []messenger.Update
	for _, rr := range rs.queue[:min(count, len(rs.queue))] {
		updates = append(updates, rr.update)
		rr.sent++
	}
	rs.queue = slices.DeleteFunc(rs.queue, func(rr *rumour) bool { return rr.sent >= repeats })
	return updates
}

// updates returns the word for a message to a member. If the member is not
// believed alive, the first is word about itself, so that it can refute.
func (mc *Machine) updates(to string) []messenger.Update {
	count := mc.tuning.UpdatesPerMessage
	var updates []messenger.Update
	if rd, ok := mc.records[to]; ok && rd.update.State != messenger.Alive {
		updates = append(updates, rd.update)
		count--
	}
	return append(updates, mc.take(count, mc.tuning.repeats(len(mc.records)))...)
}
