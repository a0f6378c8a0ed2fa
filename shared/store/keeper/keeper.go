// Package keeper provides an in-memory fake of the platform: its key-value service
// and its VM list, which lags behind the actual VMs. Faults can be injected. Tests
// use it in process, also in virtual time; the stand-in program serves it over
// HTTP.
package keeper

import (
	"sync"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// Keeper is an in-memory fake of the platform. It is safe for concurrent use.
type Keeper struct {
	rebootHook func(vm storer.VM)

	mutex  sync.Mutex
	table  *Table
	roster *Roster
	meter  *meter
	faults []seededFault
	// faultsChanged is closed and replaced whenever the faults change.
	faultsChanged chan struct{}
	waiters       map[*waiter]struct{}
	// notified is the revision up to which the waiters have been notified.
	notified    storer.Revision
	expiryTimer *time.Timer
}

// New returns a Keeper.
func New(opts ...Option) *Keeper {
	cf := newConfig(opts)
	kr := &Keeper{
		rebootHook:    cf.rebootHook,
		table:         NewTable(cf.maxEvents, cf.maxEventBytes),
		roster:        NewRoster(cf.listLag, cf.rebootTime),
		meter:         newMeter(cf.writesPerSecond, cf.readsPerSecond),
		faultsChanged: make(chan struct{}),
		waiters:       map[*waiter]struct{}{},
	}
	for _, vm := range cf.vms {
		kr.roster.Put(time.Time{}, vm)
	}
	return kr
}

// SetFaults replaces the active faults. If it returns an error, they are unchanged.
func (kr *Keeper) SetFaults(faults ...Fault) error {
	for _, ft := range faults {
		if err := validate(ft); err != nil {
			return err
		}
	}
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	kr.faults = seed(faults)
	close(kr.faultsChanged)
	kr.faultsChanged = make(chan struct{})
	return nil
}

// Faults returns the active faults.
func (kr *Keeper) Faults() []Fault {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	faults := make([]Fault, 0, len(kr.faults))
	for _, sf := range kr.faults {
		faults = append(faults, sf.fault)
	}
	return faults
}

// DropHistory discards the events held for watches. A watch that continues from an
// earlier revision fails.
func (kr *Keeper) DropHistory() {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	kr.table.history.drop()
}

// Counts returns the number of calls since the start.
func (kr *Keeper) Counts() Counts {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return kr.meter.counts()
}

// VMs returns the current VMs, without the list lag and the faults.
func (kr *Keeper) VMs() []storer.VM {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return kr.roster.List(time.Now().Add(kr.roster.lag))
}

// PutVM adds a VM, or replaces the VM of the same name.
func (kr *Keeper) PutVM(vm storer.VM) {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	kr.roster.Put(time.Now(), vm)
}

// RemoveVM removes a VM.
func (kr *Keeper) RemoveVM(name string) error {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return kr.roster.Remove(time.Now(), name)
}

// SetVMState sets the state of a VM.
func (kr *Keeper) SetVMState(name string, state storer.VMState) error {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return kr.roster.SetState(time.Now(), name, state)
}

// apply runs a step of the state machines, notifies the waiters of its events and
// resets the expiry timer.
func apply[T any](kr *Keeper, step func(now time.Time) (T, error)) (T, error) {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	answer, err := step(time.Now())
	kr.notifyWaiters()
	kr.resetExpiryTimer()
	return answer, err
}

// notifyWaiters notifies the waiters of the events since the last notification.
func (kr *Keeper) notifyWaiters() {
	if kr.table.revision == kr.notified {
		return
	}
	events := kr.table.history.since("", kr.notified)
	isIncomplete := kr.table.history.compacted > kr.notified
	kr.notified = kr.table.revision
	for wt := range kr.waiters {
		wt.isPending = wt.isPending || isIncomplete
		wt.notify(events, kr.notified)
	}
}

// resetExpiryTimer sets the timer to the next expiry of a lease.
func (kr *Keeper) resetExpiryTimer() {
	if kr.expiryTimer != nil {
		kr.expiryTimer.Stop()
		kr.expiryTimer = nil
	}
	next, ok := kr.table.NextExpiry()
	if !ok {
		return
	}
	kr.expiryTimer = time.AfterFunc(time.Until(next), kr.expire)
}

// expire ends the leases that have expired.
func (kr *Keeper) expire() {
	_, _ = apply(kr, func(now time.Time) (struct{}, error) {
		kr.table.Advance(now)
		return struct{}{}, nil
	})
}
