// Package launcher starts entries and stewards as processes for measurements,
// against a stand-in of the platform that counts calls and bytes by process.
package launcher

import (
	"fmt"
	"os"
	"path/filepath"

	"coltsfootwick.example/standin/internal/allocator"
	"coltsfootwick.example/standin/internal/platform"
	"coltsfootwick.example/standin/internal/supervisor"
)

// Launcher starts processes and ends them all.
type Launcher struct {
	binaries   string
	files      string
	allocator  *allocator.Allocator
	supervisor *supervisor.Supervisor
	processes  []*Process
}

// New returns a launcher of the programs in a directory, with settings files
// and logs in another. Each process gets the variables, as in NAME=value,
// beside its environment.
func New(binaries, files string, variables ...string) *Launcher {
	return &Launcher{
		binaries:   binaries,
		files:      files,
		allocator:  allocator.New(),
		supervisor: supervisor.New(files, supervisor.WithVariables(variables...)),
	}
}

// StartEntry starts an entry of an availability zone.
func (lr *Launcher) StartEntry(pm *platform.Platform, name, zone string) (*Process, error) {
	callers := lr.allocator.Find(1, 1)
	ps, err := lr.start(pm, "coltsfootwick-entry", name, zone, fmt.Sprintf("listenAddress = %q\n", callers))
	if err != nil {
		return nil, err
	}
	ps.Callers = callers
	return ps, nil
}

// StartSteward starts a steward of an availability zone.
func (lr *Launcher) StartSteward(pm *platform.Platform, name, zone string) (*Process, error) {
	return lr.start(pm, "coltsfootwick-steward", name, zone, "")
}

func (lr *Launcher) start(pm *platform.Platform, program, name, zone, more string) (*Process, error) {
	port, err := openPort(pm, name)
	if err != nil {
		return nil, err
	}
	ps := &Process{
		Name:      name,
		Operators: lr.allocator.Find(1, 1),
		Port:      port,
	}
	if err := lr.allocator.Err(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("name = %q\nzone = %q\noperatorsAddress = %q\nplatformURL = \"http://%s\"\nlogLevel = \"warn\"\n%s",
		name, zone, ps.Operators, port.listener.Addr(), more)
	config := filepath.Join(lr.files, name+".toml")
	const mode = 0o644
	if err := os.WriteFile(config, []byte(text), mode); err != nil {
		return nil, err
	}
	ps.child, err = lr.supervisor.Start(name, filepath.Join(lr.binaries, program), "run", "--config", config)
	lr.processes = append(lr.processes, ps)
	return ps, err
}

// Close ends all processes and their ports.
func (lr *Launcher) Close() {
	lr.supervisor.KillAll()
	for _, ps := range lr.processes {
		_ = ps.Port.server.Close()
	}
}
