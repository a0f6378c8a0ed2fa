package supervisor

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// actionInterval is the interval between looks at the signal actions of a process.
const actionInterval = 100 * time.Microsecond

// Child is a started process.
type Child struct {
	name    string
	logs    string
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

func newChild(name, logs string, command *exec.Cmd) *Child {
	cd := &Child{
		name:    name,
		logs:    logs,
		command: command,
		ended:   make(chan struct{}),
	}
	go func() {
		cd.err = command.Wait()
		close(cd.ended)
	}()
	return cd
}

// Name returns the name that the process was started under.
func (cd *Child) Name() string { return cd.name }

// Identifier returns the process identifier.
func (cd *Child) Identifier() int { return cd.command.Process.Pid }

// Output returns what processes of this name wrote to their standard output.
func (cd *Child) Output() ([]byte, error) {
	return os.ReadFile(filepath.Join(cd.logs, cd.name+".out"))
}

// Log returns what processes of this name wrote to their standard error output.
func (cd *Child) Log() ([]byte, error) {
	return os.ReadFile(filepath.Join(cd.logs, cd.name+".log"))
}

// Wait returns when the process has ended, with its error, or with that of ctx.
func (cd *Child) Wait(ctx context.Context) error {
	select {
	case <-cd.ended:
		return cd.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Terminate asks the process to end by SIGTERM.
func (cd *Child) Terminate() error { return cd.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP to the process.
func (cd *Child) Hangup() error { return cd.signal(syscall.SIGHUP) }

// Kill ends the process by SIGKILL and returns when it has ended.
func (cd *Child) Kill() error {
	err := cd.signal(syscall.SIGKILL)
	<-cd.ended
	return err
}

// Freeze stops the process from running until Thaw.
func (cd *Child) Freeze() error { return cd.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run again.
func (cd *Child) Thaw() error { return cd.signal(syscall.SIGCONT) }

// AwaitAction returns when the process catches or ignores a signal, or has ended. Before
// the first instruction of its program a process can't change the action of a signal.
func (cd *Child) AwaitAction(signal syscall.Signal) error {
	bit := uint64(1) << (signal - 1)
	for !cd.hasEnded() {
		mask, err := cd.changedSignals()
		if err != nil || mask&bit != 0 {
			return err
		}
		time.Sleep(actionInterval)
	}
	return nil
}

// changedSignals returns the mask of the signals that the process catches or ignores.
func (cd *Child) changedSignals() (uint64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cd.Identifier()))
	if err != nil {
		return 0, classifier.Wrap(err, classifier.Internal, "status of %s", cd.name)
	}
	var changed uint64
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err != nil {
			return 0, classifier.Wrap(err, classifier.Internal, "status of %s", cd.name)
		}
		changed |= mask
	}
	return changed, nil
}

// Stop asks the process to end and kills it after grace. The error is that of
// the process, or an Internal error if it had to be killed.
func (cd *Child) Stop(grace time.Duration) error {
	if err := cd.Terminate(); err != nil && !cd.hasEnded() {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := cd.Wait(ctx); ctx.Err() == nil {
		return err
	}
	_ = cd.Kill()
	return classifier.New(classifier.Internal, "%s did not end within %s", cd.name, grace)
}

func (cd *Child) signal(signal syscall.Signal) error {
	if cd.hasEnded() {
		return nil
	}
	return cd.command.Process.Signal(signal)
}

func (cd *Child) hasEnded() bool {
	select {
	case <-cd.ended:
		return true
	default:
		return false
	}
}
