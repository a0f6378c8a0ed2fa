package commander

import (
	"time"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/process/classifier"
)

// vmMoveCommand moves a VM to another pool.
type vmMoveCommand struct {
	VM     string `arg:"" help:"Name of the VM."`
	Pool   string `arg:"" help:"Pool that gets it."`
	Reason string `required:"" placeholder:"TEXT" help:"Why, for the audit trail."`
	NoWait bool   `help:"Don't wait until the VM serves its new pool."`
}

// Help returns examples.
func (vmMoveCommand) Help() string {
	return `Drains a VM and gives it to another pool, if the availability budget of its pool allows that. Requests in flight finish first. The command waits until the VM is in service in its new pool.

Example:

    cfw vm move a-07 dispatch --reason "campaign in Paraná"`
}

// Run implements the command.
func (vm *vmMoveCommand) Run(se *session) error {
	return se.changeVM(vm.VM, vm.Reason, recorder.Drain{
		VM:      vm.VM,
		Purpose: recorder.MovePurpose,
		MoveTo:  vm.Pool,
	}, vm.NoWait)
}

// vmCancelCommand cancels a drain.
type vmCancelCommand struct {
	VM     string `arg:"" help:"Name of the VM."`
	Reason string `required:"" placeholder:"TEXT" help:"Why, for the audit trail."`
	NoWait bool   `help:"Don't wait until the VM is in service."`
}

// Help returns examples.
func (vmCancelCommand) Help() string {
	return `Calls off a move or a maintenance that has not gone past the drain. The VM returns to service in its pool.

Example:

    cfw vm cancel a-07 --reason "needed for the morning"`
}

// Run implements the command.
func (vm *vmCancelCommand) Run(se *session) error {
	return se.changeVM(vm.VM, vm.Reason, recorder.Advance{
		VM:    vm.VM,
		Event: recorder.CancelEvent,
	}, vm.NoWait)
}

// vmReleaseCommand releases a VM from quarantine.
type vmReleaseCommand struct {
	VM     string `arg:"" help:"Name of the VM."`
	Reason string `required:"" placeholder:"TEXT" help:"Why, for the audit trail."`
	NoWait bool   `help:"Don't wait until the VM is in service."`
}

// Help returns examples.
func (vmReleaseCommand) Help() string {
	return `Lets a quarantined VM be checked. It returns to service once it answers its health check.

Example:

    cfw vm release a-07 --reason "disk replaced"`
}

// Run implements the command.
func (vm *vmReleaseCommand) Run(se *session) error {
	return se.changeVM(vm.VM, vm.Reason, recorder.Advance{
		VM:    vm.VM,
		Event: recorder.ReleaseEvent,
	}, vm.NoWait)
}

// vmPollInterval is how often a waiting command reads the VM's record.
const vmPollInterval = time.Second

// changeVM applies a change to a VM, waits until the VM is in service unless
// noWait is set, and shows the VM.
func (se *session) changeVM(name, reason string, change recorder.Change, noWait bool) error {
	if err := se.requireAuthor(); err != nil {
		return err
	}
	store, _, err := se.store()
	if err != nil {
		return err
	}
	ry := recorder.NewRepository(store, recorder.WithClock(se.now), recorder.WithAuthor(se.Author))
	ze, err := ry.Locate(se.ctx, name)
	if err != nil {
		return err
	}
	vm, err := ze.Find(name)
	if err != nil {
		return err
	}
	vm, err = se.applyToVM(ry, ze.Name, vm, reason, change, noWait)
	if err == nil && !noWait {
		vm, err = se.awaitInService(ry, ze.Name, vm)
	}
	if err != nil {
		return err
	}
	return se.showVM(ze.Name, vm)
}

// applyToVM applies a change to a VM and returns the changed VM. If the change
// exceeds the availability budget, applyToVM borrows budget from other
// availability zones and retries. If there is none to borrow, it retries until the
// command's timeout, or fails at once if noWait is set.
func (se *session) applyToVM(ry *recorder.Repository, zone string, vm recorder.VM, reason string, change recorder.Change, noWait bool) (recorder.VM, error) {
	ticker := time.NewTicker(vmPollInterval)
	defer ticker.Stop()
	shown := ""
	for {
		changes, err := se.withFloors(ry, change)
		if err != nil {
			return vm, err
		}
		ze, err := ry.Change(se.ctx, zone, reason, changes...)
		if err == nil {
			return ze.Find(vm.Name)
		}
		if classifier.CodeOf(err) != classifier.BudgetExceeded {
			return vm, err
		}
		if lent, _ := planner.TransferBudget(se.ctx, ry, zone, vm.Pool); lent {
			se.progressf("availability zone %s borrowed budget for pool %s", zone, vm.Pool)
			continue
		}
		if noWait {
			return vm, err
		}
		if text := err.Error(); text != shown {
			se.progressf("waiting for availability budget: %s", text)
			shown = text
		}
		select {
		case <-ticker.C:
		case <-se.ctx.Done():
			return vm, err
		}
	}
}

// withFloors prepends an update of the floors to a change, so that the change is
// checked against the settings in force even if the steward hasn't received them.
func (se *session) withFloors(ry *recorder.Repository, change recorder.Change) ([]recorder.Change, error) {
	settings, err := se.current()
	if classifier.CodeOf(err) == classifier.SettingsNotFound {
		return []recorder.Change{change}, nil
	}
	if err != nil {
		return nil, err
	}
	zones, err := ry.Zones(se.ctx)
	if err != nil {
		return nil, err
	}
	return []recorder.Change{
		recorder.SetFloors{
			Revision: settings.Revision,
			Floors:   recorder.FloorsOf(settings, max(len(zones), 1)),
		},
		change,
	}, nil
}

// awaitInService waits until a VM is in service and prints its intermediate states.
// It returns a VMBusy error if the VM is quarantined or the context is done.
func (se *session) awaitInService(ry *recorder.Repository, zone string, vm recorder.VM) (recorder.VM, error) {
	ticker := time.NewTicker(vmPollInterval)
	defer ticker.Stop()
	shown := recorder.State("")
	for vm.State != recorder.InService {
		if vm.State == recorder.Quarantined {
			return vm, classifier.New(classifier.VMBusy, "VM %s did not return to service and is quarantined", vm.Name)
		}
		if vm.State != shown {
			se.progressf("VM %s is %s", vm.Name, vm.State)
			shown = vm.State
		}
		select {
		case <-ticker.C:
		case <-se.ctx.Done():
			return vm, classifier.New(classifier.VMBusy, "VM %s is still %s; the stewards continue the change after this command ends", vm.Name, vm.State)
		}
		ze, err := ry.Zone(se.ctx, zone)
		if err != nil {
			continue
		}
		if vm, err = ze.Find(vm.Name); err != nil {
			return vm, err
		}
	}
	return vm, nil
}

func (se *session) showVM(zone string, vm recorder.VM) error {
	fv := fleetVM{
		vm:    vm,
		zone:  zone,
		state: string(vm.State),
	}
	return se.printer.Show(printer.View{
		Header: []string{"VM", "ZONE", "POOL", "STATE", "PURPOSE"},
		Rows:   [][]string{{vm.Name, zone, vm.Pool, fv.state, purposeText(fv)}},
		Wire:   newWireVM(fv),
	})
}
