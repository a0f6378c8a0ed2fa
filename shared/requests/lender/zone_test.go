package lender

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	step           = 5 * time.Millisecond
	maxServiceTime = 80 * time.Millisecond
	// convergenceTime is the time after a partition within which leases granted
	// during the partition expire.
	convergenceTime = 1100 * time.Millisecond
)

var testStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// zone simulates entries that share targets in virtual time, with random faults
// drawn from a seed.
type zone struct {
	random  *rand.Rand
	now     time.Time
	targets []Target
	// processes holds the current process of each entry.
	processes  []*process
	deliveries []delivery
	attempts   []attempt
	// loss and duplication are the fractions of messages that are lost and
	// duplicated.
	loss, duplication float64
	// partitions is true if all messages to or from an entry may be lost for
	// some time.
	partitions bool
	// removalChance is the chance per step that a failed entry is removed from
	// a list of members.
	removalChance float64
	// partitionedAt is when two entries last ran without having each other in
	// view, except for newly started ones.
	partitionedAt time.Time
	violations    []string
}

type process struct {
	entry  Entry
	lender Lender
	// members is the list of members as known to the process.
	members     []Entry
	startedAt   time.Time
	dead        bool
	pausedUntil time.Time
	// noReceiveUntil and noSendUntil are the times until which all messages to
	// and from the process are lost.
	noReceiveUntil, noSendUntil time.Time
	queued                      int
	running                     map[string]int
	// finished lists the VMs of ended attempts that have not yet been reported
	// to the lender.
	finished []string
}

type delivery struct {
	envelope Envelope
	dueAt    time.Time
}

// attempt is an attempt at a target. It runs to its end even if its entry is
// killed.
type attempt struct {
	process *process
	vm      string
	endsAt  time.Time
}

func newZone(seed uint64, entries int) *zone {
	zo := &zone{
		random:        rand.New(rand.NewPCG(seed, 1)),
		now:           testStart,
		removalChance: 0.008,
	}
	for i := range 3 {
		zo.targets = append(zo.targets, Target{
			VM:          fmt.Sprintf("a-%02d", i+1),
			Slots:       8,
			Connections: 64,
		})
	}
	zo.processes = make([]*process, entries)
	for i := range entries {
		zo.startProcess(i)
	}
	return zo
}

// startProcess starts a process of an entry. The other entries are notified
// after a random delay.
func (zo *zone) startProcess(index int) {
	incarnation := uint64(1)
	if old := zo.processes[index]; old != nil {
		incarnation = old.entry.Incarnation + 1
	}
	pr := &process{
		entry: Entry{
			Name:        fmt.Sprintf("e%d", index+1),
			Incarnation: incarnation,
		},
		startedAt: zo.now,
		running:   map[string]int{},
	}
	pr.lender = New(pr.entry, DefaultConfig())
	zo.processes[index] = pr
	zo.send(pr.lender.SetTargets(zo.now, zo.targets))
}

func (pr *process) isRunning(now time.Time) bool { return !pr.dead && !now.Before(pr.pausedUntil) }

func (zo *zone) send(envelopes []Envelope) {
	for _, en := range envelopes {
		copies := zo.copies(en)
		for range copies {
			delay := time.Duration(zo.random.IntN(int(30 * time.Millisecond)))
			zo.deliveries = append(zo.deliveries, delivery{
				envelope: en,
				dueAt:    zo.now.Add(delay),
			})
		}
	}
}

// copies draws the number of copies of a message that are delivered.
func (zo *zone) copies(en Envelope) int {
	for _, pr := range zo.processes {
		cannotSend := pr.entry == en.From && zo.now.Before(pr.noSendUntil)
		cannotReceive := pr.entry == en.To && zo.now.Before(pr.noReceiveUntil)
		if cannotSend || cannotReceive {
			return 0
		}
	}
	copies := 1
	if zo.random.Float64() < zo.loss {
		copies = 0
	}
	if zo.random.Float64() < zo.duplication {
		copies++
	}
	return copies
}

// updateMembers updates the list of members of every running process, with a
// random delay.
func (zo *zone) updateMembers() {
	for _, pr := range zo.processes {
		if !pr.isRunning(zo.now) {
			continue
		}
		members := slices.Clone(pr.members)
		for _, other := range zo.processes {
			members = zo.updateMember(pr, other, members)
		}
		if !slices.Equal(members, pr.members) {
			pr.members = members
			zo.send(pr.lender.SetMembers(zo.now, members))
		}
	}
}

// updateMember adds an entry to a list of members or removes it, with some
// probability in each step.
func (zo *zone) updateMember(pr, other *process, members []Entry) []Entry {
	const additionChance = 0.05
	members = slices.DeleteFunc(members, func(en Entry) bool {
		return en.Name == other.entry.Name && en != other.entry
	})
	listed := slices.Contains(members, other.entry)
	alive := other == pr || other.isRunning(zo.now)
	switch {
	case alive && !listed && zo.random.Float64() < additionChance:
		return append(members, other.entry)
	case !alive && listed && zo.random.Float64() < zo.removalChance:
		return slices.DeleteFunc(members, func(en Entry) bool { return en == other.entry })
	default:
		return members
	}
}

func (zo *zone) advance(by time.Duration) {
	for until := zo.now.Add(by); zo.now.Before(until); {
		zo.now = zo.now.Add(step)
		zo.updateMembers()
		zo.deliver()
		zo.finish()
		for _, pr := range zo.processes {
			if pr.isRunning(zo.now) {
				zo.dispatch(pr)
			}
		}
		zo.check()
	}
}

func (zo *zone) deliver() {
	deliveries := zo.deliveries
	zo.deliveries = nil
	for _, de := range deliveries {
		index := slices.IndexFunc(zo.processes, func(pr *process) bool { return pr.entry.Name == de.envelope.To.Name })
		pr := zo.processes[index]
		switch {
		case pr.dead:
		case de.dueAt.After(zo.now) || !pr.isRunning(zo.now):
			zo.deliveries = append(zo.deliveries, de)
		default:
			zo.send(pr.lender.Receive(zo.now, de.envelope))
		}
	}
}

// finish ends attempts at targets. A paused entry is notified after its pause.
func (zo *zone) finish() {
	attempts := zo.attempts
	zo.attempts = nil
	for _, at := range attempts {
		if zo.now.Before(at.endsAt) {
			zo.attempts = append(zo.attempts, at)
			continue
		}
		at.process.finished = append(at.process.finished, at.vm)
	}
}

func (zo *zone) dispatch(pr *process) {
	for _, vm := range pr.finished {
		pr.running[vm]--
		zo.send(pr.lender.Finish(zo.now, vm))
	}
	pr.finished = nil
	zo.send(pr.lender.SetQueued(zo.now, pr.queued))
	if !zo.now.Before(pr.lender.NextTick()) {
		zo.send(pr.lender.Tick(zo.now))
	}
	for _, tt := range zo.targets {
		for pr.queued > 0 && pr.running[tt.VM] < pr.lender.Allowed(zo.now, tt.VM) {
			pr.queued--
			pr.running[tt.VM]++
			zo.attempts = append(zo.attempts, attempt{
				process: pr,
				vm:      tt.VM,
				endsAt:  zo.now.Add(time.Duration(zo.random.IntN(int(maxServiceTime)))),
			})
			zo.send(pr.lender.Start(zo.now, tt.VM))
		}
	}
}

// hasInView reports whether the other process is in this one's view.
func (pr *process) hasInView(other *process) bool {
	return slices.Contains(pr.lender.(*broker).peers, other.entry)
}

// recordPartition records when two entries don't have each other in view, in
// either direction, even if one of them is paused. Then each may consider
// itself the only owner.
func (zo *zone) recordPartition() {
	config := DefaultConfig()
	stableIfStartedBefore := zo.now.Add(-time.Duration(float64(config.LeaseTime) * (1 + config.MaxClockDrift)))
	for i, pr := range zo.processes {
		for _, other := range zo.processes[:i] {
			bothStable := pr.startedAt.Before(stableIfStartedBefore) && other.startedAt.Before(stableIfStartedBefore)
			bothAlive := !pr.dead && !other.dead
			inView := pr.hasInView(other) || other.hasInView(pr)
			if bothStable && bothAlive && !inView {
				zo.partitionedAt = zo.now
			}
		}
	}
}

// check records a violation if a target has more attempts in flight than slots,
// or, during a partition, than connections.
func (zo *zone) check() {
	zo.recordPartition()
	inFlight := map[string]int{}
	for _, at := range zo.attempts {
		inFlight[at.vm]++
	}
	for _, tt := range zo.targets {
		limit := tt.Slots
		if zo.now.Sub(zo.partitionedAt) <= convergenceTime+maxServiceTime {
			limit = tt.Connections
		}
		if inFlight[tt.VM] > limit {
			zo.violations = append(zo.violations, fmt.Sprintf("%v: %d attempts in flight at %s exceed its limit", zo.now.Sub(testStart), inFlight[tt.VM], tt.VM))
		}
	}
}
