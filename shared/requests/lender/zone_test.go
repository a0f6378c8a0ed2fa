package lender

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	step       = 5 * time.Millisecond
	maxService = 80 * time.Millisecond
	// healing is the time in which leases end that were given while entries did
	// not see each other.
	healing = 1100 * time.Millisecond
)

var start0 = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// zone runs entries that share targets, in virtual time, with faults drawn
// from a seed.
type zone struct {
	random  *rand.Rand
	now     time.Time
	targets []Target
	// processes has the present process of each entry.
	processes []*process
	mail      []letter
	works     []work
	// loss and doubled are shares of the messages.
	loss, doubled float64
	// cuts is true if the messages from or to an entry may be lost for a while.
	cuts bool
	// vanishes is the chance that a lost entry drops out of a view in a step.
	vanishes float64
	// apart is when two entries last ran that did not see each other, newly
	// booted ones left out.
	apart    time.Time
	breaches []string
}

type process struct {
	entry  Entry
	lender Lender
	// members is the process's view of the zone.
	members []Entry
	booted  time.Time
	dead    bool
	frozen  time.Time
	// deaf and mute are the times until which it gets no messages, and others
	// get none of its.
	deaf, mute time.Time
	queued     int
	running    map[string]int
	// ended names the VMs of attempts that ended, not yet heard of.
	ended []string
}

type letter struct {
	envelope Envelope
	at       time.Time
}

// work is an attempt at a target, which ends even if its entry is gone.
type work struct {
	process *process
	vm      string
	ends    time.Time
}

func newZone(seed uint64, entries int) *zone {
	zo := &zone{
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      start0,
		vanishes: 0.008,
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
		zo.boot(i)
	}
	return zo
}

// boot starts a process of an entry; others see it after a while.
func (zo *zone) boot(index int) {
	incarnation := uint64(1)
	if old := zo.processes[index]; old != nil {
		incarnation = old.entry.Incarnation + 1
	}
	pr := &process{
		entry: Entry{
			Name:        fmt.Sprintf("e%d", index+1),
			Incarnation: incarnation,
		},
		booted:  zo.now,
		running: map[string]int{},
	}
	pr.lender = New(pr.entry, DefaultConfig())
	zo.processes[index] = pr
	zo.post(pr.lender.SetTargets(zo.now, zo.targets))
}

func (pr *process) isRunning(now time.Time) bool { return !pr.dead && !now.Before(pr.frozen) }

func (zo *zone) post(envelopes []Envelope) {
	for _, en := range envelopes {
		copies := zo.copies(en)
		for range copies {
			delay := time.Duration(zo.random.IntN(int(30 * time.Millisecond)))
			zo.mail = append(zo.mail, letter{
				envelope: en,
				at:       zo.now.Add(delay),
			})
		}
	}
}

// copies draws how many copies of a message arrive.
func (zo *zone) copies(en Envelope) int {
	for _, pr := range zo.processes {
		isMute := pr.entry == en.From && zo.now.Before(pr.mute)
		isDeaf := pr.entry == en.To && zo.now.Before(pr.deaf)
		if isMute || isDeaf {
			return 0
		}
	}
	copies := 1
	if zo.random.Float64() < zo.loss {
		copies = 0
	}
	if zo.random.Float64() < zo.doubled {
		copies++
	}
	return copies
}

// see lets every running process learn, with some delay, who is alive.
func (zo *zone) see() {
	for _, pr := range zo.processes {
		if !pr.isRunning(zo.now) {
			continue
		}
		members := slices.Clone(pr.members)
		for _, other := range zo.processes {
			members = zo.judge(pr, other, members)
		}
		if !slices.Equal(members, pr.members) {
			pr.members = members
			zo.post(pr.lender.SetMembers(zo.now, members))
		}
	}
}

// judge adds or drops one entry in a view with some probability at each step.
func (zo *zone) judge(pr, other *process, members []Entry) []Entry {
	const appears = 0.05
	members = slices.DeleteFunc(members, func(en Entry) bool {
		return en.Name == other.entry.Name && en != other.entry
	})
	seen := slices.Contains(members, other.entry)
	alive := other == pr || other.isRunning(zo.now)
	switch {
	case alive && !seen && zo.random.Float64() < appears:
		return append(members, other.entry)
	case !alive && seen && zo.random.Float64() < zo.vanishes:
		return slices.DeleteFunc(members, func(en Entry) bool { return en == other.entry })
	default:
		return members
	}
}

func (zo *zone) advance(by time.Duration) {
	for until := zo.now.Add(by); zo.now.Before(until); {
		zo.now = zo.now.Add(step)
		zo.see()
		zo.deliver()
		zo.finish()
		for _, pr := range zo.processes {
			if pr.isRunning(zo.now) {
				zo.serve(pr)
			}
		}
		zo.check()
	}
}

func (zo *zone) deliver() {
	mail := zo.mail
	zo.mail = nil
	for _, le := range mail {
		index := slices.IndexFunc(zo.processes, func(pr *process) bool { return pr.entry.Name == le.envelope.To.Name })
		pr := zo.processes[index]
		switch {
		case pr.dead:
		case le.at.After(zo.now) || !pr.isRunning(zo.now):
			zo.mail = append(zo.mail, le)
		default:
			zo.post(pr.lender.Receive(zo.now, le.envelope))
		}
	}
}

// finish ends attempts at targets. A frozen entry hears of it later.
func (zo *zone) finish() {
	works := zo.works
	zo.works = nil
	for _, wk := range works {
		if zo.now.Before(wk.ends) {
			zo.works = append(zo.works, wk)
			continue
		}
		wk.process.ended = append(wk.process.ended, wk.vm)
	}
}

func (zo *zone) serve(pr *process) {
	for _, vm := range pr.ended {
		pr.running[vm]--
		zo.post(pr.lender.Finish(zo.now, vm))
	}
	pr.ended = nil
	zo.post(pr.lender.SetQueued(zo.now, pr.queued))
	if !zo.now.Before(pr.lender.NextTick()) {
		zo.post(pr.lender.Tick(zo.now))
	}
	for _, tt := range zo.targets {
		for pr.queued > 0 && pr.running[tt.VM] < pr.lender.Allowed(zo.now, tt.VM) {
			pr.queued--
			pr.running[tt.VM]++
			zo.works = append(zo.works, work{
				process: pr,
				vm:      tt.VM,
				ends:    zo.now.Add(time.Duration(zo.random.IntN(int(maxService)))),
			})
			zo.post(pr.lender.Start(zo.now, tt.VM))
		}
	}
}

// views reports whether the other process is in this one's view.
func (pr *process) views(other *process) bool {
	return slices.Contains(pr.lender.(*broker).peers, other.entry)
}

// noteApart notes when two entries do not see each other, in neither
// direction, even if one of them is frozen. Then each may hold itself for the
// only owner.
func (zo *zone) noteApart() {
	config := DefaultConfig()
	settled := zo.now.Add(-time.Duration(float64(config.LeaseTime) * (1 + config.ClockMargin)))
	for i, pr := range zo.processes {
		for _, other := range zo.processes[:i] {
			isSettled := pr.booted.Before(settled) && other.booted.Before(settled)
			isAlive := !pr.dead && !other.dead
			isSeen := pr.views(other) || other.views(pr)
			if isSettled && isAlive && !isSeen {
				zo.apart = zo.now
			}
		}
	}
}

// check notes a target with more in flight than its slots, or, while entries
// do not see each other, than its connections.
func (zo *zone) check() {
	zo.noteApart()
	inFlight := map[string]int{}
	for _, wk := range zo.works {
		inFlight[wk.vm]++
	}
	for _, tt := range zo.targets {
		limit := tt.Slots
		if zo.now.Sub(zo.apart) <= healing+maxService {
			limit = tt.Connections
		}
		if inFlight[tt.VM] > limit {
			zo.breaches = append(zo.breaches, fmt.Sprintf("%v: %d in flight at %s", zo.now.Sub(start0), inFlight[tt.VM], tt.VM))
		}
	}
}
