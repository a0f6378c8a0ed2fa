package runner

import (
	"net/netip"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/connector"
	sharedreporter "coltsfootwick.example/shared/process/reporter"
)

// connect makes the connector to peers, if the settings have any, and sets the
// service that records are followed at.
func (rr *Runner) connect() error {
	rr.followed = rr.store
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
	rr.meter.WatchPeers(func() int { return len(peers.Live()) })
	rr.followed = peers.Store()
	return nil
}

// peerAddress returns the address that takes peers' messages; invalid without
// peers.
func (rr *Runner) peerAddress() netip.AddrPort {
	if rr.peers == nil {
		return netip.AddrPort{}
	}
	return rr.peers.Address()
}
