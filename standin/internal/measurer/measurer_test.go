package measurer

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
)

// TestSameFigures checks that a study gives the same figures every time.
func TestSameFigures(t *testing.T) {
	measure := func(seed uint64) []figure { return ejectionFigures(chosen, seed, "One", loadedTargets, 1) }
	must.Eq(t, measure(3), measure(3))
	must.NotEq(t, measure(3), measure(4))
}

// TestBounds checks the embedded bounds, and that faulty ones are refused.
func TestBounds(t *testing.T) {
	bounds, err := loadBounds(boundsFile)
	must.NoError(t, err)
	must.SliceNotEmpty(t, bounds)
	_, err = loadBounds("[[bounds]]\nname = \"x\"\n")
	must.Eq(t, classifier.Internal, classifier.CodeOf(err))
	_, err = loadBounds("[[bounds]]\nname = \"x\"\nless = 1\n")
	must.Eq(t, classifier.Internal, classifier.CodeOf(err))
}

// TestPrintFigures checks the lines and the count of figures past a bound.
func TestPrintFigures(t *testing.T) {
	bounds, err := loadBounds(`
[[bounds]]
name = "start*.policy"
atMost = 1.0
source = "test"

[[bounds]]
name = "kept.policy"
atLeast = 0.95
source = "test"
`)
	must.NoError(t, err)
	figures := []figure{
		{
			name:  "startDelay.policy",
			value: 1.5,
			unit:  "s",
		},
		{
			name:  "startDelay.fifo",
			value: 1.5,
			unit:  "s",
		},
		{
			name:  "kept.policy",
			value: 0.95,
			unit:  "share",
		},
	}
	var out bytes.Buffer
	must.Eq(t, 1, printFigures(&out, bounds, figures))
	must.Zero(t, printUnmatched(&out, bounds, []measured{{figures: figures}}))
	must.Eq(t, "startDelay.policy 1.5 s <=1 over\nstartDelay.fifo 1.5 s none ok\nkept.policy 0.95 share >=0.95 ok\n", out.String())
	out.Reset()
	must.Eq(t, 1, printUnmatched(&out, bounds, []measured{{figures: figures[:2]}}))
	must.Eq(t, "kept.policy missing - >=0.95 over\n", out.String())
}

// TestReport checks that a report has a table and a chart.
func TestReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "policy.md")
	results := []measured{{
		study: study{
			name:   "retries",
			title:  "Retries",
			charts: []string{"retryAmplification"},
		},
		figures: []figure{
			{
				name:  "retryAmplification.policy",
				value: 1.05,
				unit:  "attempts/request",
			},
			{
				name:  "retryAmplification.noBudget",
				value: 4,
				unit:  "attempts/request",
			},
		},
	}}
	bounds, err := loadBounds(boundsFile)
	must.NoError(t, err)
	must.NoError(t, writeReport(file, 1, bounds, results))
	page, err := os.ReadFile(file)
	must.NoError(t, err)
	must.StrContains(t, string(page), "| retryAmplification | attempts/request | **1.05** | 4 |")
	must.FileExists(t, filepath.Join(filepath.Dir(file), "policy-retryAmplification.svg"))
}

// TestTimeline checks that events run in the order of their times, and equal
// ones in the order in which they were arranged.
func TestTimeline(t *testing.T) {
	tl := newTimeline()
	var seen []int
	tl.after(2*time.Second, func() { seen = append(seen, 3) })
	tl.after(time.Second, func() {
		seen = append(seen, 1)
		tl.after(0, func() { seen = append(seen, 2) })
	})
	tl.after(3*time.Second, func() { seen = append(seen, 4) })
	tl.run(2 * time.Second)
	must.Eq(t, []int{1, 2, 3}, seen)
	must.Eq(t, 2*time.Second, tl.since())
}
