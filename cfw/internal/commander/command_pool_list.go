package commander

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/settings/configurer"
)

// poolListCommand lists the pools.
type poolListCommand struct{}

// wirePool is a pool with its VMs as JSON.
type wirePool struct {
	Name        string   `json:"name"`
	Spare       bool     `json:"spare"`
	Services    []string `json:"services"`
	MinVMs      int      `json:"minVMs"`
	MaxVMs      int      `json:"maxVMs"`
	MaxDraining float64  `json:"maxDraining"`
	VMs         int      `json:"vms"`
	InService   int      `json:"inService"`
	InSettings  bool     `json:"inSettings"`
}

// Help returns examples.
func (poolListCommand) Help() string {
	return `Lists the pools of the settings with the VMs that the fleet records hold for them. A pool that still has VMs but is no longer in the settings is shown with "-" as its bounds.

Example:

    cfw pool list`
}

// Run implements the command.
func (poolListCommand) Run(se *session) error {
	settings, err := se.current()
	if err != nil {
		return err
	}
	vms, err := se.fleetVMs()
	if err != nil {
		return err
	}
	view := printer.View{
		Header: []string{"POOL", "SPARE", "VMS", "IN-SERVICE", "MIN", "MAX", "MAX-DRAINING", "SERVICES"},
	}
	wire := newWirePools(settings, vms)
	for _, pool := range wire {
		view.Rows = append(view.Rows, poolRow(pool))
	}
	view.Wire = wire
	return se.printer.Show(view)
}

// newWirePools joins the pools of the settings with those of the VMs, ordered
// by name.
func newWirePools(settings configurer.Settings, vms []fleetVM) []wirePool {
	pools := map[string]*wirePool{}
	for name, pl := range settings.Pools {
		pools[name] = &wirePool{
			Name:        name,
			Spare:       pl.Spare,
			Services:    []string{},
			MinVMs:      pl.MinVMs,
			MaxVMs:      pl.MaxVMs,
			MaxDraining: pl.MaxDraining,
			InSettings:  true,
		}
	}
	for _, name := range slices.Sorted(maps.Keys(settings.Services)) {
		pool := pools[settings.Services[name].Pool]
		pool.Services = append(pool.Services, name)
	}
	countVMs(pools, vms)
	wire := make([]wirePool, 0, len(pools))
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		wire = append(wire, *pools[name])
	}
	return wire
}

// countVMs adds the VMs to the counts of their pools. It adds pools that are not
// in the settings.
func countVMs(pools map[string]*wirePool, vms []fleetVM) {
	for _, fv := range vms {
		if fv.state == unregistered {
			continue
		}
		pool, ok := pools[fv.vm.Pool]
		if !ok {
			pool = &wirePool{
				Name:     fv.vm.Pool,
				Services: []string{},
			}
			pools[fv.vm.Pool] = pool
		}
		pool.VMs++
		if fv.vm.State == recorder.InService {
			pool.InService++
		}
	}
}

func poolRow(pool wirePool) []string {
	row := []string{pool.Name, yesNo(pool.Spare), strconv.Itoa(pool.VMs), strconv.Itoa(pool.InService)}
	if !pool.InSettings {
		return append(row, "", "", "", "")
	}
	return append(row,
		strconv.Itoa(pool.MinVMs),
		strconv.Itoa(pool.MaxVMs),
		shareText(pool.MaxDraining),
		strings.Join(pool.Services, ", "),
	)
}
