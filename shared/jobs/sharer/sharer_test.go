package sharer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var begin = time.Unix(1_700_000_000, 0)

// ExampleSharer shows a team that takes most of a pool, and one that takes its share.
func ExampleSharer() {
	sr := New()
	sr.SetWeights(map[string]float64{"a": 1, "b": 1, "c": 2})
	sr.Charge(begin, "a", 80*time.Second)
	sr.Charge(begin, "b", 10*time.Second)
	sr.Charge(begin, "c", 10*time.Second)
	fmt.Println(sr.Excess(begin, "a"), sr.Excess(begin, "b"), sr.Excess(begin, "c"))
	// Output:
	// 1 0 0
}

// TestExcessIsRelativeToTheWeight guards against shares that ignore the weights.
func TestExcessIsRelativeToTheWeight(t *testing.T) {
	sr := New()
	sr.SetWeights(map[string]float64{"a": 1, "b": 8, "c": 16})
	sr.Charge(begin, "a", 50*time.Second)
	sr.Charge(begin, "b", 50*time.Second)
	must.Eq(t, 3, sr.Excess(begin, "a"))
	must.Eq(t, 0, sr.Excess(begin, "b"))
	sr.SetWeights(map[string]float64{"a": 8, "b": 1, "c": 16})
	must.Eq(t, 0, sr.Excess(begin, "a"))
	must.Eq(t, 3, sr.Excess(begin, "b"))
	sr.SetWeights(nil)
	must.Eq(t, 0, sr.Excess(begin, "b"), must.Sprint("without teams there are no shares"))
}

// TestChargesDecay guards against a team that is behind the others long after a flood, and
// against sums that overflow or grow with the time.
func TestChargesDecay(t *testing.T) {
	sr := New()
	sr.SetWeights(map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1})
	now := begin
	sr.Charge(now, "a", time.Hour)
	must.Eq(t, 2, sr.Excess(now, "a"))
	must.Eq(t, 0, sr.Excess(now.Add(time.Minute), "a"), must.Sprint("nothing else was started"))
	for range 100_000 {
		now = now.Add(100 * time.Millisecond)
		sr.Charge(now, "b", 5*time.Second)
		sr.Charge(now, "c", 5*time.Second)
	}
	must.Eq(t, 0, sr.Excess(now, "a"))
	must.Eq(t, 1, sr.Excess(now, "b"))
	must.MapLen(t, 2, sr.charges)
}

// TestOddWeightsAreReplaced guards against divisions by zero and teams without a share.
func TestOddWeightsAreReplaced(t *testing.T) {
	sr := New()
	sr.SetWeights(map[string]float64{"a": 0, "b": -1})
	sr.Charge(begin, "a", time.Minute)
	sr.Charge(begin, "unknown", time.Minute)
	must.Eq(t, 0, sr.Excess(begin, "a"))
	must.Eq(t, 0, sr.Excess(begin, "unknown"))
	sr.Charge(begin, "a", time.Hour)
	must.Eq(t, 1, sr.Excess(begin, "a"))
}
