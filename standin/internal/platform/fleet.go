package platform

import (
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
	"coltsfootwick.example/shared/store/storer"
)

// Fleet describes the VMs of the stand-in.
type Fleet struct {
	// VMs holds the VMs, all in state live.
	VMs []storer.VM
	// RebootURLs holds by VM name the URL that receives a POST when the VM reboots.
	RebootURLs map[string]string
}

type fileFleet struct {
	VMs []fileVM `toml:"vms"`
}

type fileVM struct {
	Name      string         `toml:"name"`
	Zone      string         `toml:"zone"`
	Rack      string         `toml:"rack"`
	Address   netip.AddrPort `toml:"address"`
	Pool      string         `toml:"pool"`
	RebootURL string         `toml:"rebootURL"`
}

// LoadFleet reads a TOML file with a table [[vms]] for each VM. It returns the
// errors of loader.Load.
func LoadFleet(path string) (Fleet, error) {
	return loader.Load(path, fileFleet{}, fileFleet.check)
}

func (ff fileFleet) check(rt *loader.Report) Fleet {
	ft := Fleet{
		RebootURLs: map[string]string{},
	}
	key := loader.Key{"vms"}
	seen := map[string]bool{}
	for _, fv := range ff.VMs {
		if fv.Name == "" || fv.Zone == "" || !fv.Address.IsValid() {
			rt.Add(classifier.SettingsRange, key, "VM %q must have a name, a zone and an address", fv.Name)
		}
		if seen[fv.Name] {
			rt.Add(classifier.SettingsRange, key, "VM %s is listed twice", fv.Name)
		}
		seen[fv.Name] = true
		ft.VMs = append(ft.VMs, fv.vm())
		if fv.RebootURL != "" {
			ft.RebootURLs[fv.Name] = fv.RebootURL
		}
	}
	return ft
}

func (fv fileVM) vm() storer.VM {
	return storer.VM{
		Name:    fv.Name,
		Zone:    fv.Zone,
		Rack:    fv.Rack,
		Address: fv.Address,
		Pool:    fv.Pool,
		State:   storer.Live,
		Boot:    1,
	}
}
