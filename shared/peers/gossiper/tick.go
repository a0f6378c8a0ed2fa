package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// joinFanout is how many seeds a node without members asks at once.
const joinFanout = 3

// remoteSuspicionFactor is how many times as long a suspected member may refute to
// those who didn't suspect it themselves.
const remoteSuspicionFactor = 2

// probe is the ping of the present period.
type probe struct {
	name           string
	address        netip.AddrPort
	sequence       uint64
	started        time.Time
	isAcknowledged bool
	// pingsSent counts the pingsSent sent, again is when the next is sent.
	pingsSent int
	nextPing  time.Time
}

// NextTick returns when Tick is to be called next.
func (mc *Machine) NextTick() time.Time {
	if mc.probe != nil && !mc.probe.isAcknowledged && mc.probe.nextPing.Before(mc.nextPeriod) {
		return mc.probe.nextPing
	}
	return mc.nextPeriod
}

// Tick does what is due, and returns what to send.
func (mc *Machine) Tick(now time.Time) []Envelope {
	mc.postponeDeadlines(now)
	if now.Before(mc.nextPeriod) {
		mc.resendPing(now)
		return mc.flush()
	}
	mc.finishProbe(now)
	mc.expire(now)
	mc.nextPeriod = now.Add(mc.tuning.Period)
	mc.startProbe(now)
	mc.reconnect(now)
	return mc.flush()
}

// resendPing sends the ping again when no answer has come.
func (mc *Machine) resendPing(now time.Time) {
	pe := mc.probe
	if pe == nil || pe.isAcknowledged || now.Before(pe.nextPing) {
		return
	}
	pe.nextPing = now.Add(mc.tuning.ResendInterval)
	pe.pingsSent++
	mc.send(pe.address, mc.newPing(pe.sequence, pe.name))
	if pe.pingsSent == mc.tuning.IndirectAfter {
		mc.requestIndirectPings(pe)
	}
}

// postponeDeadlines moves all deadlines by the time that the node was paused: answers that
// came meanwhile are still to be read.
func (mc *Machine) postponeDeadlines(now time.Time) {
	late := now.Sub(mc.NextTick())
	if late <= mc.tuning.PauseThreshold {
		return
	}
	if mc.probe != nil {
		mc.probe.started = now
		mc.probe.nextPing = now.Add(mc.tuning.ResendInterval)
	}
	for _, rd := range mc.records {
		rd.stateSince = rd.stateSince.Add(late)
	}
	mc.lastReceived = mc.lastReceived.Add(late)
	mc.nextPeriod = now.Add(mc.tuning.Period)
}

// requestIndirectPings asks others to ping in the node's place.
func (mc *Machine) requestIndirectPings(pe *probe) {
	for _, rd := range mc.pickIntermediaries(pe.name) {
		mc.send(rd.update.Member.PeerAddress, messenger.PingRequest{
			Sequence: pe.sequence,
			Target:   pe.address,
			Updates:  mc.updatesFor(rd.update.Member.Name),
		})
	}
}

// finishProbe suspects the member that was pinged if no answer has come. A node that
// has heard nothing from anybody since doubts itself first.
func (mc *Machine) finishProbe(now time.Time) {
	pe := mc.probe
	mc.probe = nil
	if pe == nil || pe.isAcknowledged {
		return
	}
	rd, ok := mc.records[pe.name]
	silence := time.Duration(mc.tuning.SilencePeriods) * mc.tuning.Period
	isDeaf := mc.lastReceived.Before(pe.started) && now.Sub(mc.lastReceived) < silence
	if !ok || rd.update.State != messenger.Alive || isDeaf {
		return
	}
	mc.changeState(now, rd, messenger.Suspect)
	rd.isLocalSuspicion = true
}

func (mc *Machine) changeState(now time.Time, rd *memberRecord, state messenger.State) {
	update := rd.update
	update.State = state
	mc.setUpdate(now, rd, update)
	mc.disseminate(update)
}

// expire drops members that didn't refute in time, and what is of no use. A
// member is told of the suspicion in each period by the node that suspected it.
// The others wait for word from that node; when none comes they tell the member
// too before they drop it, since word of its refutation may have been lost.
func (mc *Machine) expire(now time.Time) {
	limit := mc.tuning.suspicionTimeout(len(mc.Live()))
	for _, name := range mc.probeOrder {
		rd := mc.records[name]
		if rd.update.State != messenger.Suspect {
			continue
		}
		waited := now.Sub(rd.stateSince)
		switch {
		case rd.isLocalSuspicion && waited >= limit, waited >= limit*remoteSuspicionFactor:
			mc.changeState(now, rd, messenger.Dead)
		case rd.isLocalSuspicion, waited >= limit:
			mc.send(rd.update.Member.PeerAddress, mc.newPing(mc.nextSequence(), name))
		}
	}
	for sequence, er := range mc.indirectPings {
		if now.After(er.expiry) {
			delete(mc.indirectPings, sequence)
		}
	}
}

// startProbe pings the next live member in a random order.
func (mc *Machine) startProbe(now time.Time) {
	for range len(mc.probeOrder) {
		if mc.nextProbe >= len(mc.probeOrder) {
			mc.nextProbe = 0
			mc.removeExpired(now)
			mc.random.Shuffle(len(mc.probeOrder), func(left, right int) {
				mc.probeOrder[left], mc.probeOrder[right] = mc.probeOrder[right], mc.probeOrder[left]
			})
			if len(mc.probeOrder) == 0 {
				return
			}
		}
		name := mc.probeOrder[mc.nextProbe]
		mc.nextProbe++
		if rd := mc.records[name]; rd.isLive() {
			mc.probe = &probe{
				name:      name,
				address:   rd.update.Member.PeerAddress,
				sequence:  mc.nextSequence(),
				started:   now,
				pingsSent: 1,
				nextPing:  now.Add(mc.tuning.ResendInterval),
			}
			mc.send(mc.probe.address, mc.newPing(mc.probe.sequence, name))
			return
		}
	}
}

// reconnect tries a dead member or a seed that no live member has, so that parts
// of the region that were cut off find each other again.
func (mc *Machine) reconnect(now time.Time) {
	if now.Before(mc.nextReconnect) || mc.isLeaving {
		return
	}
	mc.nextReconnect = now.Add(time.Duration(mc.tuning.ReconnectPeriods) * mc.tuning.Period)
	gone, live := mc.reconnectCandidates()
	count := 1
	if live == 0 {
		count = joinFanout
	}
	for range min(count, len(gone)) {
		place := mc.random.IntN(len(gone))
		address := gone[place]
		gone = slices.Delete(gone, place, place+1)
		if name := mc.nameAt(address); name != "" {
			mc.send(address, mc.newPing(mc.nextSequence(), name))
		} else {
			mc.send(address, messenger.Join{})
		}
	}
}

// reconnectCandidates returns the addresses of dead members and of seeds that aren't
// members, in a fixed order, and the number of live members.
func (mc *Machine) reconnectCandidates() ([]netip.AddrPort, int) {
	var gone []netip.AddrPort
	known := []netip.AddrPort{mc.self.PeerAddress}
	live := 0
	for _, name := range mc.probeOrder {
		rd := mc.records[name]
		known = append(known, rd.update.Member.PeerAddress)
		if rd.isLive() {
			live++
		} else if rd.update.State == messenger.Dead {
			gone = append(gone, rd.update.Member.PeerAddress)
		}
	}
	for _, seed := range mc.seeds {
		if !contains(known, seed) {
			gone = append(gone, seed)
		}
	}
	return gone, live
}

// pickLive returns some live members at random, but not the named one.
func (mc *Machine) pickLive(count int, but string) []*memberRecord {
	var picked []*memberRecord
	for _, place := range mc.random.Perm(len(mc.probeOrder)) {
		name := mc.probeOrder[place]
		if rd := mc.records[name]; name != but && rd.isLive() && len(picked) < count {
			picked = append(picked, rd)
		}
	}
	return picked
}

// pickIntermediaries returns live members at random, first one of each availability
// zone: a way round a cut between two zones leads through a third.
func (mc *Machine) pickIntermediaries(but string) []*memberRecord {
	candidates := mc.pickLive(len(mc.probeOrder), but)
	var first, rest []*memberRecord
	zones := map[string]bool{}
	for _, rd := range candidates {
		if zones[rd.update.Member.Zone] {
			rest = append(rest, rd)
			continue
		}
		zones[rd.update.Member.Zone] = true
		first = append(first, rd)
	}
	helpers := append(first, rest...)
	return helpers[:min(mc.tuning.Intermediaries, len(helpers))]
}
