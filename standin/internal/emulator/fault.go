package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// faultKind is a kind of fault.
type faultKind int

// The kinds of faults.
const (
	// faultKill ends the holder at once.
	faultKill faultKind = iota
	// faultDeaf has another win the duty while the holder goes on.
	faultDeaf
	// faultSplit parts the fleet between the holder, which goes on, and the next.
	faultSplit
	// faultCrash ends workers; they come back with nothing.
	faultCrash
	// faultGone ends a worker for good.
	faultGone
	// faultCut loses the messages to some workers, which run on.
	faultCut
	// faultLate has orders carried out seconds late.
	faultLate
	// faultFailing has a worker fail all that it starts.
	faultFailing
	// faultHanging has what a worker starts stand still.
	faultHanging
	// faultSlow has a worker take longer.
	faultSlow
	// faultOutage takes the store down.
	faultOutage
	// faultDrain has a worker drain and leave.
	faultDrain
	// faultWave has VMs maintained.
	faultWave
	faultKinds
)

// fault is one fault of a day.
type fault struct {
	kind    faultKind
	at      time.Duration
	length  time.Duration
	hasHit  bool
	isOver  bool
	targets []*node
}

// schedule draws the faults of a day. The first kinds of two days in three are
// close together, since faults come correlated.
func schedule(random *rand.Rand) []fault {
	var faults []fault
	at := time.Second
	for range 2 + random.IntN(6) {
		gap := time.Duration(random.IntN(4000)) * time.Millisecond
		if random.IntN(3) > 0 {
			gap /= 8
		}
		at += gap
		faults = append(faults, fault{
			kind:   faultKind(random.IntN(int(faultKinds))),
			at:     at,
			length: time.Second + time.Duration(random.IntN(6000))*time.Millisecond,
		})
	}
	return faults
}

// strike begins and ends the faults that are due.
func (dy *Day) strike() {
	elapsed := dy.now.Sub(dy.begin)
	for idx := range dy.faults {
		ft := &dy.faults[idx]
		switch {
		case !ft.hasHit && elapsed >= ft.at:
			ft.hasHit = true
			dy.begins(ft)
		case ft.hasHit && !ft.isOver && elapsed >= ft.at+ft.length:
			ft.isOver = true
			dy.ends(ft)
		}
	}
}

func (dy *Day) begins(ft *fault) {
	ft.targets = dy.pick(1 + dy.random.IntN(3))
	for _, nd := range ft.targets {
		dy.tracef("fault %d for %s, may concern %s", ft.kind, ft.length, nd.info.ID)
	}
	switch ft.kind {
	case faultKill:
		dy.replaceHolder(dy.now)
	case faultDeaf:
		dy.replaceHolder(dy.now.Add(bounds.MaxOverrun))
	case faultSplit:
		dy.split(dy.now.Add(ft.length))
	case faultOutage:
		dy.store.isDown = true
	case faultWave:
		dy.orderWave()
	case faultGone:
		ft.targets = ft.targets[:1]
		dy.crash(ft.targets, time.Time{})
	case faultCrash:
		dy.crash(ft.targets, dy.now.Add(ft.length))
	default:
		for _, nd := range ft.targets {
			dy.afflict(nd, ft)
		}
	}
}

func (dy *Day) afflict(nd *node, ft *fault) {
	switch ft.kind {
	case faultCut:
		nd.cutUntil = dy.now.Add(ft.length)
	case faultLate:
		nd.lateShare = 0.3
	case faultFailing:
		nd.ex.IsFailing = true
	case faultHanging:
		nd.ex.IsHanging = true
	case faultSlow:
		nd.ex.Slowness = 5
	case faultDrain:
		nd.info.IsDraining = true
		dy.list(nd)
	default:
	}
}

func (dy *Day) ends(ft *fault) {
	switch ft.kind {
	case faultOutage:
		dy.store.isDown = false
		if dy.random.IntN(2) == 0 {
			dy.lapse()
		}
		held := dy.store.held
		dy.store.held = nil
		for _, ev := range held {
			dy.tellAll(ev)
		}
	case faultDrain:
		for _, nd := range ft.targets {
			if nd.isUp {
				dy.unlist(nd)
				dy.crash([]*node{nd}, dy.now.Add(2*time.Second))
			}
		}
	default:
		for _, nd := range ft.targets {
			nd.lateShare = 0
			nd.ex.IsFailing, nd.ex.IsHanging, nd.ex.Slowness = false, false, 1
		}
	}
}

// maxReturn is how long after an outage the workers' entries are back.
const maxReturn = 2 * time.Second

// lapse has what lay in the store under a lease run out during an outage: the
// duty, and the workers' entries, which come back one after the other.
func (dy *Day) lapse() {
	dy.replaceHolder(dy.now)
	dy.nextTermAt = dy.now
	for _, nd := range dy.nodesInOrder() {
		if !nd.isListed {
			continue
		}
		dy.unlist(nd)
		dy.due.add(dy.now.Add(time.Duration(dy.random.Int64N(int64(maxReturn)))), func() {
			if nd.isUp {
				dy.list(nd)
			}
		})
	}
}

// pick returns some nodes.
func (dy *Day) pick(count int) []*node {
	ids := slices.Sorted(maps.Keys(dy.nodes))
	dy.random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	var picked []*node
	for _, id := range ids[:count] {
		picked = append(picked, dy.nodes[id])
	}
	return picked
}

// replaceHolder has the duty won again, while the present holder goes on until
// a time at the latest.
func (dy *Day) replaceHolder(endsAt time.Time) {
	for _, tm := range dy.terms {
		tm.endsAt = endsAt
		tm.isDeaf = dy.random.IntN(2) == 0
	}
	if dy.nextTermAt.IsZero() {
		dy.nextTermAt = dy.now.Add(takeoverTime)
	}
}

// split has the present holder reach one part of the nodes and the next holder
// the other.
func (dy *Day) split(until time.Time) {
	here, there := map[*node]time.Time{}, map[*node]time.Time{}
	for number, nd := range dy.pick(len(dy.nodes)) {
		if number%3 == 0 {
			there[nd] = until
		} else {
			here[nd] = until
		}
	}
	for _, tm := range dy.terms {
		tm.cutFrom = here
	}
	dy.nextCut = there
	dy.replaceHolder(dy.now.Add(bounds.MaxOverrun))
}

// crash ends the present lives of workers.
func (dy *Day) crash(nodes []*node, backAt time.Time) {
	for _, nd := range nodes {
		if !nd.isUp {
			continue
		}
		nd.isUp = false
		dy.dropPoll(nd)
		nd.backAt = backAt
		nd.state = modeller.VMDown
		dy.due.add(dy.now.Add(3*time.Second), func() {
			if !nd.isUp && nd.isListed {
				dy.unlist(nd)
			}
		})
	}
}

// orderWave has half of the VMs maintained.
func (dy *Day) orderWave() {
	if dy.wave != nil {
		return
	}
	dy.wave = &modeller.Wave{
		Number:   1,
		Duration: 20 * time.Second,
		MaxDown:  waveBound,
	}
	for number, id := range slices.Sorted(maps.Keys(dy.nodes)) {
		if number%2 == 0 {
			dy.wave.VMs = append(dy.wave.VMs, dy.nodes[id].info.VM)
		}
	}
	dy.tellAll(allocator.WaveRecorded{Wave: *dy.wave})
}
