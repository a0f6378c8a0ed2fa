package provider

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// RestartOption changes how a worker is back under its ID.
type RestartOption func(*restart)

// restart is how a worker is back under its ID.
type restart struct {
	connections    Connections
	keepsStartTime bool
	listedAfter    time.Duration
	clock          *time.Duration
}

// Connections is what becomes of the connections to a worker that is back under its ID.
type Connections string

// What becomes of the connections.
const (
	// ConnectionsClosed are closed, and there are no others before the worker is back.
	ConnectionsClosed Connections = "closed"
	// ConnectionsSilent stay open without any answer. Others wait for the next
	// incarnation.
	ConnectionsSilent Connections = "silent"
	// ConnectionsKept lead to the next incarnation. It carries out the calls that are in
	// progress or arrive before it has started.
	ConnectionsKept Connections = "kept"
)

// WithConnections sets what becomes of the connections.
func WithConnections(cs Connections) RestartOption {
	return func(re *restart) { re.connections = cs }
}

// WithLateEntry delays the directory entry of the next incarnation.
func WithLateEntry(after time.Duration) RestartOption {
	return func(re *restart) { re.listedAfter = after }
}

// WithNewClock sets the reading of the next incarnation's steady clock at its start.
func WithNewClock(reading time.Duration) RestartOption {
	return func(re *restart) { re.clock = &reading }
}

// WithSameStartTime lets the next incarnation report the start time of the one before,
// as after a step of its time of day.
func WithSameStartTime() RestartOption {
	return func(re *restart) { re.keepsStartTime = true }
}

// CrashAndKeepID is Crash, but the new worker has the ID of the one before, whose
// directory entry remains.
func (pv *Provider) CrashAndKeepID(name string, after time.Duration, opts ...RestartOption) {
	re := restart{
		connections: ConnectionsClosed,
	}
	for _, opt := range opts {
		opt(&re)
	}
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[name]
	if machine.worker == nil {
		return
	}
	machine.reportedStart = time.Time{}
	if re.keepsStartTime {
		machine.reportedStart = time.UnixMilli(machine.worker.Report(time.Now()).StartedAtMS)
	}
	switch re.connections {
	case ConnectionsKept:
		pv.haltWorker(machine)
		machine.isBooting = true
	case ConnectionsSilent:
		pv.haltWorker(machine)
		machine.servedFrom = machine.incarnation + 1
		machine.isSilent, machine.isBooting = true, true
	case ConnectionsClosed:
		pv.stopWorker(machine)
	}
	machine.state = modeller.VMDown
	machine.keepsID = true
	machine.listedAfter = re.listedAfter
	machine.nextClock = re.clock
	pv.restartAfter(machine, after)
}
