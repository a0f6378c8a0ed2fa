package gossiper

import (
	"net/netip"
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// indirectPing is a ping that is sent on behalf of another member.
type indirectPing struct {
	requester         netip.AddrPort
	requesterSequence uint64
	expiry            time.Time
}

// Receive processes a message from an address, and returns the messages to send.
// It ignores bodies that are not part of the membership protocol.
func (mc *Machine) Receive(now time.Time, from netip.AddrPort, ms messenger.Message) []Envelope {
	if ms.Sender.Name == mc.self.Name {
		return nil
	}
	mc.lastReceived = now
	previous := mc.State(ms.Sender.Name)
	mc.merge(now, messenger.Update{
		Member: ms.Sender,
		State:  messenger.Alive,
	})
	// Updates from a member that counts as dead are ignored except those about
	// this node, so that both nodes can refute.
	isSenderLive := mc.records[ms.Sender.Name].isLive()
	for _, update := range updatesOf(ms.Body) {
		if isSenderLive || update.Member.Name == mc.self.Name {
			mc.handleUpdate(now, ms.Body, update)
		}
	}
	if isSenderLive && previous != messenger.Alive && previous != messenger.Suspect {
		mc.send(from, messenger.Join{})
	}
	mc.respond(now, from, ms)
	return mc.flush()
}

// handleUpdate processes an update about a member. A member that is new to this
// node and comes in a member list is known to the other members already, so the
// update is not disseminated.
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

// respond sends the response to a message.
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

// handleAck marks the probe with the sequence number as acknowledged, or forwards
// the acknowledgement to the member that requested the indirect ping.
func (mc *Machine) handleAck(sequence uint64) {
	if mc.probe != nil && mc.probe.sequence == sequence {
		mc.probe.isAcknowledged = true
	}
	if ip, ok := mc.indirectPings[sequence]; ok {
		delete(mc.indirectPings, sequence)
		mc.send(ip.requester, mc.newAck(ip.requesterSequence, mc.nameAt(ip.requester)))
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

// memberList returns the state of all members, up to the bound of a message.
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
