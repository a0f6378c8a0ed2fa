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

// connectPeers makes the connector to peers, if the settings have any, and returns
// the service that records are followed at.
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

// PeerAddress returns the address that takes peers' messages; invalid without
// peers.
func (rr *Runner) PeerAddress() netip.AddrPort {
	if rr.peers == nil {
		return netip.AddrPort{}
	}
	return rr.peers.Address()
}

// peerOptions has peers told of the targets that refuse because they are
// leaving.
func (rr *Runner) peerOptions() []conductor.Option {
	if rr.peers == nil {
		return nil
	}
	refused := dispatcher.WithDrainingCallback(rr.peers.Relayer().SayLeaving)
	return []conductor.Option{conductor.WithDispatcherOptions(refused)}
}

// addPeers adds the actors that talk to peers and hear of leaving targets.
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
