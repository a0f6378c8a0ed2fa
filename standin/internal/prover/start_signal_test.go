package prover_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// startTimeout bounds the wait for a program to read its settings.
	startTimeout = 30 * time.Second
	// endTimeout bounds the wait for a program to end after a signal or with an
	// error.
	endTimeout = 10 * time.Second
	// pollInterval is the time between two looks at a starting program.
	pollInterval = time.Millisecond
)

// longRunning names the programs that run until they are told to stop, with their
// arguments for a settings file.
var longRunning = []struct {
	name      string
	arguments func(settings string) []string
}{
	{"coltsfootwick-manager", func(string) []string { return []string{"run"} }},
	{"coltsfootwick-entry", func(settings string) []string { return []string{"run", "--config", settings} }},
	{"coltsfootwick-steward", func(settings string) []string { return []string{"run", "--config", settings} }},
}

func TestHangupDuringStartDoesNotEndProcess(t *testing.T) {
	forEachStart(t, func(t *testing.T, st *start) {
		settings := st.openSettings(t)
		must.NoError(t, st.command.Process.Signal(syscall.SIGHUP))
		st.mustEndWithError(t, settings)
		must.StrContains(t, st.output.String(), "settings")
	})
}

func TestLogWithoutReaderDoesNotEndProcess(t *testing.T) {
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	must.NoError(t, reader.Close())
	defer func() { _ = writer.Close() }()
	forEachStart(t, func(t *testing.T, st *start) {
		st.mustEndWithError(t, st.openSettings(t))
	}, withOutput(writer))
}

func TestTerminationDuringStartEndsProcess(t *testing.T) {
	for _, sg := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(sg.String(), func(t *testing.T) {
			forEachStart(t, func(t *testing.T, st *start) {
				st.openSettings(t)
				must.NoError(t, st.command.Process.Signal(sg))
				must.Eq(t, sg, st.await(t).Signal(), must.Sprint(st.output.String()))
			})
		})
	}
}

// start is a program that starts with a named pipe as its settings file, so that
// the start blocks while the pipe is empty.
type start struct {
	command  *exec.Cmd
	settings string
	output   bytes.Buffer
	ended    chan struct{}
}

// startOption changes one property of a start.
type startOption func(*start)

// withOutput sets the file to which the program writes its output and its log.
func withOutput(output *os.File) startOption {
	return func(st *start) { st.command.Stdout, st.command.Stderr = output, output }
}

// forEachStart starts each long-running program and runs a test on it.
func forEachStart(t *testing.T, run func(t *testing.T, st *start), opts ...startOption) {
	t.Helper()
	// A caught signal has its default action in a child process, an ignored one
	// stays ignored.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM, syscall.SIGPIPE)
	t.Cleanup(func() { signal.Stop(signals) })
	for _, program := range longRunning {
		t.Run(program.name, func(t *testing.T) {
			settings := filepath.Join(t.TempDir(), "settings.toml")
			must.NoError(t, syscall.Mkfifo(settings, 0o600))
			st := &start{
				command:  exec.Command(filepath.Join(binaries, program.name), program.arguments(settings)...),
				settings: settings,
				ended:    make(chan struct{}),
			}
			st.command.Env = append(os.Environ(), "COLTSFOOTWICK_BOOT="+settings)
			st.command.Stdout = &st.output
			st.command.Stderr = &st.output
			for _, opt := range opts {
				opt(st)
			}
			must.NoError(t, st.command.Start())
			go func() {
				defer close(st.ended)
				_ = st.command.Wait()
			}()
			t.Cleanup(func() {
				_ = st.command.Process.Kill()
				<-st.ended
			})
			run(t, st)
		})
	}
}

// openSettings waits until the program reads its settings, and opens them for
// writing.
func (st *start) openSettings(t *testing.T) *os.File {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		// Fails while no process has opened the pipe for reading.
		settings, err := os.OpenFile(st.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			t.Cleanup(func() { _ = settings.Close() })
			return settings
		}
		select {
		case <-st.ended:
			t.Fatalf("ended before it read its settings: %s\n%s", st.command.ProcessState, &st.output)
		default:
		}
	}
	t.Fatal("the program hasn't read its settings")
	return nil
}

// mustEndWithError writes invalid settings and fails the test unless the program
// reads them and exits with an error.
func (st *start) mustEndWithError(t *testing.T, settings *os.File) {
	t.Helper()
	_, err := fmt.Fprintln(settings, "not a setting")
	must.NoError(t, err)
	must.NoError(t, settings.Close())
	must.Eq(t, 1, st.await(t).ExitStatus(), must.Sprint(st.command.ProcessState))
}

// await waits for the end of the program.
func (st *start) await(t *testing.T) syscall.WaitStatus {
	t.Helper()
	select {
	case <-st.ended:
	case <-time.After(endTimeout):
		t.Fatal("the program hasn't ended")
	}
	status, ok := st.command.ProcessState.Sys().(syscall.WaitStatus)
	must.True(t, ok)
	return status
}

// signalMask returns a mask of signals from the status of the program, such as
// SigIgn.
func (st *start) signalMask(t *testing.T, name string) uint64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", st.command.Process.Pid))
	must.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, name+":"); ok {
			mask, err := strconv.ParseUint(strings.TrimSpace(text), 16, 64)
			must.NoError(t, err)
			return mask
		}
	}
	t.Fatalf("no %s in the status of the program", name)
	return 0
}
