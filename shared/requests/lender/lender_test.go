package lender

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSlotsNeverExceeded kills and freezes entries, loses, doubles and
// reorders messages, and checks that no target ever has more in flight than
// its slots, and that all slots are in use soon after the last fault. Work is
// shorter than the margin by which leases outlast their use, so that what a
// lost entry left behind has ended in time.
func TestSlotsNeverExceeded(t *testing.T) {
	const groups = 10
	seeds := uint64(20)
	if testing.Short() {
		seeds = 5
	}
	for group := range uint64(groups) {
		t.Run(fmt.Sprintf("group=%d", group), func(t *testing.T) {
			t.Parallel()
			for seed := group * seeds; seed < (group+1)*seeds; seed++ {
				runFaults(t, seed)
			}
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	t.Helper()
	zo := newZone(seed, 2+int(seed%3))
	zo.loss = float64(seed%4) * 0.05
	zo.doubled = float64(seed%3) * 0.1
	zo.cuts = seed%4 == 3
	zo.vanishes = []float64{0.03, 0.008, 0.001}[seed/2%3]
	for range 20 {
		zo.disturb()
		zo.advance(time.Duration(zo.random.IntN(int(1500 * time.Millisecond))))
	}
	must.SliceEmpty(t, zo.breaches, must.Sprintf("seed %d", seed))
	zo.heal()
	zo.loss = 0
	for _, pr := range zo.processes {
		pr.queued = 100_000
	}
	zo.advance(6 * time.Second)
	must.SliceEmpty(t, zo.breaches, must.Sprintf("seed %d, healed", seed))
	zo.mustShareFairly(t, seed)
}

// disturb brings about one fault or change of demand.
func (zo *zone) disturb() {
	index := zo.random.IntN(len(zo.processes))
	pr := zo.processes[index]
	faults := 8
	if zo.cuts {
		faults = 10
	}
	switch zo.random.IntN(faults) {
	case 8:
		pr.deaf = zo.now.Add(time.Duration(zo.random.IntN(int(5 * time.Second))))
	case 9:
		pr.mute = zo.now.Add(time.Duration(zo.random.IntN(int(5 * time.Second))))
	case 0:
		pr.dead = true
	case 1:
		if pr.dead {
			zo.boot(index)
		}
	case 2, 3, 4:
		pr.frozen = zo.now.Add(time.Duration(zo.random.IntN(int(4 * time.Second))))
	default:
		pr.queued = zo.random.IntN(1000)
	}
}

func (zo *zone) heal() {
	for i, pr := range zo.processes {
		pr.frozen = zo.now
		pr.deaf = zo.now
		pr.mute = zo.now
		if pr.dead {
			zo.boot(i)
		}
	}
}

// mustShareFairly checks that each entry has its fair share of the slots.
func (zo *zone) mustShareFairly(t *testing.T, seed uint64) {
	t.Helper()
	for _, tt := range zo.targets {
		total := 0
		for _, pr := range zo.processes {
			allowed := pr.lender.Allowed(zo.now, tt.VM)
			total += allowed
			must.GreaterEq(t, tt.Slots/len(zo.processes), allowed, must.Sprintf("seed %d: %s at %s", seed, tt.VM, pr.entry.Name))
		}
		must.Eq(t, tt.Slots, total, must.Sprintf("seed %d: %s", seed, tt.VM))
	}
}

// settle lets a zone without faults come to rest under full demand.
func settle(entries int) *zone {
	zo := newZone(1, entries)
	for _, pr := range zo.processes {
		pr.queued = 100_000
	}
	zo.advance(6 * time.Second)
	return zo
}

// TestDemandMovesSlots checks that slots follow demand within a fifth of a
// second, in both directions.
func TestDemandMovesSlots(t *testing.T) {
	zo := settle(2)
	first, second := zo.processes[0], zo.processes[1]
	for range 3 {
		first.queued = 0
		zo.advance(400 * time.Millisecond)
		for _, tt := range zo.targets {
			must.GreaterEq(t, 7, second.lender.Allowed(zo.now, tt.VM), must.Sprint(tt.VM))
		}
		first.queued = 100_000
		zo.advance(200 * time.Millisecond)
		zo.mustShareFairly(t, 1)
		first, second = second, first
		second.queued = 100_000
	}
}

// TestDepartedHandsBack checks that the slots of an entry that is known to be
// gone are free as soon as its peers have heard of each other.
func TestDepartedHandsBack(t *testing.T) {
	zo := settle(3)
	gone := zo.processes[2]
	gone.dead = true
	zo.processes = zo.processes[:2]
	zo.works = slices.DeleteFunc(zo.works, func(wk work) bool { return wk.process == gone })
	for _, pr := range zo.processes {
		zo.post(pr.lender.MarkDeparted(zo.now, gone.entry))
	}
	zo.advance(300 * time.Millisecond)
	zo.mustShareFairly(t, 1)
	must.SliceEmpty(t, zo.breaches)
}

// TestConnections checks that an entry never uses more than its part of a
// target's connections, whatever its share of the slots.
func TestConnections(t *testing.T) {
	le := New(Entry{Name: "e1"}, DefaultConfig())
	le.SetTargets(start0, []Target{{
		VM:          "a-01",
		Slots:       8,
		Connections: 24,
	}})
	for now := start0; now.Before(start0.Add(5 * time.Second)); now = now.Add(100 * time.Millisecond) {
		le.SetQueued(now, 100)
	}
	must.Eq(t, 3, le.Allowed(start0.Add(5*time.Second), "a-01"))
}

// TestPauseEndsRights checks that an entry alone in its view, which may have
// been replaced while it was paused, starts over.
func TestPauseEndsRights(t *testing.T) {
	zo := settle(1)
	pr := zo.processes[0]
	must.Eq(t, 8, pr.lender.Allowed(zo.now, "a-01"))
	later := zo.now.Add(1100 * time.Millisecond)
	must.Zero(t, pr.lender.Allowed(later, "a-01"), must.Sprint("before any call"))
	pr.lender.Tick(later)
	must.Zero(t, pr.lender.Allowed(later, "a-01"))
	for range 12 {
		later = later.Add(100 * time.Millisecond)
		pr.lender.Tick(later)
	}
	must.Eq(t, 8, pr.lender.Allowed(later, "a-01"))
}

// TestDivide checks the division of slots.
func TestDivide(t *testing.T) {
	cases := []struct {
		name   string
		slots  int
		wants  []int
		shares []int
	}{
		{
			name:   "no wants",
			slots:  8,
			wants:  []int{0, 0},
			shares: []int{4, 4},
		},
		{
			name:   "one in need",
			slots:  8,
			wants:  []int{20, 1},
			shares: []int{7, 1},
		},
		{
			name:   "both in need",
			slots:  8,
			wants:  []int{18, 6},
			shares: []int{6, 2},
		},
		{
			name:   "surplus",
			slots:  8,
			wants:  []int{4, 0, 1},
			shares: []int{5, 1, 2},
		},
		{
			name:   "alone",
			slots:  8,
			wants:  []int{0},
			shares: []int{8},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.shares, divide(tc.slots, tc.wants)) })
	}
}
