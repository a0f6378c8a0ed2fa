package measurer

import (
	"fmt"
	"time"

	"coltsfootwick.example/shared/requests/lender"
	"coltsfootwick.example/shared/requests/scheduler"
)

// entry is one process of an entry in a sharing run.
type entry struct {
	sharing *sharing
	self    lender.Entry
	station *station
	lender  lender.Lender
	members []lender.Entry
	// running counts the attempts at each target.
	running     map[string]int
	dead        bool
	frozenUntil time.Duration
	// targets are those last given to the scheduler.
	targets []scheduler.Target
	tickAt  time.Time
	// busy is true while slots are being set.
	busy bool
}

// boot starts a process of an entry in place of an earlier one.
func (sh *sharing) boot(index int) {
	sh.incarnation++
	en := &entry{
		sharing: sh,
		running: map[string]int{},
		self: lender.Entry{
			Name:        fmt.Sprintf("entry%d", index+1),
			Incarnation: sh.incarnation,
		},
	}
	en.members = []lender.Entry{en.self}
	en.station = newStation(sh.timeline, chosen.build(settings(), newRandom(sh.seed+sh.incarnation)))
	en.station.gate = en
	sh.entries[index] = en
	if sh.way.lends {
		en.bootLender()
	}
	en.refresh()
}

func (en *entry) bootLender() {
	en.lender = lender.New(en.self, lender.DefaultConfig())
	var targets []lender.Target
	for _, tt := range targetsOf(loadedTargets) {
		targets = append(targets, lender.Target{
			VM:          tt.VM,
			Slots:       slotsPerTarget,
			Connections: slotsPerTarget * slotsPerTarget,
		})
	}
	en.post(en.lender.SetTargets(en.now(), targets))
}

func (en *entry) now() time.Time { return en.sharing.timeline.now }

// pass runs a call once the entry is not frozen, unless it is dead.
func (en *entry) pass(call func()) {
	tl := en.sharing.timeline
	switch {
	case en.dead:
	case tl.since() < en.frozenUntil:
		tl.at(epoch.Add(en.frozenUntil), func() { en.pass(call) })
	default:
		en.refresh()
		call()
		en.tellQueue()
	}
}

// started counts an attempt begun.
func (en *entry) started(vm string) {
	en.sharing.changed(en, vm, 1)
	if en.lender != nil {
		en.post(en.lender.Start(en.now(), vm))
	}
}

// ended counts an attempt ended at its target.
func (en *entry) ended(vm string) {
	en.sharing.changed(en, vm, -1)
	if en.lender != nil {
		en.pass(func() { en.post(en.lender.Finish(en.now(), vm)) })
	}
}

func (en *entry) setMembers(members []lender.Entry) {
	en.members = members
	if en.lender != nil {
		en.post(en.lender.SetMembers(en.now(), members))
	}
	en.refresh()
}

// sees reports whether another entry is in the view.
func (en *entry) sees(other *entry) bool {
	for _, me := range en.members {
		if me.Name == other.self.Name {
			return true
		}
	}
	return false
}

// load returns the work held for each slot.
func (en *entry) load() float64 {
	stats := en.station.scheduler.Stats()
	return float64(stats.Queued+stats.Running) / float64(max(stats.Slots, 1))
}

// tellQueue tells the lender how much work waits, and takes what it lends.
func (en *entry) tellQueue() {
	if en.lender == nil {
		return
	}
	en.post(en.lender.SetQueued(en.now(), en.station.scheduler.Stats().Queued))
	en.refresh()
	en.arrangeTick()
}

func (en *entry) arrangeTick() {
	next := en.lender.NextTick()
	if !en.tickAt.IsZero() && !next.Before(en.tickAt) && en.tickAt.After(en.now()) {
		return
	}
	en.tickAt = next
	en.sharing.timeline.at(next, func() {
		if en.tickAt.Equal(next) {
			en.pass(func() {
				en.tickAt = time.Time{}
				en.post(en.lender.Tick(en.now()))
			})
		}
	})
}

// post sends messages to the peers.
func (en *entry) post(envelopes []lender.Envelope) {
	for _, ev := range envelopes {
		en.sharing.messages++
		en.sharing.timeline.after(hopTime, func() { en.sharing.deliver(ev) })
	}
}

func (sh *sharing) deliver(ev lender.Envelope) {
	for _, en := range sh.entries {
		if en.self == ev.To {
			en.pass(func() { en.post(en.lender.Receive(en.now(), ev)) })
		}
	}
}

// refresh gives the scheduler the slots that the entry may use now.
func (en *entry) refresh() {
	if en.busy {
		return
	}
	en.busy = true
	defer func() { en.busy = false }()
	targets := targetsOf(loadedTargets)
	changed := len(en.targets) == 0
	for i := range targets {
		targets[i].Slots = en.slots(i, targets[i].VM)
		changed = changed || targets[i].Slots != en.targets[i].Slots
	}
	if !changed {
		return
	}
	en.targets = targets
	en.station.setTargets(targets)
}

// slots returns the slots that the entry may use of a target.
func (en *entry) slots(index int, vm string) int {
	switch {
	case en.sharing.way.lends:
		return en.lender.Allowed(en.now(), vm)
	case en.sharing.way.forwards:
		return en.ownedSlots(index)
	default:
		return slotsPerTarget / len(en.members)
	}
}

// ownedSlots returns all slots of the targets that the entry owns by its view.
// The first entry owns two of three targets.
func (en *entry) ownedSlots(index int) int {
	isFirst := en == en.sharing.entries[0]
	isAlone := len(en.members) == 1
	if isAlone || isFirst == (index%2 == 0) {
		return slotsPerTarget
	}
	return 0
}
