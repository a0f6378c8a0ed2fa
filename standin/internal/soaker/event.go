package soaker

import (
	"time"

	"coltsfootwick.example/standin/internal/provider"
)

// Event is what happens at a moment of a play: Stop, Kill, KillAll, Freeze, Hangup,
// StoreFault, WorkerCrash, WorkerFault, Drain, LinkFault, Wave, Configured or KeyChange.
type Event interface{ isEvent() }

// Stop ends a manager by SIGTERM, as the platform does, and starts it again.
type Stop struct {
	Manager int
	// Restart is the time from the end of the process to the start of the next.
	Restart time.Duration
	// Hangup is when the next process gets SIGHUP after its start; zero for never.
	Hangup time.Duration
}

// Kill ends a manager by SIGKILL and starts it again.
type Kill struct {
	Manager int
	Restart time.Duration
	Hangup  time.Duration
}

// KillAll ends all managers by SIGKILL at once and starts them again.
type KillAll struct {
	Restart time.Duration
}

// Freeze stops a manager from running for a time, by SIGSTOP and SIGCONT.
type Freeze struct {
	Manager  int
	Duration time.Duration
}

// Hangup sends SIGHUP to a manager.
type Hangup struct {
	Manager int
}

// StoreFault is a fault of the store's calls for a time.
type StoreFault struct {
	Kind StoreFaultKind
	// Manager is the manager whose calls are affected, or everyManager.
	Manager  int
	Duration time.Duration
	// Delay is the mean delay of storeSlow.
	Delay time.Duration
	// Share is the fraction of the calls that are affected.
	Share float64
}

// everyManager selects all managers.
const everyManager = -1

// StoreFaultKind is the kind of a fault of the store.
type StoreFaultKind string

// The kinds of faults of the store.
const (
	storeSlow       StoreFaultKind = "slow"
	storeDown       StoreFaultKind = "down"
	storeAnswerLost StoreFaultKind = "answers lost"
	// storeRefused refuses connections, and storeCut leaves calls unanswered.
	storeRefused StoreFaultKind = "refused"
	storeCut     StoreFaultKind = "cut off"
	// storeForgotten cuts off, and ends with the loss of the watches' history.
	storeForgotten StoreFaultKind = "cut off until the history is dropped"
)

// WorkerCrash ends the worker of a VM.
type WorkerCrash struct {
	VM string
	// Restart is the time after which another worker starts; zero for never.
	Restart time.Duration
	// KeepsID is true if the next worker has the same ID. Its directory entry is then
	// written ListedAfter its start, and its clock begins at Clock unless that is zero.
	KeepsID            bool
	ListedAfter, Clock time.Duration
	// Connections is what then becomes of the connections. KeepsStartTime is true if the
	// next worker reports the same start time.
	Connections    provider.Connections
	KeepsStartTime bool
}

// Wave orders maintenance of VMs.
type Wave struct {
	Number   int64
	VMs      []string
	Cap      int
	Duration time.Duration
}

// Configured puts a version of the configuration in force.
type Configured struct {
	Version int64
	Routes  []Route
}

// KeyChange puts a configuration in force with the routes of the last one and other
// keys.
type KeyChange struct {
	// Granted says for each team whether its second key is valid.
	Granted []bool
}

// Route sends the jobs of a path prefix to a pool.
type Route struct {
	Name, Prefix, Pool string
}

func (Stop) isEvent()        {}
func (Kill) isEvent()        {}
func (KillAll) isEvent()     {}
func (Freeze) isEvent()      {}
func (Hangup) isEvent()      {}
func (StoreFault) isEvent()  {}
func (WorkerCrash) isEvent() {}
func (Wave) isEvent()        {}
func (Configured) isEvent()  {}
func (KeyChange) isEvent()   {}
