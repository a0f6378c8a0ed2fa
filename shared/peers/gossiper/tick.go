package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// joinSeeds is how many seeds a node without members asks at once.
const joinSeeds = 3

// othersPatience is how many times as long a suspected member may refute to
// those who didn't suspect it themselves.
const othersPatience = 2

// probe is the ping of the present period.
type probe struct {
	name       string
	address    netip.AddrPort
	sequence   uint64
	started    time.Time
	isAnswered bool
	// pings counts the pings sent, again is when the next is sent.
	pings int
	again time.Time
}

// Next returns when Tick is to be called next.
func (mc *Machine) Next() time.Time {
	if mc.probe != nil && !mc.probe.isAnswered && mc.probe.again.Before(mc.due) {
		return mc.probe.again
	}
	return mc.due
}

// Tick does what is due, and returns what to send.
func (mc *Machine) Tick(now time.Time) []Envelope {
	mc.putOff(now)
	if now.Before(mc.due) {
		mc.pingAgain(now)
		return mc.flush()
	}
	mc.judge(now)
	mc.expire(now)
	mc.due = now.Add(mc.tuning.Period)
	mc.startProbe(now)
	mc.reachOut(now)
	return mc.flush()
}

// pingAgain sends the ping again when no answer has come.
func (mc *Machine) pingAgain(now time.Time) {
	pe := mc.probe
	if pe == nil || pe.isAnswered || now.Before(pe.again) {
		return
	}
	pe.again = now.Add(mc.tuning.ResendInterval)
	pe.pings++
	mc.send(pe.address, mc.ping(pe.sequence, pe.name))
	if pe.pings == mc.tuning.HelpAfter {
		mc.askHelpers(pe)
	}
}

// putOff moves all deadlines by the time that the node was paused: answers that
// came meanwhile are still to be read.
func (mc *Machine) putOff(now time.Time) {
	late := now.Sub(mc.Next())
	if late <= mc.tuning.Lateness {
		return
	}
	if mc.probe != nil {
		mc.probe.started = now
		mc.probe.again = now.Add(mc.tuning.ResendInterval)
	}
	for _, rd := range mc.records {
		rd.since = rd.since.Add(late)
	}
	mc.heard = mc.heard.Add(late)
	mc.due = now.Add(mc.tuning.Period)
}

// askHelpers asks others to ping in the node's place.
func (mc *Machine) askHelpers(pe *probe) {
	for _, rd := range mc.pickHelpers(pe.name) {
		mc.send(rd.update.Member.PeerAddress, messenger.PingRequest{
			Sequence: pe.sequence,
			Target:   pe.address,
			Updates:  mc.updates(rd.update.Member.Name),
		})
	}
}

// judge suspects the member that was pinged if no answer has come. A node that
// has heard nothing from anybody since doubts itself first.
func (mc *Machine) judge(now time.Time) {
	pe := mc.probe
	mc.probe = nil
	if pe == nil || pe.isAnswered {
		return
	}
	rd, ok := mc.records[pe.name]
	silence := time.Duration(mc.tuning.SilencePeriods) * mc.tuning.Period
	isDeaf := mc.heard.Before(pe.started) && now.Sub(mc.heard) < silence
	if !ok || rd.update.State != messenger.Alive || isDeaf {
		return
	}
	mc.turnTo(now, rd, messenger.Suspect)
	rd.isOwn = true
}

func (mc *Machine) turnTo(now time.Time, rd *record, state messenger.State) {
	update := rd.update
	update.State = state
	mc.adopt(now, rd, update)
	mc.spread(update)
}

// expire drops members that didn't refute in time, and what is of no use. A
// member is told of the suspicion in each period by the node that suspected it.
// The others wait for word from that node; when none comes they tell the member
// too before they drop it, since word of its refutation may have been lost.
func (mc *Machine) expire(now time.Time) {
	limit := mc.tuning.suspicion(len(mc.Live()))
	for _, name := range mc.order {
		rd := mc.records[name]
		if rd.update.State != messenger.Suspect {
			continue
		}
		waited := now.Sub(rd.since)
		switch {
		case rd.isOwn && waited >= limit, waited >= limit*othersPatience:
			mc.turnTo(now, rd, messenger.Dead)
		case rd.isOwn, waited >= limit:
			mc.send(rd.update.Member.PeerAddress, mc.ping(mc.next(), name))
		}
	}
	for sequence, er := range mc.errands {
		if now.After(er.until) {
			delete(mc.errands, sequence)
		}
	}
}

// startProbe pings the next live member in a random order.
func (mc *Machine) startProbe(now time.Time) {
	for range len(mc.order) {
		if mc.turn >= len(mc.order) {
			mc.turn = 0
			mc.forget(now)
			mc.random.Shuffle(len(mc.order), func(left, right int) {
				mc.order[left], mc.order[right] = mc.order[right], mc.order[left]
			})
			if len(mc.order) == 0 {
				return
			}
		}
		name := mc.order[mc.turn]
		mc.turn++
		if rd := mc.records[name]; rd.isLive() {
			mc.probe = &probe{
				name:     name,
				address:  rd.update.Member.PeerAddress,
				sequence: mc.next(),
				started:  now,
				pings:    1,
				again:    now.Add(mc.tuning.ResendInterval),
			}
			mc.send(mc.probe.address, mc.ping(mc.probe.sequence, name))
			return
		}
	}
}

// reachOut tries a dead member or a seed that no live member has, so that parts
// of the region that were cut off find each other again.
func (mc *Machine) reachOut(now time.Time) {
	if now.Before(mc.contact) || mc.isLeaving {
		return
	}
	mc.contact = now.Add(time.Duration(mc.tuning.ContactPeriods) * mc.tuning.Period)
	gone, live := mc.strangers()
	count := 1
	if live == 0 {
		count = joinSeeds
	}
	for range min(count, len(gone)) {
		place := mc.random.IntN(len(gone))
		address := gone[place]
		gone = slices.Delete(gone, place, place+1)
		if name := mc.nameAt(address); name != "" {
			mc.send(address, mc.ping(mc.next(), name))
		} else {
			mc.send(address, messenger.Join{})
		}
	}
}

// strangers returns the addresses of dead members and of seeds that aren't
// members, in a fixed order, and the number of live members.
func (mc *Machine) strangers() ([]netip.AddrPort, int) {
	var gone []netip.AddrPort
	known := []netip.AddrPort{mc.self.PeerAddress}
	live := 0
	for _, name := range mc.order {
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

// pick returns some live members at random, but not the named one.
func (mc *Machine) pick(count int, but string) []*record {
	var picked []*record
	for _, place := range mc.random.Perm(len(mc.order)) {
		name := mc.order[place]
		if rd := mc.records[name]; name != but && rd.isLive() && len(picked) < count {
			picked = append(picked, rd)
		}
	}
	return picked
}

// pickHelpers returns live members at random, first one of each availability
// zone: a way round a cut between two zones leads through a third.
func (mc *Machine) pickHelpers(but string) []*record {
	candidates := mc.pick(len(mc.order), but)
	var first, rest []*record
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
	return helpers[:min(mc.tuning.Helpers, len(helpers))]
}
