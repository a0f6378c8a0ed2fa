package runner

import (
	"context"
	"net/netip"

	"github.com/oklog/run"

	"coltsfootwick.example/coltsfootwick-entry/internal/conductor"
	"coltsfootwick.example/coltsfootwick-entry/internal/dispatcher"
	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/storer"
)

// connectPeers creates the connector to peers if the settings have any. It returns
// the store to watch records at: the peers' store, or else the given one.
func (rr *Runner) connectPeers(store storer.Store) (storer.Store, error) {
	if rr.settings.Peers == nil {
		return store, nil
	}
	id := certifier.Identity{
		Name: rr.settings.Name,
		Role: reporter.Entry,
		Zone: rr.settings.Zone,
	}
	peers, err := connector.New(*rr.settings.Peers, id, rr.OperatorsAddress(), store, rr.logger)
	if err != nil {
		return nil, err
	}
	rr.peers = peers
	rr.meter.RegisterPeers(func() int { return len(peers.Live()) })
	return peers.Store(), nil
}

// PeerAddress returns the address that accepts peers' messages. It is the zero
// AddrPort without peers.
func (rr *Runner) PeerAddress() netip.AddrPort {
	if rr.peers == nil {
		return netip.AddrPort{}
	}
	return rr.peers.Address()
}

// peerOptions returns the options that report draining targets to peers.
func (rr *Runner) peerOptions() []conductor.Option {
	if rr.peers == nil {
		return nil
	}
	onDraining := dispatcher.WithDrainingCallback(rr.peers.Relayer().BroadcastLeaving)
	return []conductor.Option{conductor.WithDispatcherOptions(onDraining)}
}

// addPeers adds the actors that exchange messages with peers and forward the
// targets that peers report as leaving.
func (rr *Runner) addPeers(group *run.Group) {
	if rr.peers == nil {
		return
	}
	addActor(group, rr.peers.Run)
	addActor(group, func(ctx context.Context) error {
		rr.follower.FollowLeaving(ctx, rr.peers.Relayer().Leaving())
		return ctx.Err()
	})
}
