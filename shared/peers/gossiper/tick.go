package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// joinFanout is the number of seeds or dead members that a node without live
// members contacts at once.
const joinFanout = 3

// remoteSuspicionFactor is the factor by which the suspicion timeout is longer
// on nodes that didn't start the suspicion themselves.
const remoteSuspicionFactor = 2

// probe is the check of one member in the current period.
type probe struct {
	name           string
	address        netip.AddrPort
	sequence       uint64
	started        time.Time
	isAcknowledged bool
	// pingsSent counts the pings sent, nextPing is when the next one is sent.
	pingsSent int
	nextPing  time.Time
}

// NextTick returns the time at which to call Tick.
func (mc *Machine) NextTick() time.Time {
	if mc.probe != nil && !mc.probe.isAcknowledged && mc.probe.nextPing.Before(mc.nextPeriod) {
		return mc.probe.nextPing
	}
	return mc.nextPeriod
}

// Tick runs the actions that are due, and returns the messages to send.
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

// resendPing sends the ping of the probe again if it has not been acknowledged,
// and requests indirect pings after Tuning.IndirectAfter pings.
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

// postponeDeadlines moves all deadlines by the time that the node was paused,
// since messages that arrived during the pause have not been processed yet.
func (mc *Machine) postponeDeadlines(now time.Time) {
	delay := now.Sub(mc.NextTick())
	if delay <= mc.tuning.PauseThreshold {
		return
	}
	if mc.probe != nil {
		mc.probe.started = now
		mc.probe.nextPing = now.Add(mc.tuning.ResendInterval)
	}
	for _, rd := range mc.records {
		rd.stateSince = rd.stateSince.Add(delay)
	}
	mc.lastReceived = mc.lastReceived.Add(delay)
	mc.nextPeriod = now.Add(mc.tuning.Period)
}

// requestIndirectPings asks other members to ping the probed member.
func (mc *Machine) requestIndirectPings(pe *probe) {
	for _, rd := range mc.pickIntermediaries(pe.name) {
		mc.send(rd.update.Member.PeerAddress, messenger.PingRequest{
			Sequence: pe.sequence,
			Target:   pe.address,
			Updates:  mc.updatesFor(rd.update.Member.Name),
		})
	}
}

// finishProbe suspects the probed member if it has not acknowledged. A node that
// has received no message at all since the probe started may itself be isolated,
// and suspects no member for Tuning.SilencePeriods.
func (mc *Machine) finishProbe(now time.Time) {
	pe := mc.probe
	mc.probe = nil
	if pe == nil || pe.isAcknowledged {
		return
	}
	rd, ok := mc.records[pe.name]
	maxSilence := time.Duration(mc.tuning.SilencePeriods) * mc.tuning.Period
	isIsolated := mc.lastReceived.Before(pe.started) && now.Sub(mc.lastReceived) < maxSilence
	if !ok || rd.update.State != messenger.Alive || isIsolated {
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

// expire declares suspected members dead that didn't refute in time, and removes
// expired indirect pings. The node that started a suspicion pings the suspected
// member in each period, which carries the suspicion. Other nodes wait for an
// update from that node; if none arrives they also ping the member before they
// declare it dead, since the update with its refutation may have been lost.
func (mc *Machine) expire(now time.Time) {
	timeout := mc.tuning.suspicionTimeout(len(mc.Live()))
	for _, name := range mc.probeOrder {
		rd := mc.records[name]
		if rd.update.State != messenger.Suspect {
			continue
		}
		elapsed := now.Sub(rd.stateSince)
		switch {
		case rd.isLocalSuspicion && elapsed >= timeout, elapsed >= timeout*remoteSuspicionFactor:
			mc.changeState(now, rd, messenger.Dead)
		case rd.isLocalSuspicion, elapsed >= timeout:
			mc.send(rd.update.Member.PeerAddress, mc.newPing(mc.nextSequence(), name))
		}
	}
	for sequence, ip := range mc.indirectPings {
		if now.After(ip.expiry) {
			delete(mc.indirectPings, sequence)
		}
	}
}

// startProbe pings the next live member of the probe order, which it shuffles
// after each round.
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

// reconnect contacts a dead member or a seed that is no member, so that the parts
// of the region merge again after a partition.
func (mc *Machine) reconnect(now time.Time) {
	if now.Before(mc.nextReconnect) || mc.isLeaving {
		return
	}
	mc.nextReconnect = now.Add(time.Duration(mc.tuning.ReconnectPeriods) * mc.tuning.Period)
	candidates, live := mc.reconnectCandidates()
	count := 1
	if live == 0 {
		count = joinFanout
	}
	for range min(count, len(candidates)) {
		index := mc.random.IntN(len(candidates))
		address := candidates[index]
		candidates = slices.Delete(candidates, index, index+1)
		if name := mc.nameAt(address); name != "" {
			mc.send(address, mc.newPing(mc.nextSequence(), name))
		} else {
			mc.send(address, messenger.Join{})
		}
	}
}

// reconnectCandidates returns the addresses of dead members and of seeds that
// aren't members, in a fixed order, and the number of live members.
func (mc *Machine) reconnectCandidates() ([]netip.AddrPort, int) {
	var candidates []netip.AddrPort
	excluded := []netip.AddrPort{mc.self.PeerAddress}
	live := 0
	for _, name := range mc.probeOrder {
		rd := mc.records[name]
		excluded = append(excluded, rd.update.Member.PeerAddress)
		if rd.isLive() {
			live++
		} else if rd.update.State == messenger.Dead {
			candidates = append(candidates, rd.update.Member.PeerAddress)
		}
	}
	for _, seed := range mc.seeds {
		if !contains(excluded, seed) {
			candidates = append(candidates, seed)
		}
	}
	return candidates, live
}

// pickLive returns up to count random live members, without the named one.
func (mc *Machine) pickLive(count int, except string) []*memberRecord {
	var picked []*memberRecord
	for _, index := range mc.random.Perm(len(mc.probeOrder)) {
		name := mc.probeOrder[index]
		if rd := mc.records[name]; name != except && rd.isLive() && len(picked) < count {
			picked = append(picked, rd)
		}
	}
	return picked
}

// pickIntermediaries returns random live members, first one of each availability
// zone: the path around a partition between two zones leads through a third.
func (mc *Machine) pickIntermediaries(except string) []*memberRecord {
	candidates := mc.pickLive(len(mc.probeOrder), except)
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
	intermediaries := append(first, rest...)
	return intermediaries[:min(mc.tuning.Intermediaries, len(intermediaries))]
}
