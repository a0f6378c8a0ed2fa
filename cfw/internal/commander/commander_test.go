package commander_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/cfw/internal/commander"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// harness runs commands against an in-memory platform with nodes and VMs.
type harness struct {
	t     *testing.T
	store *keeper.Zone
	clock time.Time
}

func newHarness(t *testing.T) *harness {
	return &harness{
		t: t,
		store: keeper.New(
			keeper.WithVMs(listedVM("a-01", "a"), listedVM("a-02", "a"), listedVM("b-01", "b")),
			keeper.WithListLag(0),
		).Zone("a"),
		clock: time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC),
	}
}

func listedVM(name, zone string) storer.VM {
	return storer.VM{
		Name:    name,
		Zone:    zone,
		Rack:    zone + "-r1",
		Address: netip.MustParseAddrPort("127.0.1.7:9000"),
		State:   storer.Live,
	}
}

// now advances the clock by a minute and returns its time.
func (hs *harness) now() time.Time {
	hs.clock = hs.clock.Add(time.Minute)
	return hs.clock
}

func (hs *harness) registerVM(name, zone, pool string) {
	ry := recorder.NewRepository(hs.store, recorder.WithClock(hs.now), recorder.WithAuthor("steward-"+zone))
	_, err := ry.Change(hs.t.Context(), zone, "listed by the platform", recorder.SetFloors{
		Revision: 1,
		Floors: map[string]recorder.Floor{
			"claims": {},
			"spare":  {},
		},
	}, recorder.Register{
		VM: recorder.VM{
			Name:    name,
			Rack:    zone + "-r1",
			Address: netip.MustParseAddrPort("127.0.1.7:9000"),
			Pool:    pool,
		},
	})
	must.NoError(hs.t, err)
}

// addNode registers a node as a member and serves its status page.
func (hs *harness) addNode(name string, handler http.Handler) {
	server := httptest.NewServer(handler)
	hs.t.Cleanup(server.Close)
	data, err := reporter.EncodeMember(reporter.Member{
		Name:             name,
		Role:             reporter.Entry,
		Zone:             "a",
		OperatorsAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
	})
	must.NoError(hs.t, err)
	_, err = hs.store.Put(hs.t.Context(), reporter.MemberKey(name), data, 0, 0)
	must.NoError(hs.t, err)
}

// nodeHandler returns the status page of a node whose settings revision is lag
// behind the head.
func (hs *harness) nodeHandler(name string, lag uint64) http.Handler {
	rp := configurer.NewRepository(hs.store)
	return reporter.NewHandler(func() reporter.Status {
		head, _ := rp.Head(context.Background())
		return reporter.Status{
			Name:             name,
			Role:             reporter.Entry,
			Zone:             "a",
			SettingsRevision: max(head.Revision, lag) - lag,
		}
	})
}

// run runs a command line and returns its transcript.
func (hs *harness) run(args ...string) (int, string) {
	return hs.runUntil("no text interrupts this command", args...)
}

// runUntil is like run, but interrupts the command once it has written the text to
// standard error.
func (hs *harness) runUntil(text string, args ...string) (int, string) {
	ctx, cancel := context.WithCancel(hs.t.Context())
	defer cancel()
	var stdout bytes.Buffer
	stderr := interrupter{
		text:   text,
		cancel: cancel,
	}
	cm := commander.New(
		commander.WithStreams(strings.NewReader(""), &stdout, &stderr),
		commander.WithClock(hs.now),
		commander.WithPlatform(func(string) (storer.Store, storer.Fleet) { return hs.store, hs.store }),
	)
	code := cm.Run(ctx, append([]string{"--author", "abebe", "--platform", "http://127.0.0.1:1"}, args...))
	transcript := fmt.Sprintf("$ cfw %s\n%s%sexit %d\n\n", strings.Join(args, " "), indent("", &stdout), indent("stderr: ", &stderr.Buffer), code)
	return code, mask(transcript)
}

// interrupter cancels a context once a text has been written to it.
type interrupter struct {
	bytes.Buffer
	text   string
	cancel context.CancelFunc
}

// Write implements io.Writer.
func (ir *interrupter) Write(data []byte) (int, error) {
	if strings.Contains(string(data), ir.text) {
		ir.cancel()
	}
	return ir.Buffer.Write(data)
}

func indent(prefix string, output *bytes.Buffer) string {
	var sb strings.Builder
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		sb.WriteString(prefix + lines.Text() + "\n")
	}
	return sb.String()
}

var (
	changePattern  = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d{2,5} *`)
)

// mask replaces change IDs and addresses, which differ from run to run.
func mask(text string) string {
	text = changePattern.ReplaceAllString(text, "CHANGE-ID")
	return addressPattern.ReplaceAllString(text, "ADDRESS ")
}

// splitLine splits a command line at spaces outside double quotes.
func splitLine(line string) []string {
	var args []string
	for index, part := range strings.Split(line, `"`) {
		if index%2 == 1 {
			args = append(args, part)
			continue
		}
		args = append(args, strings.Fields(part)...)
	}
	return args
}

// TestSession runs the commands of testdata/session.txt one after the other and
// compares their transcript with the golden file.
func TestSession(t *testing.T) {
	hs := newHarness(t)
	hs.registerVM("a-01", "a", "claims")
	hs.registerVM("a-02", "a", "spare")
	hs.registerVM("c-01", "c", "retired")
	hs.addNode("entry-a1", hs.nodeHandler("entry-a1", 0))
	hs.addNode("entry-a2", hs.nodeHandler("entry-a2", 0))
	script, err := os.ReadFile("testdata/session.txt")
	must.NoError(t, err)
	var sb strings.Builder
	for line := range strings.Lines(string(script)) {
		_, transcript := hs.run(splitLine(line)...)
		sb.WriteString(transcript)
	}
	checkGolden(t, "testdata/session.golden", sb.String())
}

func checkGolden(t *testing.T, path, text string) {
	t.Helper()
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.EqOp(t, string(want), text)
}

func TestApplyReportsNodesNotInForce(t *testing.T) {
	hs := newHarness(t)
	hs.addNode("behind", hs.nodeHandler("behind", 1))
	hs.addNode("broken", http.NotFoundHandler())
	code, transcript := hs.runUntil("in force on 0 of 2 nodes", "settings", "apply", "testdata/base.toml", "--reason", "x")
	must.EqOp(t, commander.ExitFailed, code)
	must.StrContains(t, transcript, "error 410 settingsNotInForce")
	must.StrContains(t, transcript, "behind: behind; no answer: broken")
	_, transcript = hs.run("status")
	must.StrContains(t, transcript, "2 nodes: 0 in force, 1 behind, 1 unheard")
}

// TestEveryCommandHasHelp runs each command with --help.
func TestEveryCommandHasHelp(t *testing.T) {
	hs := newHarness(t)
	for _, line := range []string{
		"", "settings get", "settings check", "settings diff", "settings apply", "settings explain", "settings history",
		"settings rollback", "settings keys", "pool list", "vm list", "vm move", "vm cancel", "vm release", "service list", "status", "audit",
		"wave plan", "wave start", "wave pause", "wave resume", "wave cancel", "wave status",
		"keys authority", "keys issue", "keys show",
	} {
		code, transcript := hs.run(append(splitLine(line), "--help")...)
		must.EqOp(t, commander.ExitOK, code)
		must.StrContains(t, transcript, "Usage: cfw "+line)
		if line != "" {
			must.StrContains(t, transcript, "Example")
		}
	}
}
