package connector

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/peers/relayer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/storer"
)

const (
	seedsInterval   = 5 * time.Second
	warningInterval = 24 * time.Hour
)

// Connector is a process among its peers.
type Connector struct {
	platform storer.Store
	logger   *zap.Logger
	checker  *certifier.Checker
	quic     *messenger.QUIC
	gossiper *gossiper.Gossiper
	relayer  *relayer.Relayer
}

// New returns a Connector that listens on its address and is ready to Run. The
// error is KeysInvalid if the certificate is not one of the process, or
// ListenFailed.
func New(se Settings, id certifier.Identity, operators netip.AddrPort, platform storer.Store, logger *zap.Logger) (*Connector, error) {
	checker, err := certifier.LoadChecker(se.Authority, se.Certificate, se.Key)
	if err != nil {
		return nil, err
	}
	if checker.Identity() != id {
		return nil, classifier.New(classifier.KeysInvalid, "certificate %s is of %s %s in zone %s, the process is %s %s in zone %s",
			se.Certificate, checker.Identity().Role, checker.Identity().Name, checker.Identity().Zone, id.Role, id.Name, id.Zone)
	}
	quic, err := messenger.NewQUIC(se.Address, checker, logger)
	if err != nil {
		return nil, err
	}
	members := gossiper.New(quic, messenger.Member{
		Name:             id.Name,
		Role:             id.Role,
		Zone:             id.Zone,
		PeerAddress:      quic.Address(),
		OperatorsAddress: operators,
		Incarnation:      uint64(time.Now().UnixMilli()),
	}, gossiper.WithSeeds(se.Seeds...), gossiper.WithLogger(logger))
	return &Connector{
		platform: platform,
		logger:   logger,
		checker:  checker,
		quic:     quic,
		gossiper: members,
		relayer:  relayer.New(id.Zone, platform, quic, members, logger),
	}, nil
}

// Address returns the address that takes peers' messages, with its actual port.
func (cr *Connector) Address() netip.AddrPort { return cr.quic.Address() }

// Store returns the platform's service with the relayed records read from what
// the process and its peers hold.
func (cr *Connector) Store() storer.Store { return cr.relayer.Store() }

// Relayer returns the relay.
func (cr *Connector) Relayer() *relayer.Relayer { return cr.relayer }

// Live returns the other live members.
func (cr *Connector) Live() []messenger.Member { return cr.gossiper.Live() }

// Run takes part until the context is done, then tells peers of the planned
// stop and returns the context's error, or that of the transport if it failed.
func (cr *Connector) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var tasks, transport sync.WaitGroup
	transport.Go(func() { cancel(cr.quic.Execute()) })
	tasks.Go(func() { _ = cr.gossiper.Run(ctx, cr.relayer) })
	tasks.Go(func() { _ = cr.relayer.Run(ctx) })
	tasks.Go(func() { cr.discoverSeeds(ctx) })
	tasks.Go(func() { cr.warnOfExpiry(ctx) })
	tasks.Wait()
	cr.quic.Interrupt(nil)
	transport.Wait()
	return context.Cause(ctx)
}

// discoverSeeds looks for members in the records of the platform's service at the
// start and whenever no other member is known.
func (cr *Connector) discoverSeeds(ctx context.Context) {
	ticker := time.NewTicker(seedsInterval)
	defer ticker.Stop()
	for {
		if len(cr.gossiper.Live()) == 0 {
			cr.addSeeds(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (cr *Connector) addSeeds(ctx context.Context) {
	entries, _, err := cr.platform.List(ctx, storer.MemberPrefix)
	if err != nil {
		cr.logger.Debug("members not listed", zap.Error(err))
		return
	}
	for _, et := range entries {
		member, err := reporter.DecodeMember(et.Value)
		if err == nil && member.PeerAddress.IsValid() && member.PeerAddress != cr.quic.Address() {
			cr.gossiper.AddSeeds(member.PeerAddress)
		}
	}
}

// warnOfExpiry logs the expiry of the certificate, at the start and each day.
func (cr *Connector) warnOfExpiry(ctx context.Context) {
	ticker := time.NewTicker(warningInterval)
	defer ticker.Stop()
	for {
		if warning := cr.checker.ExpiryWarning(); warning != "" {
			cr.logger.Warn("certificate to be made again with cfw keys", zap.String("warning", warning))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
