package gossiper

import (
	"net/netip"
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// errand is a ping that is made in the place of another member.
type errand struct {
	requester netip.AddrPort
	sequence  uint64
	until     time.Time
}

// Receive takes in a message that came from an address, and returns what to
// send. Bodies that are not about membership are passed over.
func (mc *Machine) Receive(now time.Time, from netip.AddrPort, ms messenger.Message) []Envelope {
	if ms.Sender.Name == mc.self.Name {
		return nil
	}
	mc.heard = now
	before := mc.State(ms.Sender.Name)
	mc.merge(now, messenger.Update{
		Member: ms.Sender,
		State:  messenger.Alive,
	})
	// Word from a member that is believed dead is not passed on, but what it
	// says of this node is heard, so that both can refute.
	isTrusted := mc.records[ms.Sender.Name].isLive()
	for _, update := range updatesOf(ms.Body) {
		if isTrusted || update.Member.Name == mc.self.Name {
			mc.hear(now, ms.Body, update)
		}
	}
	if isTrusted && before != messenger.Alive && before != messenger.Suspect {
		mc.send(from, messenger.Join{})
	}
	mc.answer(now, from, ms)
	return mc.flush()
}

// hear takes in word about a member. Members first heard of by a roster are
// known to all others, so that is not passed on.
func (mc *Machine) hear(now time.Time, body messenger.Body, update messenger.Update) {
	if _, ok := body.(messenger.Roster); ok && mc.State(update.Member.Name) == 0 {
		mc.learn(now, update)
		return
	}
	mc.merge(now, update)
}

func updatesOf(body messenger.Body) []messenger.Update {
	switch bd := body.(type) {
	case messenger.Ping:
		return bd.Updates
	case messenger.PingRequest:
		return bd.Updates
	case messenger.Ack:
		return bd.Updates
	case messenger.Roster:
		return bd.Updates
	}
	return nil
}

// answer does what a message asks for.
func (mc *Machine) answer(now time.Time, from netip.AddrPort, ms messenger.Message) {
	switch bd := ms.Body.(type) {
	case messenger.Ping:
		mc.send(from, mc.ack(bd.Sequence, ms.Sender.Name))
	case messenger.PingRequest:
		sequence := mc.next()
		mc.errands[sequence] = errand{
			requester: from,
			sequence:  bd.Sequence,
			until:     now.Add(mc.tuning.Period),
		}
		mc.send(bd.Target, mc.ping(sequence, mc.nameAt(bd.Target)))
	case messenger.Ack:
		mc.acknowledge(bd.Sequence)
	case messenger.Join:
		mc.send(from, mc.roster())
	}
}

// acknowledge ends the probe with that sequence, or passes the answer on to the
// member in whose place the ping was made.
func (mc *Machine) acknowledge(sequence uint64) {
	if mc.probe != nil && mc.probe.sequence == sequence {
		mc.probe.isAnswered = true
	}
	if er, ok := mc.errands[sequence]; ok {
		delete(mc.errands, sequence)
		mc.send(er.requester, mc.ack(er.sequence, mc.nameAt(er.requester)))
	}
}

func (mc *Machine) ping(sequence uint64, to string) messenger.Ping {
	return messenger.Ping{
		Sequence: sequence,
		Updates:  mc.updates(to),
		Holdings: mc.holdings,
	}
}

func (mc *Machine) ack(sequence uint64, to string) messenger.Ack {
	return messenger.Ack{
		Sequence: sequence,
		Updates:  mc.updates(to),
		Holdings: mc.holdings,
	}
}

// roster tells all that is believed of members.
func (mc *Machine) roster() messenger.Roster {
	updates := []messenger.Update{}
	for _, name := range mc.order {
		if len(updates) == messenger.MaxUpdates {
			break
		}
		updates = append(updates, mc.records[name].update)
	}
	return messenger.Roster{
		Updates: updates,
	}
}

// nameAt returns the name of the member at an address, or an empty string.
func (mc *Machine) nameAt(address netip.AddrPort) string {
	for name, rd := range mc.records {
		if rd.update.Member.PeerAddress == address {
			return name
		}
	}
	return ""
}
