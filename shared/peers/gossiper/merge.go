package gossiper

import (
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// merge applies an update and disseminates it if it is new.
func (mc *Machine) merge(now time.Time, update messenger.Update) {
	if mc.apply(now, update) {
		mc.disseminate(update)
	}
}

// apply applies an update and reports whether it is new.
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
			// Some member has missed that this one left.
			mc.disseminate(rd.update)
		}
		return false
	}
	mc.setUpdate(now, rd, update)
	return true
}

// supersedes reports whether an update replaces the current one: it has a higher
// incarnation, or the same incarnation and a higher state.
func supersedes(update, current messenger.Update) bool {
	if update.Member.Incarnation != current.Member.Incarnation {
		return update.Member.Incarnation > current.Member.Incarnation
	}
	return update.State > current.State
}

func (mc *Machine) setUpdate(now time.Time, rd *memberRecord, update messenger.Update) {
	previous := rd.update.State
	update.Member.Revision = max(rd.update.Member.Revision, update.Member.Revision)
	rd.update = update
	if previous == update.State {
		return
	}
	rd.stateSince = now
	rd.isLocalSuspicion = false
	mc.changes = append(mc.changes, Change{
		Update:   update,
		Previous: previous,
	})
}

// refute raises the node's incarnation above that of a wrong update about the
// node itself, and disseminates that the node is alive.
func (mc *Machine) refute(update messenger.Update) {
	isCorrect := update.State == messenger.Alive && update.Member.Incarnation == mc.self.Incarnation
	if mc.isLeaving || isCorrect || update.Member.Incarnation < mc.self.Incarnation {
		return
	}
	mc.self.Incarnation = update.Member.Incarnation + 1
	mc.disseminate(messenger.Update{
		Member: mc.self,
		State:  messenger.Alive,
	})
}

// insertRandomly inserts a member at a random position of the probe order.
func (mc *Machine) insertRandomly(name string) {
	index := mc.random.IntN(len(mc.probeOrder) + 1)
	mc.probeOrder = append(mc.probeOrder, name)
	last := len(mc.probeOrder) - 1
	mc.probeOrder[index], mc.probeOrder[last] = mc.probeOrder[last], mc.probeOrder[index]
}

// removeExpired removes members that have been dead or gone for longer than the
// retention time.
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
