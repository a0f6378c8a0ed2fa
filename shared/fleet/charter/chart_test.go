package charter_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/charter"
	"coltsfootwick.example/shared/process/classifier"
)

const doorChart = `
name = "door"
initial = "closed"
[[states]]
name = "closed"
[[states]]
name = "open"
marks = ["passable"]
timeout = "30s"
timeoutEvent = "close"
[[transitions]]
event = "open"
from = ["closed"]
to = "open"
[[transitions]]
event = "close"
from = ["open"]
to = "closed"
`

func ExampleParse() {
	door, err := charter.Parse(doorChart)
	if err != nil {
		fmt.Println(err)
		return
	}
	state, err := door.Next(door.Initial(), "open", classifier.VMBusy)
	fmt.Println(state, err, door.HasMark(state, "passable"))
	// Output: open <nil> true
}

func TestNextRejectsInvalidEventAndState(t *testing.T) {
	door := charter.MustParse(doorChart)
	_, err := door.Next("closed", "close", classifier.VMBusy)
	must.EqOp(t, classifier.VMBusy, classifier.CodeOf(err))
	_, err = door.Next("ajar", "close", classifier.VMBusy)
	must.EqOp(t, classifier.RecordInvalid, classifier.CodeOf(err))
}

func TestExpired(t *testing.T) {
	door := charter.MustParse(doorChart)
	since := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	_, due := door.Expired("open", since, since.Add(29*time.Second))
	must.False(t, due)
	event, due := door.Expired("open", since, since.Add(30*time.Second))
	must.True(t, due)
	must.EqOp(t, "close", event)
	_, due = door.Expired("closed", since, since.Add(time.Hour))
	must.False(t, due)
}

// TestParseRejectsInvalidCharts parses each invalid chart of testdata. The
// first line of the file is a comment that holds part of the expected message.
func TestParseRejectsInvalidCharts(t *testing.T) {
	files, err := filepath.Glob("testdata/bad-*.toml")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			source, err := os.ReadFile(file)
			must.NoError(t, err)
			comment, _, _ := strings.Cut(string(source), "\n")
			_, err = charter.Parse(string(source))
			must.Error(t, err)
			must.StrContains(t, err.Error(), strings.TrimPrefix(comment, "# "))
		})
	}
}
