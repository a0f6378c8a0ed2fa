package lender

import (
	"slices"
	"strings"
	"time"
)

// renewals is the number of requests within a lease's time.
const renewals = 4

// broker is a Lender: the owner of some targets and a borrower of others.
type broker struct {
	self   Entry
	config Config
	// links has every member and those that ceased to be one lately.
	links map[Entry]*link
	// members are the other entries said to be alive, peers those of them in
	// view, both in a fixed order.
	members, peers []Entry
	// view is a digest of the entries in view.
	view uint64
	// wokenAt is when the process started or last woke from a pause, and
	// heldUntil the time before which it may not know of all entries.
	wokenAt, heldUntil time.Time
	// sequence is that of the last message sent to any peer.
	sequence uint64
	// departed has the highest incarnation of each name that is gone for
	// certain.
	departed map[string]uint64
	lots     map[string]*lot
	// ordered are the lots by the names of their VMs.
	ordered  []*lot
	queued   int
	lastTick time.Time
	out      []Envelope
}

// New returns a Lender of the entry. It lends nothing before earlier leases
// have certainly expired.
func New(self Entry, config Config) Lender {
	return &broker{
		self:     self,
		config:   config,
		links:    map[Entry]*link{},
		departed: map[string]uint64{},
		lots:     map[string]*lot{},
	}
}

// expiry is the time after which a lease has expired by every clock.
func (br *broker) expiry() time.Duration {
	return time.Duration(float64(br.config.LeaseTime) * (1 + br.config.ClockMargin))
}

func (br *broker) SetMembers(now time.Time, members []Entry) []Envelope {
	br.wake(now)
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
	br.listMembers()
	br.forgetLinks(now)
	return br.run(now, br.ordered)
}

func (br *broker) MarkDeparted(now time.Time, entry Entry) []Envelope {
	br.wake(now)
	br.departed[entry.Name] = max(br.departed[entry.Name], entry.Incarnation)
	if li := br.links[entry]; li != nil && li.member {
		br.removeMember(now, li)
		br.listMembers()
		br.listPeers()
		br.assign(now)
	}
	return br.run(now, br.ordered)
}

func (br *broker) SetTargets(now time.Time, targets []Target) []Envelope {
	br.wake(now)
	kept := map[string]bool{}
	for _, tt := range targets {
		kept[tt.VM] = true
		lo := br.lots[tt.VM]
		if lo == nil {
			lo = &lot{held: now.Add(br.expiry())}
			br.lots[tt.VM] = lo
		}
		lo.Target = tt
	}
	for vm, lo := range br.lots {
		if !kept[vm] && lo.inFlight == 0 {
			delete(br.lots, vm)
		}
	}
	br.ordered = br.ordered[:0]
	for _, lo := range br.lots {
		br.ordered = append(br.ordered, lo)
	}
	slices.SortFunc(br.ordered, func(a, b *lot) int { return strings.Compare(a.VM, b.VM) })
	br.assign(now)
	return br.run(now, br.ordered)
}

func (br *broker) SetQueued(now time.Time, queued int) []Envelope {
	br.wake(now)
	br.queued = queued
	return br.run(now, br.ordered)
}

func (br *broker) Start(now time.Time, vm string) []Envelope {
	return br.count(now, vm, 1)
}

func (br *broker) Finish(now time.Time, vm string) []Envelope {
	return br.count(now, vm, -1)
}

func (br *broker) count(now time.Time, vm string, by int) []Envelope {
	br.wake(now)
	lo := br.lots[vm]
	if lo == nil {
		return br.run(now, nil)
	}
	lo.inFlight += by
	return br.run(now, []*lot{lo})
}

func (br *broker) Receive(now time.Time, envelope Envelope) []Envelope {
	br.wake(now)
	if envelope.To != br.self || br.isDeparted(envelope.From) || br.isReplaced(envelope.From) {
		return br.run(now, nil)
	}
	li := br.addMember(envelope.From)
	br.hear(now, li, envelope.Message)
	switch me := envelope.Message.(type) {
	case Request:
		if li.inView && li.acceptRequest(me) {
			br.takeRequest(now, li, me)
		}
	case Grant:
		if li.inView && li.acceptGrant(me) {
			br.takeGrant(now, li, me)
		}
	}
	return br.run(now, br.ordered)
}

func (br *broker) Tick(now time.Time) []Envelope {
	br.wake(now)
	return br.run(now, br.ordered)
}

func (br *broker) Allowed(now time.Time, vm string) int {
	lo := br.lots[vm]
	if lo == nil {
		return 0
	}
	allowed := 0
	switch {
	case lo.owner == br.self && br.isMandated(now, lo):
		allowed = lo.own
	case now.Sub(br.lastTick) <= br.config.LeaseTime && now.Before(lo.until):
		allowed = lo.allowed
	}
	return min(allowed, lo.Slots, lo.Connections/br.config.MaxEntries)
}

// wake notes that the entry is running. What it owned it loses with its
// mandate. After a pause its view may be stale, and it gives out nothing more
// for a while; after one as long as a lease it must not rely on anything.
func (br *broker) wake(now time.Time) {
	pause := time.Duration(0)
	if !br.lastTick.IsZero() {
		pause = now.Sub(br.lastTick)
	}
	isNew := br.lastTick.IsZero()
	if isNew || pause > br.config.LeaseTime/renewals {
		br.wokenAt = now
	}
	br.lastTick = now
	switch {
	case isNew:
		br.holdBack(now, br.expiry())
	case pause > br.config.LeaseTime:
		br.holdBack(now, br.expiry())
	case pause > br.config.LeaseTime/renewals:
		br.holdBack(now, br.config.LeaseTime/2)
	}
	for _, lo := range br.ordered {
		if pause > br.config.LeaseTime {
			lo.own = 0
			lo.until = time.Time{}
		}
		if lo.owner == br.self && !br.isMandated(now, lo) {
			lo.own = 0
			if now.Before(lo.until) {
				lo.own = lo.allowed
			}
		}
	}
}

// run follows the view, divides the lots given and sends what is due.
func (br *broker) run(now time.Time, lots []*lot) []Envelope {
	if br.updateView(now) {
		lots = br.ordered
	}
	for _, lo := range lots {
		if lo.owner == br.self {
			br.allocate(now, lo)
			br.notify(now, lo)
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
	out := br.out
	br.out = nil
	return out
}

func (br *broker) NextTick() time.Time {
	next := br.lastTick.Add(br.config.LeaseTime / (2 * renewals))
	for _, member := range br.members {
		li := br.links[member]
		next = sooner(next, br.requestDue(br.lastTick, li))
		if li.inView {
			next = sooner(next, br.silentAt(li))
		}
		if li.grantDue {
			next = sooner(next, li.grantedAt.Add(br.config.MinInterval))
		}
	}
	for _, lo := range br.ordered {
		end := later(br.boundOf(lo), lo.held)
		if lo.owner == br.self && br.lastTick.Before(end) {
			next = sooner(next, end)
		}
	}
	return next
}

// queuedAt returns the waiting requests that each target has to expect.
func (br *broker) queuedAt() int {
	count := max(len(br.ordered), 1)
	return (br.queued + count - 1) / count
}

// number returns the sequence for a message sent now.
func (br *broker) number(now time.Time, li *link) uint64 {
	br.sequence++
	li.remember(now, br.sequence)
	return br.sequence
}

func (br *broker) send(li *link, message Message) {
	br.out = append(br.out, Envelope{
		From:    br.self,
		To:      li.peer,
		Message: message,
	})
}

func sooner(first, second time.Time) time.Time {
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
