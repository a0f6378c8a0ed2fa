package prover

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// interruptGrace is how long an interrupted test run has for its clean-up.
const interruptGrace = 10 * time.Second

// goTest runs tests by the command go test.
type goTest struct {
	failures io.Writer
}

// NewGoTest returns a Runner that runs tests by the command go test and writes
// the output of those that don't pass to failures.
func NewGoTest(failures io.Writer) Runner {
	return goTest{
		failures: failures,
	}
}

// wireEvent is one line of the output of go test -json.
type wireEvent struct {
	Action string `json:"Action"`
	Test   string `json:"Test"`
	Output string `json:"Output"`
}

// Run runs the tests. A test that was skipped or not found did not pass.
func (gt goTest) Run(ctx context.Context, pkg string, names []string, seed uint64) (map[string]bool, error) {
	pattern := "^(" + strings.Join(names, "|") + ")$"
	command := exec.CommandContext(ctx, "go", "test", "-json", "-count=1", "-run", pattern, pkg)
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", SeedVariable, seed))
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGINT) }
	command.WaitDelay = interruptGrace
	command.Stderr = gt.failures
	data, err := command.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return nil, classifier.Wrap(err, classifier.Internal, "go test %s", pkg)
	}
	if ctx.Err() != nil {
		return nil, classifier.Wrap(ctx.Err(), classifier.Internal, "go test %s", pkg)
	}
	return gt.read(data, err != nil)
}

// read returns the tests that passed. When the run failed it writes all output.
func (gt goTest) read(data []byte, failed bool) (map[string]bool, error) {
	passed := map[string]bool{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, len(data)+1)
	for lines.Scan() {
		var event wireEvent
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		if event.Action == "pass" && event.Test != "" {
			passed[event.Test] = true
		}
		if failed && event.Output != "" {
			if _, err := io.WriteString(gt.failures, event.Output); err != nil {
				return nil, err
			}
		}
	}
	return passed, lines.Err()
}
