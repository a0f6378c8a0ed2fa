package lender

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSlotsNeverExceeded kills and pauses entries, loses, duplicates and
// reorders messages, and checks that no target ever has more attempts in flight
// than slots, and that all slots are allowed again soon after the last fault.
// Attempts are shorter than the margin between the end of a lease and the reuse
// of its slots, so that the attempts of a failed entry end in time.
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
	zo.duplication = float64(seed%3) * 0.1
	zo.partitions = seed%4 == 3
	zo.removalChance = []float64{0.03, 0.008, 0.001}[seed/2%3]
	for range 20 {
		zo.injectFault()
		zo.advance(time.Duration(zo.random.IntN(int(1500 * time.Millisecond))))
	}
	must.SliceEmpty(t, zo.violations, must.Sprintf("seed %d", seed))
	zo.clearFaults()
	zo.loss = 0
	for _, pr := range zo.processes {
		pr.queued = 100_000
	}
	zo.advance(6 * time.Second)
	must.SliceEmpty(t, zo.violations, must.Sprintf("seed %d, after the faults", seed))
	zo.mustHaveFairShares(t, seed)
}

// injectFault injects one random fault or change of demand.
func (zo *zone) injectFault() {
	index := zo.random.IntN(len(zo.processes))
	pr := zo.processes[index]
	faults := 8
	if zo.partitions {
		faults = 10
	}
	switch zo.random.IntN(faults) {
	case 8:
		pr.noReceiveUntil = zo.now.Add(time.Duration(zo.random.IntN(int(5 * time.Second))))
	case 9:
		pr.noSendUntil = zo.now.Add(time.Duration(zo.random.IntN(int(5 * time.Second))))
	case 0:
		pr.dead = true
	case 1:
		if pr.dead {
			zo.startProcess(index)
		}
	case 2, 3, 4:
		pr.pausedUntil = zo.now.Add(time.Duration(zo.random.IntN(int(4 * time.Second))))
	default:
		pr.queued = zo.random.IntN(1000)
	}
}

func (zo *zone) clearFaults() {
	for i, pr := range zo.processes {
		pr.pausedUntil = zo.now
		pr.noReceiveUntil = zo.now
		pr.noSendUntil = zo.now
		if pr.dead {
			zo.startProcess(i)
		}
	}
}

// mustHaveFairShares checks that each entry may use its fair share of the slots
// and that all slots of a target are allowed.
func (zo *zone) mustHaveFairShares(t *testing.T, seed uint64) {
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

// newConvergedZone returns a zone that has run under full demand without faults
// until its leases are stable.
func newConvergedZone(entries int) *zone {
	zo := newZone(1, entries)
	for _, pr := range zo.processes {
		pr.queued = 100_000
	}
	zo.advance(6 * time.Second)
	return zo
}

// TestDemandMovesSlots checks that slots move within 200 ms to an entry whose
// demand rises, and within 400 ms away from one without demand, in both
// directions.
func TestDemandMovesSlots(t *testing.T) {
	zo := newConvergedZone(2)
	first, second := zo.processes[0], zo.processes[1]
	for range 3 {
		first.queued = 0
		zo.advance(400 * time.Millisecond)
		for _, tt := range zo.targets {
			must.GreaterEq(t, 7, second.lender.Allowed(zo.now, tt.VM), must.Sprint(tt.VM))
		}
		first.queued = 100_000
		zo.advance(200 * time.Millisecond)
		zo.mustHaveFairShares(t, 1)
		first, second = second, first
		second.queued = 100_000
	}
}

// TestDepartedEntryFreesSlots checks that the slots of an entry that is known
// to have ended are reused without waiting for its leases to expire.
func TestDepartedEntryFreesSlots(t *testing.T) {
	zo := newConvergedZone(3)
	departed := zo.processes[2]
	departed.dead = true
	zo.processes = zo.processes[:2]
	zo.attempts = slices.DeleteFunc(zo.attempts, func(at attempt) bool { return at.process == departed })
	for _, pr := range zo.processes {
		zo.send(pr.lender.MarkDeparted(zo.now, departed.entry))
	}
	zo.advance(300 * time.Millisecond)
	zo.mustHaveFairShares(t, 1)
	must.SliceEmpty(t, zo.violations)
}

// TestConnectionLimit checks that an entry never uses more than its fraction of
// a target's connections, even if it may use all slots.
func TestConnectionLimit(t *testing.T) {
	le := New(Entry{Name: "e1"}, DefaultConfig())
	le.SetTargets(testStart, []Target{{
		VM:          "a-01",
		Slots:       8,
		Connections: 24,
	}})
	for now := testStart; now.Before(testStart.Add(5 * time.Second)); now = now.Add(100 * time.Millisecond) {
		le.SetQueued(now, 100)
	}
	must.Eq(t, 3, le.Allowed(testStart.Add(5*time.Second), "a-01"))
}

// TestPauseEndsLeases checks that an entry that is alone in its view allows no
// attempts after a pause, because another process may have replaced it
// meanwhile, and recovers later.
func TestPauseEndsLeases(t *testing.T) {
	zo := newConvergedZone(1)
	pr := zo.processes[0]
	must.Eq(t, 8, pr.lender.Allowed(zo.now, "a-01"))
	later := zo.now.Add(1100 * time.Millisecond)
	must.Zero(t, pr.lender.Allowed(later, "a-01"), must.Sprint("before the first call after the pause"))
	pr.lender.Tick(later)
	must.Zero(t, pr.lender.Allowed(later, "a-01"))
	for range 12 {
		later = later.Add(100 * time.Millisecond)
		pr.lender.Tick(later)
	}
	must.Eq(t, 8, pr.lender.Allowed(later, "a-01"))
}

// TestDivide checks how slots are divided by demand.
func TestDivide(t *testing.T) {
	cases := []struct {
		name   string
		slots  int
		wanted []int
		shares []int
	}{
		{
			name:   "no demand",
			slots:  8,
			wanted: []int{0, 0},
			shares: []int{4, 4},
		},
		{
			name:   "demand of one above the slots",
			slots:  8,
			wanted: []int{20, 1},
			shares: []int{7, 1},
		},
		{
			name:   "demand of both above their shares",
			slots:  8,
			wanted: []int{18, 6},
			shares: []int{6, 2},
		},
		{
			name:   "surplus",
			slots:  8,
			wanted: []int{4, 0, 1},
			shares: []int{5, 1, 2},
		},
		{
			name:   "alone",
			slots:  8,
			wanted: []int{0},
			shares: []int{8},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.shares, divide(tc.slots, tc.wanted)) })
	}
}
