// Package keeper is an in-memory stand-in for the platform: its key-value
// service and its lagging VM list, with faults to switch on. It serves tests
// in process, also in virtual time, and the stand-in program over HTTP.
package keeper

import (
	"sync"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// Keeper is an in-memory platform. It is safe for concurrent use.
type Keeper struct {
	rebootHook func(vm storer.VM)

	mutex  sync.Mutex
	table  *Table
	roster *Roster
	meter  *meter
	faults []armedFault
	// faultsChanged is closed and replaced whenever the faults change.
	faultsChanged chan struct{}
	waiters       map[*waiter]struct{}
	announced     storer.Revision
	expiry        *time.Timer
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

// SetFaults replaces the faults. With an error nothing is changed.
func (kr *Keeper) SetFaults(faults ...Fault) error {
	for _, ft := range faults {
		if err := check(ft); err != nil {
			return err
		}
	}
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	kr.faults = arm(faults)
	close(kr.faultsChanged)
	kr.faultsChanged = make(chan struct{})
	return nil
}

// Faults returns the faults in force.
func (kr *Keeper) Faults() []Fault {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	faults := make([]Fault, 0, len(kr.faults))
	for _, af := range kr.faults {
		faults = append(faults, af.fault)
	}
	return faults
}

// Counts returns the number of calls since the start.
func (kr *Keeper) Counts() Counts {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return kr.meter.counts()
}

// VMs returns the VMs as they are now, without lag and faults.
func (kr *Keeper) VMs() []storer.VM {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return kr.roster.List(time.Now().Add(kr.roster.lag))
}

// PutVM adds a VM or replaces the VM of the same name.
func (kr *Keeper) PutVM(vm storer.VM) {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	kr.roster.Put(time.Now(), vm)
}

// RemoveVM takes a VM away.
func (kr *Keeper) RemoveVM(name string) error {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return kr.roster.Remove(time.Now(), name)
}

// SetVMState changes the state of a VM.
func (kr *Keeper) SetVMState(name string, state storer.VMState) error {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return kr.roster.SetState(time.Now(), name, state)
}

// apply runs a step of the state machines, wakes the watches that it concerns
// and sets the timer for the next expiry of a lease.
func apply[T any](kr *Keeper, step func(now time.Time) (T, error)) (T, error) {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	answer, err := step(time.Now())
	kr.announce()
	kr.schedule()
	return answer, err
}

// announce wakes the waiters for the events since the last announcement.
func (kr *Keeper) announce() {
	if kr.table.revision == kr.announced {
		return
	}
	events := kr.table.history.since("", kr.announced)
	isIncomplete := kr.table.history.dropped > kr.announced
	kr.announced = kr.table.revision
	for wt := range kr.waiters {
		wt.isPending = wt.isPending || isIncomplete
		wt.inform(events, kr.announced)
	}
}

// schedule sets the timer for the next expiry of a lease.
func (kr *Keeper) schedule() {
	if kr.expiry != nil {
		kr.expiry.Stop()
		kr.expiry = nil
	}
	next, ok := kr.table.NextExpiry()
	if !ok {
		return
	}
	kr.expiry = time.AfterFunc(time.Until(next), kr.expire)
}

// expire ends the leases that have expired.
func (kr *Keeper) expire() {
	_, _ = apply(kr, func(now time.Time) (struct{}, error) {
		kr.table.Advance(now)
		return struct{}{}, nil
	})
}
