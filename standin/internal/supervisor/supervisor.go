// Package supervisor starts programs for the demo and the proofs and ends each
// of them by its own process identifier.
package supervisor

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Supervisor owns the processes that it started.
type Supervisor struct {
	logs      string
	variables []string

	mu       sync.Mutex
	children []*Child
}

// Option changes one property of a new Supervisor.
type Option func(*Supervisor)

// WithVariables sets environment variables, as in NAME=value, that processes
// get beside those of this process.
func WithVariables(variables ...string) Option {
	return func(sr *Supervisor) { sr.variables = variables }
}

// New returns a supervisor whose processes write their output to files in the
// directory logs.
func New(logs string, opts ...Option) *Supervisor {
	sr := &Supervisor{
		logs: logs,
	}
	for _, opt := range opts {
		opt(sr)
	}
	return sr
}

// Start starts a program. The output goes to NAME.log, its standard output also
// to NAME.out; both are appended to when the name is used again.
func (sr *Supervisor) Start(name, binary string, args ...string) (*Child, error) {
	errors, err := sr.open(name + ".log")
	if err != nil {
		return nil, err
	}
	defer func() { _ = errors.Close() }()
	output, err := sr.open(name + ".out")
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()

	command := exec.Command(binary, args...)
	command.Env = append(os.Environ(), sr.variables...)
	command.Stdout = output
	command.Stderr = errors
	// The kernel sends SIGHUP to all processes of a group that becomes orphaned
	// while one of them is frozen. A group of its own stays the child of a live
	// process of the session.
	command.SysProcAttr = &syscall.SysProcAttr{
		Setpgid: true,
	}
	if err := command.Start(); err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "start %s", name)
	}
	child := newChild(name, sr.logs, command)
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.children = append(sr.children, child)
	return child, nil
}

// StopAll ends all processes that still run, at once: by SIGTERM and, after
// grace, by SIGKILL. It returns when all have ended, with the names of those
// that had to be killed or ended with an error, ordered by name.
func (sr *Supervisor) StopAll(grace time.Duration) []string {
	var (
		stops  sync.WaitGroup
		mu     sync.Mutex
		failed []string
	)
	for _, child := range sr.running() {
		stops.Go(func() {
			if err := child.Stop(grace); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, child.Name())
			}
		})
	}
	stops.Wait()
	slices.Sort(failed)
	return failed
}

// KillAll ends all processes that still run at once.
func (sr *Supervisor) KillAll() {
	for _, child := range sr.running() {
		_ = child.Kill()
	}
}

func (sr *Supervisor) running() []*Child {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(sr.children), (*Child).hasEnded)
}

func (sr *Supervisor) open(name string) (*os.File, error) {
	const mode = 0o644
	file, err := os.OpenFile(filepath.Join(sr.logs, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "open log")
	}
	return file, nil
}
