package gossiper

import (
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// merge takes in word about a member and passes it on if it is new.
func (mc *Machine) merge(now time.Time, update messenger.Update) {
	if mc.apply(now, update) {
		mc.disseminate(update)
	}
}

// apply takes in word about a member and tells whether it is new.
func (mc *Machine) apply(now time.Time, update messenger.Update) bool {
	if update.Member.Name == mc.self.Name {
		mc.refute(update)
		return false
	}
	rd, ok := mc.records[update.Member.Name]
	if !ok {
		rd = &memberRecord{}
		mc.records[update.Member.Name] = rd
		mc.insertRandomly(update.Member.Name)
	} else if !supersedes(update, rd.update) {
		rd.update.Member.Revision = max(rd.update.Member.Revision, update.Member.Revision)
		if rd.update.State == messenger.Left && update.State == messenger.Suspect {
			// Somebody has missed the farewell.
			mc.disseminate(rd.update)
		}
		return false
	}
	mc.setUpdate(now, rd, update)
	return true
}

// supersedes tells whether word replaces what is believed.
func supersedes(update, held messenger.Update) bool {
	if update.Member.Incarnation != held.Member.Incarnation {
		return update.Member.Incarnation > held.Member.Incarnation
	}
	return update.State > held.State
}

func (mc *Machine) setUpdate(now time.Time, rd *memberRecord, update messenger.Update) {
	before := rd.update.State
	update.Member.Revision = max(rd.update.Member.Revision, update.Member.Revision)
	rd.update = update
	if before == update.State {
		return
	}
	rd.stateSince = now
	rd.isLocalSuspicion = false
	mc.changes = append(mc.changes, Change{
		Update:   update,
		Previous: before,
	})
}

// refute raises the incarnation above that of word that isn't true.
func (mc *Machine) refute(update messenger.Update) {
	isTrue := update.State == messenger.Alive && update.Member.Incarnation == mc.self.Incarnation
	if mc.isLeaving || isTrue || update.Member.Incarnation < mc.self.Incarnation {
		return
	}
	mc.self.Incarnation = update.Member.Incarnation + 1
	mc.disseminate(messenger.Update{
		Member: mc.self,
		State:  messenger.Alive,
	})
}

// insertRandomly puts a member at a random place of the order of pings.
func (mc *Machine) insertRandomly(name string) {
	place := mc.random.IntN(len(mc.probeOrder) + 1)
	mc.probeOrder = append(mc.probeOrder, name)
	last := len(mc.probeOrder) - 1
	mc.probeOrder[place], mc.probeOrder[last] = mc.probeOrder[last], mc.probeOrder[place]
}

// removeExpired removes members that have been gone for long.
func (mc *Machine) removeExpired(now time.Time) {
	kept := mc.probeOrder[:0]
	for _, name := range mc.probeOrder {
		rd := mc.records[name]
		if !rd.isLive() && now.Sub(rd.stateSince) > mc.tuning.DeadRetention {
			delete(mc.records, name)
			continue
		}
		kept = append(kept, name)
	}
	mc.probeOrder = kept
}
