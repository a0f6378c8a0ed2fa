package soaker

import (
	"fmt"
	"time"
)

// Event is what happens at a moment of a play: Stop, Kill, KillAll, Freeze, Hangup,
// StoreFault, WorkerCrash, WorkerFault, Drain, LinkFault, Wave or Configured.
type Event interface {
	fmt.Stringer
	isEvent()
}

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

// String returns the event as the trace of a play shows it.
func (st Stop) String() string {
	return fmt.Sprintf("SIGTERM to manager %d, restart after %s, SIGHUP %s after that", st.Manager, st.Restart, st.Hangup)
}

// String returns the event as the trace of a play shows it.
func (kl Kill) String() string {
	return fmt.Sprintf("SIGKILL to manager %d, restart after %s, SIGHUP %s after that", kl.Manager, kl.Restart, kl.Hangup)
}

// String returns the event as the trace of a play shows it.
func (ka KillAll) String() string {
	return fmt.Sprintf("SIGKILL to all managers, restart after %s", ka.Restart)
}

// String returns the event as the trace of a play shows it.
func (fr Freeze) String() string {
	return fmt.Sprintf("SIGSTOP to manager %d for %s", fr.Manager, fr.Duration)
}

// String returns the event as the trace of a play shows it.
func (hu Hangup) String() string { return fmt.Sprintf("SIGHUP to manager %d", hu.Manager) }

// String returns the event as the trace of a play shows it.
func (sf StoreFault) String() string {
	return fmt.Sprintf("store %s for manager %d, %s, share %.2f, mean delay %s", sf.Kind, sf.Manager, sf.Duration, sf.Share, sf.Delay)
}

// String returns the event as the trace of a play shows it.
func (wc WorkerCrash) String() string {
	return fmt.Sprintf("worker of %s crashes, restart after %s", wc.VM, wc.Restart)
}

// String returns the event as the trace of a play shows it.
func (wv Wave) String() string {
	return fmt.Sprintf("wave %d of %v, at most %d at once", wv.Number, wv.VMs, wv.Cap)
}

// String returns the event as the trace of a play shows it.
func (cf Configured) String() string {
	return fmt.Sprintf("configuration %d: %v", cf.Version, cf.Routes)
}
