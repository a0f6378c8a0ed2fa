package lender

import (
	"slices"
	"strings"
	"time"
)

// renewals is the number of regular Requests within LeaseTime.
const renewals = 4

// broker is a Lender. It lends the slots of the targets that it owns and
// borrows those of other owners.
type broker struct {
	self   Entry
	config Config
	// links holds the links with all members and recent former members.
	links map[Entry]*link
	// members are the other entries that are listed or in view, peers those
	// that are in view. Both are sorted by name and incarnation.
	members, peers []Entry
	// view is a digest of the entries in view, including this one.
	view uint64
	// resumedAt is when the process started or last resumed from a pause.
	// Before viewStableAt the view may lack entries.
	resumedAt, viewStableAt time.Time
	// sequence is the sequence of the last message sent to any peer.
	sequence uint64
	// departed holds the highest incarnation of each name that is known to have
	// ended.
	departed  map[string]uint64
	slotsByVM map[string]*targetSlots
	// sortedSlots is sorted by VM name.
	sortedSlots []*targetSlots
	queued      int
	lastTick    time.Time
	outbox      []Envelope
}

// New returns a Lender for the entry. It grants no slots until all leases
// granted before its start have expired.
func New(self Entry, config Config) Lender {
	return &broker{
		self:      self,
		config:    config,
		links:     map[Entry]*link{},
		departed:  map[string]uint64{},
		slotsByVM: map[string]*targetSlots{},
	}
}

// expiry returns the time after which a lease has expired even by the slowest
// clock.
func (br *broker) expiry() time.Duration {
	return time.Duration(float64(br.config.LeaseTime) * (1 + br.config.MaxClockDrift))
}

func (br *broker) SetMembers(now time.Time, members []Entry) []Envelope {
	br.detectPause(now)
	for _, li := range br.links {
		li.listed = false
	}
	for _, member := range members {
		if member != br.self && !br.isDeparted(member) {
			br.addMember(member).listed = true
		}
	}
	for _, li := range br.links {
		if li.member && !li.listed && !li.inView {
			br.removeMember(now, li)
		}
	}
	br.updateMembers()
	br.pruneLinks(now)
	return br.run(now, br.sortedSlots)
}

func (br *broker) MarkDeparted(now time.Time, entry Entry) []Envelope {
	br.detectPause(now)
	br.departed[entry.Name] = max(br.departed[entry.Name], entry.Incarnation)
	if li := br.links[entry]; li != nil && li.member {
		br.removeMember(now, li)
		br.updateMembers()
		br.updatePeers()
		br.assign(now)
	}
	return br.run(now, br.sortedSlots)
}

func (br *broker) SetTargets(now time.Time, targets []Target) []Envelope {
	br.detectPause(now)
	listed := map[string]bool{}
	for _, tt := range targets {
		listed[tt.VM] = true
		ts := br.slotsByVM[tt.VM]
		if ts == nil {
			ts = &targetSlots{noGrowthUntil: now.Add(br.expiry())}
			br.slotsByVM[tt.VM] = ts
		}
		ts.Target = tt
	}
	for vm, ts := range br.slotsByVM {
		if !listed[vm] && ts.inFlight == 0 {
			delete(br.slotsByVM, vm)
		}
	}
	br.sortedSlots = br.sortedSlots[:0]
	for _, ts := range br.slotsByVM {
		br.sortedSlots = append(br.sortedSlots, ts)
	}
	slices.SortFunc(br.sortedSlots, func(a, b *targetSlots) int { return strings.Compare(a.VM, b.VM) })
	br.assign(now)
	return br.run(now, br.sortedSlots)
}

func (br *broker) SetQueued(now time.Time, queued int) []Envelope {
	br.detectPause(now)
	br.queued = queued
	return br.run(now, br.sortedSlots)
}

func (br *broker) Start(now time.Time, vm string) []Envelope {
	return br.addInFlight(now, vm, 1)
}

func (br *broker) Finish(now time.Time, vm string) []Envelope {
	return br.addInFlight(now, vm, -1)
}

func (br *broker) addInFlight(now time.Time, vm string, by int) []Envelope {
	br.detectPause(now)
	ts := br.slotsByVM[vm]
	if ts == nil {
		return br.run(now, nil)
	}
	ts.inFlight += by
	return br.run(now, []*targetSlots{ts})
}

func (br *broker) Receive(now time.Time, envelope Envelope) []Envelope {
	br.detectPause(now)
	if envelope.To != br.self || br.isDeparted(envelope.From) || br.isReplaced(envelope.From) {
		return br.run(now, nil)
	}
	li := br.addMember(envelope.From)
	br.recordReceived(now, li, envelope.Message)
	switch me := envelope.Message.(type) {
	case Request:
		if li.inView && li.acceptRequest(me) {
			br.handleRequest(now, li, me)
		}
	case Grant:
		if li.inView && li.acceptGrant(me) {
			br.handleGrant(now, li, me)
		}
	}
	return br.run(now, br.sortedSlots)
}

func (br *broker) Tick(now time.Time) []Envelope {
	br.detectPause(now)
	return br.run(now, br.sortedSlots)
}

func (br *broker) Allowed(now time.Time, vm string) int {
	ts := br.slotsByVM[vm]
	if ts == nil {
		return 0
	}
	allowed := 0
	switch {
	case ts.owner == br.self && br.hasConfirmedOwnership(now, ts):
		allowed = ts.ownSlots
	case now.Sub(br.lastTick) <= br.config.LeaseTime && now.Before(ts.leasedUntil):
		allowed = ts.leased
	}
	return min(allowed, ts.Slots, ts.Connections/br.config.MaxEntries)
}

// detectPause measures the time since the last call. After a pause the view may
// be stale, so the entry hands out no more slots for some time. After a pause
// longer than LeaseTime it drops all leases and slots. It also drops the slots
// of targets whose ownership is no longer confirmed.
func (br *broker) detectPause(now time.Time) {
	pause := time.Duration(0)
	if !br.lastTick.IsZero() {
		pause = now.Sub(br.lastTick)
	}
	isFirstCall := br.lastTick.IsZero()
	if isFirstCall || pause > br.config.LeaseTime/renewals {
		br.resumedAt = now
	}
	br.lastTick = now
	switch {
	case isFirstCall:
		br.postponeGrowth(now, br.expiry())
	case pause > br.config.LeaseTime:
		br.postponeGrowth(now, br.expiry())
	case pause > br.config.LeaseTime/renewals:
		br.postponeGrowth(now, br.config.LeaseTime/2)
	}
	for _, ts := range br.sortedSlots {
		if pause > br.config.LeaseTime {
			ts.ownSlots = 0
			ts.leasedUntil = time.Time{}
		}
		if ts.owner == br.self && !br.hasConfirmedOwnership(now, ts) {
			ts.ownSlots = 0
			if now.Before(ts.leasedUntil) {
				ts.ownSlots = ts.leased
			}
		}
	}
}

// run updates the view, allocates the slots of the given targets and returns
// the messages that are due.
func (br *broker) run(now time.Time, toAllocate []*targetSlots) []Envelope {
	if br.updateView(now) {
		toAllocate = br.sortedSlots
	}
	for _, ts := range toAllocate {
		if ts.owner == br.self {
			br.allocate(now, ts)
			br.markGrantsDue(now, ts)
		}
	}
	for _, member := range br.members {
		li := br.links[member]
		if !now.Before(br.requestDue(now, li)) {
			br.sendRequest(now, li)
		}
		if li.inView && li.grantDue && !now.Before(li.grantedAt.Add(br.config.MinInterval)) {
			br.sendGrant(now, li)
		}
	}
	out := br.outbox
	br.outbox = nil
	return out
}

func (br *broker) NextTick() time.Time {
	next := br.lastTick.Add(br.config.LeaseTime / (2 * renewals))
	for _, member := range br.members {
		li := br.links[member]
		next = earlier(next, br.requestDue(br.lastTick, li))
		if li.inView {
			next = earlier(next, br.silenceDeadline(li))
		}
		if li.grantDue {
			next = earlier(next, li.grantedAt.Add(br.config.MinInterval))
		}
	}
	for _, ts := range br.sortedSlots {
		end := later(br.uncertaintyEnd(ts), ts.noGrowthUntil)
		if ts.owner == br.self && br.lastTick.Before(end) {
			next = earlier(next, end)
		}
	}
	return next
}

// queuedPerTarget returns the number of queued requests divided by the number
// of targets, rounded up.
func (br *broker) queuedPerTarget() int {
	count := max(len(br.sortedSlots), 1)
	return (br.queued + count - 1) / count
}

// nextSequence returns the sequence of a new message to a peer and records when
// it was sent.
func (br *broker) nextSequence(now time.Time, li *link) uint64 {
	br.sequence++
	li.recordSent(now, br.sequence)
	return br.sequence
}

func (br *broker) send(li *link, message Message) {
	br.outbox = append(br.outbox, Envelope{
		From:    br.self,
		To:      li.peer,
		Message: message,
	})
}

func earlier(first, second time.Time) time.Time {
	if second.IsZero() || first.Before(second) {
		return first
	}
	return second
}

func later(first, second time.Time) time.Time {
	if first.After(second) {
		return first
	}
	return second
}
