// Package connector connects a process to its peers: it loads the certificate
// and runs the transport, the membership and the relayer.
package connector

import (
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

// Section is the name of the table in the settings file of a process.
const Section = "peers"

// Settings are the settings of a process for its peers.
type Settings struct {
	// Address is the UDP address on which the process receives messages of
	// peers.
	Address netip.AddrPort
	// Authority, Certificate and Key are paths of PEM files.
	Authority, Certificate, Key string
	// Seeds are peer addresses through which the process joins, besides those in
	// the members' records of the platform's service.
	Seeds []netip.AddrPort
}

// WireSettings is the form of Settings in the settings file of a process.
type WireSettings struct {
	Address     netip.AddrPort   `toml:"address"`
	Authority   string           `toml:"authority"`
	Certificate string           `toml:"certificate"`
	Key         string           `toml:"key"`
	Seeds       []netip.AddrPort `toml:"seeds"`
}

// Check reports the errors in the table and returns the settings, or nil if the
// file has no such table.
func (ws WireSettings) Check(rt *loader.Report) *Settings {
	if !rt.Has(Section) {
		return nil
	}
	for _, key := range []string{"address", "authority", "certificate", "key"} {
		rt.Require(Section, key)
	}
	if ws.Address.IsValid() && ws.Address.Addr().IsUnspecified() {
		rt.Add(classifier.SettingsRange, loader.Key{Section, "address"}, "%s.address is %s, but peers need an address of this VM", Section, ws.Address)
	}
	return &Settings{
		Address:     ws.Address,
		Authority:   ws.Authority,
		Certificate: ws.Certificate,
		Key:         ws.Key,
		Seeds:       ws.Seeds,
	}
}
