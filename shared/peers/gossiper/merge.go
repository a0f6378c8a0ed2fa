package gossiper

import (
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// merge takes in word about a member and passes it on if it is new.
func (mc *Machine) merge(now time.Time, update messenger.Update) {
	if mc.learn(now, update) {
		mc.spread(update)
	}
}

// learn takes in word about a member and tells whether it is new.
func (mc *Machine) learn(now time.Time, update messenger.Update) bool {
	if update.Member.Name == mc.self.Name {
		mc.refute(update)
		return false
	}
	rd, ok := mc.records[update.Member.Name]
	if !ok {
		rd = &record{}
		mc.records[update.Member.Name] = rd
		mc.insert(update.Member.Name)
	} else if !isNewer(update, rd.update) {
		rd.update.Member.Revision = max(rd.update.Member.Revision, update.Member.Revision)
		if rd.update.State == messenger.Left && update.State == messenger.Suspect {
			// Somebody has missed the farewell.
			mc.spread(rd.update)
		}
		return false
	}
	mc.adopt(now, rd, update)
	return true
}

// isNewer tells whether word replaces what is believed.
func isNewer(update, held messenger.Update) bool {
	if update.Member.Incarnation != held.Member.Incarnation {
		return update.Member.Incarnation > held.Member.Incarnation
	}
	return update.State > held.State
}

func (mc *Machine) adopt(now time.Time, rd *record, update messenger.Update) {
	before := rd.update.State
	update.Member.Revision = max(rd.update.Member.Revision, update.Member.Revision)
	rd.update = update
	if before == update.State {
		return
	}
	rd.since = now
	rd.isOwn = false
	mc.changes = append(mc.changes, Change{
		Update: update,
		Before: before,
	})
}

// refute raises the incarnation above that of word that isn't true.
func (mc *Machine) refute(update messenger.Update) {
	isTrue := update.State == messenger.Alive && update.Member.Incarnation == mc.self.Incarnation
	if mc.isLeaving || isTrue || update.Member.Incarnation < mc.self.Incarnation {
		return
	}
	mc.self.Incarnation = update.Member.Incarnation + 1
	mc.spread(messenger.Update{
		Member: mc.self,
		State:  messenger.Alive,
	})
}

// insert puts a member at a random place of the order of pings.
func (mc *Machine) insert(name string) {
	place := mc.random.IntN(len(mc.order) + 1)
	mc.order = append(mc.order, name)
	last := len(mc.order) - 1
	mc.order[place], mc.order[last] = mc.order[last], mc.order[place]
}

// forget removes members that have been gone for long.
func (mc *Machine) forget(now time.Time) {
	kept := mc.order[:0]
	for _, name := range mc.order {
		rd := mc.records[name]
		if !rd.isLive() && now.Sub(rd.since) > mc.tuning.Retention {
			delete(mc.records, name)
			continue
		}
		kept = append(kept, name)
	}
	mc.order = kept
}
