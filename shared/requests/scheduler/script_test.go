package scheduler

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "write the observed actions into the scripts")

var resultNames = map[string]Result{
	"succeeded":    Succeeded,
	"failed":       Failed,
	"failedUnread": FailedUnread,
	"refused":      Refused,
	"cancelled":    Cancelled,
}

// TestScripts runs the calls in testdata/*.txt. Each call is one line, followed
// by the expected actions on indented lines.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			content, err := os.ReadFile(file)
			must.NoError(t, err)
			got := runScript(t, string(content))
			if *update {
				must.NoError(t, os.WriteFile(file, []byte(got), 0o600))
			}
			must.Eq(t, string(content), got)
		})
	}
}

func runScript(t *testing.T, script string) string {
	mo := newModel(testConfig())
	var out strings.Builder
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, "    ") {
			continue
		}
		out.WriteString(line)
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		for _, an := range runCall(t, mo, fields[0], fields[1:]) {
			fmt.Fprintf(&out, "    %s\n", an)
		}
	}
	must.SliceEmpty(t, mo.violations)
	return out.String()
}

func runCall(t *testing.T, mo *model, call string, args []string) []string {
	mo.log = nil
	applyCall(t, mo, call, args)
	return mo.log
}

func applyCall(t *testing.T, mo *model, call string, args []string) {
	switch call {
	case "config":
		for _, arg := range args {
			setConfig(t, &mo.config, arg)
		}
		mo.apply(mo.scheduler.Configure(mo.now, mo.config))
	case "targets":
		var targets []Target
		for _, arg := range args {
			targets = append(targets, parseTarget(t, arg))
		}
		mo.setTargets(targets)
	case "submit":
		submitMany(t, mo, args)
	case "cancel":
		mo.cancel(RequestID(parseInt(t, args[0])))
	case "finish":
		mo.finish(findAttempt(t, mo, args[0]), resultNames[args[1]], parseDuration(t, args[2]))
	case "finishOn":
		finishOn(mo, args[0], resultNames[args[1]], parseDuration(t, args[2]))
	case "advance":
		mo.advance(parseDuration(t, args[0]))
	case "ejected":
		must.Eq(t, parseInt(t, args[0]), mo.scheduler.Stats().Ejected)
	default:
		t.Fatalf("unknown call %q", call)
	}
}

func setConfig(t *testing.T, config *Config, arg string) {
	name, value, _ := strings.Cut(arg, "=")
	number, _ := strconv.ParseFloat(value, 64)
	switch name {
	case "maxQueued":
		config.MaxQueued = int(number)
	case "maxQueuedBytes":
		config.MaxQueuedBytes = int64(number)
	case "longShare":
		config.LongShare = number
	case "retryShare":
		config.RetryShare = number
	case "maxEjectedShare":
		config.MaxEjectedShare = number
	case "maxQueueDelay":
		config.MaxQueueDelay = parseDuration(t, value)
	case "hedgeAfter":
		config.HedgeAfter = parseDuration(t, value)
	default:
		t.Fatalf("unknown setting %q", name)
	}
}

// parseTarget parses VM/RACK/SLOTS, optionally followed by /leaving.
func parseTarget(t *testing.T, arg string) Target {
	parts := strings.Split(arg, "/")
	return Target{
		VM:      parts[0],
		Rack:    parts[1],
		Slots:   parseInt(t, parts[2]),
		Leaving: len(parts) > 3,
	}
}

// submitMany submits the requests FIRST or FIRST-LAST with the given
// attributes.
func submitMany(t *testing.T, mo *model, args []string) {
	request := Request{
		Deadline:   mo.now.Add(10 * time.Second),
		Repeatable: true,
	}
	for _, arg := range args[1:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "urgency":
			request.Urgency = parseInt(t, value)
		case "bytes":
			request.Bytes = int64(parseInt(t, value))
		case "deadline":
			request.Deadline = mo.now.Add(parseDuration(t, value))
		case "once":
			request.Repeatable = false
		default:
			t.Fatalf("unknown attribute %q", name)
		}
	}
	first, last, ranged := strings.Cut(args[0], "-")
	if !ranged {
		last = first
	}
	for id := parseInt(t, first); id <= parseInt(t, last); id++ {
		request.ID = RequestID(id)
		mo.submit(request)
	}
}

// finishOn finishes all attempts in flight on a VM.
func finishOn(mo *model, vm string, result Result, latency time.Duration) {
	for _, at := range slices.Clone(mo.running) {
		if at.VM == vm {
			mo.finish(slices.Index(mo.running, at), result, latency)
		}
	}
}

func findAttempt(t *testing.T, mo *model, name string) int {
	for i, at := range mo.running {
		if fmt.Sprintf("%d#%d", at.Request, at.Number) == name {
			return i
		}
	}
	t.Fatalf("attempt %s is not in flight", name)
	return 0
}

func describe(an Action) string {
	switch an := an.(type) {
	case Start:
		suffix := ""
		if an.Hedge {
			suffix = " as a hedge"
		}
		return fmt.Sprintf("start %d#%d on %s%s", an.Attempt.Request, an.Attempt.Number, an.Attempt.VM, suffix)
	case Refuse:
		return fmt.Sprintf("refuse %d: %s, repeat %t", an.Request, an.Code, an.RetryAfter > 0)
	case GiveUp:
		return fmt.Sprintf("give up %d", an.Request)
	case Abandon:
		return fmt.Sprintf("abandon %d#%d", an.Attempt.Request, an.Attempt.Number)
	default:
		return fmt.Sprintf("%T", an)
	}
}

func parseInt(t *testing.T, text string) int {
	number, err := strconv.Atoi(text)
	must.NoError(t, err)
	return number
}

func parseDuration(t *testing.T, text string) time.Duration {
	duration, err := time.ParseDuration(text)
	must.NoError(t, err)
	return duration
}
