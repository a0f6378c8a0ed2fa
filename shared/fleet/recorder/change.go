package recorder

import (
	"slices"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Change is a change of a zone's record: Register, SetFloors, Drain, Advance,
// Reassign, GiveBudget or ReceiveBudget.
type Change interface {
	change()
}

// Register adds a VM that the platform lists. If the record already contains
// the VM, Register updates its address and rack and leaves its pool and state.
type Register struct {
	// VM is the VM as the platform lists it, with its initial pool.
	VM VM
}

// SetFloors sets the floors of a higher settings revision. A lower or equal
// revision is ignored.
type SetFloors struct {
	// Revision is the settings revision.
	Revision uint64
	// Floors are the floors by pool.
	Floors map[string]Floor
}

// Drain starts to take a VM out of service if the pool's floor allows it.
type Drain struct {
	// VM is the VM's name.
	VM string
	// Purpose is why the VM is drained.
	Purpose Purpose
	// MoveTo is the pool to move to; empty unless Purpose is MovePurpose.
	MoveTo string
	// Wave is the wave that drains the VM; empty unless Purpose is
	// MaintenancePurpose.
	Wave string
}

// Advance applies an event of VMChart other than drain to a VM.
type Advance struct {
	// VM is the VM's name.
	VM string
	// Event is the event.
	Event Event
	// Boot is the VM's current boot number; it is used with RebootEvent only.
	Boot uint64
}

// Reassign moves a quarantined VM to another pool. Nothing runs on the VM, so it
// needs no drain. The VM returns to service in the new pool.
type Reassign struct {
	// VM is the VM's name.
	VM string
	// To is the VM's new pool.
	To string
}

func (Reassign) change()  {}
func (Register) change()  {}
func (SetFloors) change() {}
func (Drain) change()     {}
func (Advance) change()   {}

// Apply returns the record after a change. It does not modify ze, and returns
// ze itself with an error. Errors: VMUnknown, PoolUnknown, VMBusy,
// BudgetExceeded.
func Apply(ze Zone, change Change, now time.Time) (Zone, error) {
	next := ze.clone()
	var err error
	switch ch := change.(type) {
	case Register:
		err = next.register(ch, now)
	case SetFloors:
		next.setFloors(ch)
	case Drain:
		err = next.drain(ch, now)
	case Advance:
		err = next.advance(ch, now)
	case Reassign:
		err = next.reassign(ch)
	case GiveBudget:
		err = next.give(ch)
	case ReceiveBudget:
		next.receive(ch)
	default:
		err = classifier.New(classifier.Internal, "unknown change %T", change)
	}
	if err != nil {
		return ze, err
	}
	return next, nil
}

func (ze *Zone) register(rr Register, now time.Time) error {
	if rr.VM.Name == "" || rr.VM.Pool == "" {
		return classifier.New(classifier.RecordInvalid, "VM %q has no name or no pool", rr.VM.Name)
	}
	i, ok := ze.index(rr.VM.Name)
	if ok {
		ze.VMs[i].Address = rr.VM.Address
		ze.VMs[i].Rack = rr.VM.Rack
		return nil
	}
	vm := rr.VM
	vm.State = State(VMChart.Initial())
	vm.Since = now
	ze.VMs = slices.Insert(ze.VMs, i, vm)
	return nil
}

func (ze *Zone) setFloors(sf SetFloors) {
	if sf.Revision <= ze.SettingsRevision {
		return
	}
	ze.SettingsRevision = sf.Revision
	ze.Floors = sf.Floors
}

func (ze *Zone) drain(dn Drain, now time.Time) error {
	i, ok := ze.index(dn.VM)
	if !ok {
		return classifier.New(classifier.VMUnknown, "availability zone %s has no VM %q", ze.Name, dn.VM)
	}
	vm := ze.VMs[i]
	if vm.State != InService {
		return classifier.New(classifier.VMBusy, "VM %s is not in service but %s", vm.Name, vm.State)
	}
	if err := ze.checkPurpose(dn, vm); err != nil {
		return err
	}
	if err := ze.checkFloor(vm.Pool, dn.Purpose); err != nil {
		return err
	}
	ze.VMs[i].Purpose = dn.Purpose
	ze.VMs[i].MoveTo = dn.MoveTo
	ze.VMs[i].Wave = dn.Wave
	return ze.step(i, DrainEvent, now)
}

func (ze *Zone) checkPurpose(dn Drain, vm VM) error {
	switch dn.Purpose {
	case MovePurpose:
		if _, ok := ze.Floors[dn.MoveTo]; !ok {
			return classifier.New(classifier.PoolUnknown, "pool %q does not exist; VM %s can't be moved to it", dn.MoveTo, vm.Name)
		}
		if dn.MoveTo == vm.Pool {
			return classifier.New(classifier.VMBusy, "VM %s is already in pool %s", vm.Name, vm.Pool)
		}
	case MaintenancePurpose:
		if dn.MoveTo != "" {
			return classifier.New(classifier.Internal, "maintenance of VM %s must not name a pool to move to", vm.Name)
		}
	default:
		return classifier.New(classifier.Internal, "drain of VM %s has no valid purpose", vm.Name)
	}
	return nil
}

// checkFloor returns a BudgetExceeded error if taking one more VM of the pool
// out of service would exceed the budget, leave no VM of the pool in service in
// the zone, or exceed the limit of the purpose.
func (ze *Zone) checkFloor(pool string, purpose Purpose) error {
	if ze.SettingsRevision == 0 {
		return classifier.New(classifier.BudgetExceeded, "availability zone %s has not received settings yet", ze.Name)
	}
	ct := ze.Count(pool)
	if free := ze.Free(pool); free < OneVM {
		return classifier.New(classifier.BudgetExceeded,
			"pool %s in availability zone %s has a free budget of %.2f VMs, but a drain needs 1", pool, ze.Name, free.VMs())
	}
	if ct.InService <= 1 && ze.Floors[pool].Share > 0 {
		return classifier.New(classifier.BudgetExceeded,
			"pool %s in availability zone %s would have no VM left in service", pool, ze.Name)
	}
	if purpose == MovePurpose {
		return ze.checkMembers(pool)
	}
	allowed := max(int(ze.Floors[pool].MaxDraining*float64(ct.Members)+shareTolerance), 1)
	if ct.PlannedOutages+1 > allowed {
		return classifier.New(classifier.BudgetExceeded,
			"pool %s in availability zone %s has %d VMs out of service for moves or maintenance; the limit is %d", pool, ze.Name, ct.PlannedOutages, allowed)
	}
	return nil
}

// shareTolerance prevents a share that is a whole number of VMs from being
// rounded down because of floating-point error.
const shareTolerance = 1e-9

// checkMembers returns a BudgetExceeded error if one more move would leave the
// pool with fewer than MinMembers VMs in this availability zone. VMs that
// already move to other pools are not counted.
func (ze *Zone) checkMembers(pool string) error {
	remaining := 0
	for _, vm := range ze.VMs {
		if vm.Pool == pool && vm.MoveTo == "" {
			remaining++
		}
	}
	if remaining-1 < ze.Floors[pool].MinMembers {
		return classifier.New(classifier.BudgetExceeded,
			"pool %s in availability zone %s must keep at least %d VMs", pool, ze.Name, ze.Floors[pool].MinMembers)
	}
	return nil
}

func (ze *Zone) advance(ad Advance, now time.Time) error {
	if ad.Event == DrainEvent {
		return classifier.New(classifier.Internal, "drain of VM %s must go through Drain, which checks the floor", ad.VM)
	}
	i, ok := ze.index(ad.VM)
	if !ok {
		return classifier.New(classifier.VMUnknown, "availability zone %s has no VM %q", ze.Name, ad.VM)
	}
	vm := ze.VMs[i]
	if ad.Event == MoveEvent && vm.Purpose != MovePurpose {
		return classifier.New(classifier.VMBusy, "VM %s is not drained for a move", vm.Name)
	}
	if ad.Event == RebootEvent && vm.Purpose != MaintenancePurpose {
		return classifier.New(classifier.VMBusy, "VM %s is not drained for maintenance", vm.Name)
	}
	if ad.Event == RebootEvent {
		ze.VMs[i].Boot = ad.Boot
	}
	return ze.step(i, ad.Event, now)
}

func (ze *Zone) reassign(ra Reassign) error {
	i, ok := ze.index(ra.VM)
	if !ok {
		return classifier.New(classifier.VMUnknown, "availability zone %s has no VM %q", ze.Name, ra.VM)
	}
	if _, ok := ze.Floors[ra.To]; !ok {
		return classifier.New(classifier.PoolUnknown, "pool %q does not exist; VM %s can't be reassigned to it", ra.To, ra.VM)
	}
	if ze.VMs[i].State != Quarantined {
		return classifier.New(classifier.VMBusy, "VM %s is not quarantined but %s", ra.VM, ze.VMs[i].State)
	}
	ze.VMs[i].Pool = ra.To
	ze.VMs[i].Purpose = NoPurpose
	ze.VMs[i].MoveTo = ""
	return nil
}

// step applies an event to a VM and updates the fields that depend on its state.
func (ze *Zone) step(i int, event Event, now time.Time) error {
	vm := &ze.VMs[i]
	next, err := VMChart.Next(string(vm.State), string(event), classifier.VMBusy)
	if err != nil {
		return classifier.Wrap(err, classifier.VMBusy, "VM %s", vm.Name)
	}
	vm.State = State(next)
	vm.Since = now
	if event == MoveEvent {
		vm.Pool = vm.MoveTo
	}
	if event == ReturnedEvent {
		if vm.Purpose == MaintenancePurpose {
			vm.Maintained = now
		}
		vm.Purpose = NoPurpose
		vm.MoveTo = ""
	}
	return nil
}

// Check returns a RecordInvalid error unless VM names are unique and in order,
// and every VM has a pool and a known state.
func Check(ze Zone) error {
	for i, vm := range ze.VMs {
		if i > 0 && strings.Compare(ze.VMs[i-1].Name, vm.Name) >= 0 {
			return classifier.New(classifier.RecordInvalid, "VM %s is out of order or a duplicate", vm.Name)
		}
		if vm.Pool == "" || !VMChart.HasState(string(vm.State)) {
			return classifier.New(classifier.RecordInvalid, "VM %s has an empty pool or an unknown state: pool %q, state %q", vm.Name, vm.Pool, vm.State)
		}
	}
	return nil
}
