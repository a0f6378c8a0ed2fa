package runner

import (
	"net/netip"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/connector"
	sharedreporter "coltsfootwick.example/shared/process/reporter"
)

// connectPeers creates the connector to peers if the settings configure any, and
// sets the store from which records are followed.
func (rr *Runner) connectPeers() error {
	rr.followStore = rr.store
	if rr.settings.Peers == nil {
		return nil
	}
	id := certifier.Identity{
		Name: rr.settings.Name,
		Role: sharedreporter.Steward,
		Zone: rr.settings.Zone,
	}
	peers, err := connector.New(*rr.settings.Peers, id, rr.OperatorsAddress(), rr.store, rr.logger)
	if err != nil {
		return err
	}
	rr.peers = peers
	rr.meter.RegisterPeers(func() int { return len(peers.Live()) })
	rr.followStore = peers.Store()
	return nil
}

// peerAddress returns the address that receives peers' messages, or the zero
// value if no peers are configured.
func (rr *Runner) peerAddress() netip.AddrPort {
	if rr.peers == nil {
		return netip.AddrPort{}
	}
	return rr.peers.Address()
}
