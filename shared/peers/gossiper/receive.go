package gossiper

import (
	"net/netip"
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// indirectPing is a ping that is made in the place of another member.
type indirectPing struct {
	requester         netip.AddrPort
	requesterSequence uint64
	expiry            time.Time
}

// Receive takes in a message that came from an address, and returns what to
// send. Bodies that are not about membership are passed over.
func (mc *Machine) Receive(now time.Time, from netip.AddrPort, ms messenger.Message) []Envelope {
	if ms.Sender.Name == mc.self.Name {
		return nil
	}
	mc.lastReceived = now
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
			mc.handleUpdate(now, ms.Body, update)
		}
	}
	if isTrusted && before != messenger.Alive && before != messenger.Suspect {
		mc.send(from, messenger.Join{})
	}
	mc.respond(now, from, ms)
	return mc.flush()
}

// handleUpdate takes in word about a member. Members first heard of by a roster are
// known to all others, so that is not passed on.
func (mc *Machine) handleUpdate(now time.Time, body messenger.Body, update messenger.Update) {
	if _, ok := body.(messenger.MemberList); ok && mc.State(update.Member.Name) == 0 {
		mc.apply(now, update)
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
	case messenger.MemberList:
		return bd.Updates
	}
	return nil
}

// respond does what a message asks for.
func (mc *Machine) respond(now time.Time, from netip.AddrPort, ms messenger.Message) {
	switch bd := ms.Body.(type) {
	case messenger.Ping:
		mc.send(from, mc.newAck(bd.Sequence, ms.Sender.Name))
	case messenger.PingRequest:
		sequence := mc.nextSequence()
		mc.indirectPings[sequence] = indirectPing{
			requester:         from,
			requesterSequence: bd.Sequence,
			expiry:            now.Add(mc.tuning.Period),
		}
		mc.send(bd.Target, mc.newPing(sequence, mc.nameAt(bd.Target)))
	case messenger.Ack:
		mc.handleAck(bd.Sequence)
	case messenger.Join:
		mc.send(from, mc.memberList())
	}
}

// handleAck ends the probe with that sequence, or passes the answer on to the
// member in whose place the ping was made.
func (mc *Machine) handleAck(sequence uint64) {
	if mc.probe != nil && mc.probe.sequence == sequence {
		mc.probe.isAcknowledged = true
	}
	if er, ok := mc.indirectPings[sequence]; ok {
		delete(mc.indirectPings, sequence)
		mc.send(er.requester, mc.newAck(er.requesterSequence, mc.nameAt(er.requester)))
	}
}

func (mc *Machine) newPing(sequence uint64, to string) messenger.Ping {
	return messenger.Ping{
		Sequence:      sequence,
		Updates:       mc.updatesFor(to),
		TopicVersions: mc.topicVersions,
	}
}

func (mc *Machine) newAck(sequence uint64, to string) messenger.Ack {
	return messenger.Ack{
		Sequence:      sequence,
		Updates:       mc.updatesFor(to),
		TopicVersions: mc.topicVersions,
	}
}

// memberList tells all that is believed of members.
func (mc *Machine) memberList() messenger.MemberList {
	updates := []messenger.Update{}
	for _, name := range mc.probeOrder {
		if len(updates) == messenger.MaxUpdates {
			break
		}
		updates = append(updates, mc.records[name].update)
	}
	return messenger.MemberList{
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
