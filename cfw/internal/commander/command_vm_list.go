package commander

import (
	"net/netip"
	"time"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/process/classifier"
)

// vmListCommand lists VMs.
type vmListCommand struct {
	Zone  string `placeholder:"ZONE" help:"Show only this availability zone."`
	Pool  string `placeholder:"POOL" help:"Show only this pool."`
	State string `placeholder:"STATE" help:"Show only this state."`
}

// wireVM is a VM as JSON.
type wireVM struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Pool    string         `json:"pool"`
	State   string         `json:"state"`
	Since   time.Time      `json:"since,omitzero"`
	Purpose string         `json:"purpose,omitempty"`
	MoveTo  string         `json:"moveTo,omitempty"`
	Wave    string         `json:"wave,omitempty"`
	Address netip.AddrPort `json:"address"`
	Listed  string         `json:"listed"`
}

// Help returns examples.
func (vmListCommand) Help() string {
	return `Lists the VMs from the fleet records. The state unregistered stands for a VM that no record holds yet. The column LISTED shows what the platform's lagging list says of the VM: live, leaving or missing.

Examples:

    cfw vm list
    cfw vm list --pool claims --state draining`
}

// Run implements the command.
func (vl *vmListCommand) Run(se *session) error {
	vms, err := se.fleetVMs()
	if err != nil {
		return err
	}
	view := printer.View{
		Header: []string{"VM", "ZONE", "RACK", "POOL", "STATE", "SINCE", "PURPOSE", "ADDRESS", "LISTED"},
	}
	wire := []wireVM{}
	for _, fv := range vms {
		if !vl.matches(fv) {
			continue
		}
		wire = append(wire, newWireVM(fv))
		view.Rows = append(view.Rows, []string{
			fv.vm.Name, fv.zone, fv.vm.Rack, fv.vm.Pool, fv.state, timeText(fv.vm.Since),
			purposeText(fv), fv.vm.Address.String(), fv.listed,
		})
	}
	if len(wire) == 0 && vl.State == "" && vl.Zone == "" && vl.Pool != "" {
		return classifier.New(classifier.PoolUnknown, "no VM belongs to pool %q", vl.Pool)
	}
	view.Wire = wire
	return se.printer.Show(view)
}

func (vl *vmListCommand) matches(fv fleetVM) bool {
	return (vl.Zone == "" || vl.Zone == fv.zone) &&
		(vl.Pool == "" || vl.Pool == fv.vm.Pool) &&
		(vl.State == "" || vl.State == fv.state)
}

// purposeText describes why a VM is out of service and, for a move, its new pool.
func purposeText(fv fleetVM) string {
	purpose := string(fv.vm.Purpose)
	if fv.vm.MoveTo != "" {
		purpose += " to " + fv.vm.MoveTo
	}
	if fv.vm.Purpose != "" && fv.vm.Wave != "" {
		purpose += " (wave " + fv.vm.Wave + ")"
	}
	return purpose
}

func newWireVM(fv fleetVM) wireVM {
	return wireVM{
		Name:    fv.vm.Name,
		Zone:    fv.zone,
		Rack:    fv.vm.Rack,
		Pool:    fv.vm.Pool,
		State:   fv.state,
		Since:   fv.vm.Since,
		Purpose: string(fv.vm.Purpose),
		MoveTo:  fv.vm.MoveTo,
		Wave:    fv.vm.Wave,
		Address: fv.vm.Address,
		Listed:  fv.listed,
	}
}
