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

// Connector connects a process to its peers.
type Connector struct {
	platform storer.Store
	logger   *zap.Logger
	checker  *certifier.Checker
	quic     *messenger.QUIC
	gossiper *gossiper.Gossiper
	relayer  *relayer.Relayer
}

// New returns a Connector that listens on its address and is ready to Run. The
// error is KeysInvalid if the certificate is invalid or has another identity than
// the process, or ListenFailed.
func New(se Settings, id certifier.Identity, operators netip.AddrPort, platform storer.Store, logger *zap.Logger) (*Connector, error) {
	checker, err := certifier.LoadChecker(se.Authority, se.Certificate, se.Key)
	if err != nil {
		return nil, err
	}
	if checker.Identity() != id {
		return nil, classifier.New(classifier.KeysInvalid, "certificate %s belongs to %s %s in zone %s, but the process is %s %s in zone %s",
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

// Address returns the address for peers, with its actual port.
func (cr *Connector) Address() netip.AddrPort { return cr.quic.Address() }

// Store returns the platform's service with the relayed topics served from the
// replica of the process.
func (cr *Connector) Store() storer.Store { return cr.relayer.Store() }

// Relayer returns the relayer of the process.
func (cr *Connector) Relayer() *relayer.Relayer { return cr.relayer }

// Live returns the other live members.
func (cr *Connector) Live() []messenger.Member { return cr.gossiper.Live() }

// Run runs the transport, the membership and the relayer until the context is
// done or the transport fails. It announces the planned stop to peers and returns
// the error of the context or of the transport.
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

// discoverSeeds adds members from the records of the platform's service as
// seeds, at the start and whenever there is no other live member.
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
		cr.logger.Debug("listing members at the platform for seeds failed", zap.Error(err))
		return
	}
	for _, et := range entries {
		member, err := reporter.DecodeMember(et.Value)
		if err == nil && member.PeerAddress.IsValid() && member.PeerAddress != cr.quic.Address() {
			cr.gossiper.AddSeeds(member.PeerAddress)
		}
	}
}

// warnOfExpiry logs a warning if the certificate expires soon or is not valid,
// at the start and every warningInterval.
func (cr *Connector) warnOfExpiry(ctx context.Context) {
	ticker := time.NewTicker(warningInterval)
	defer ticker.Stop()
	for {
		if warning := cr.checker.ExpiryWarning(); warning != "" {
			cr.logger.Warn("certificate of this node has to be renewed with cfw keys", zap.String("warning", warning))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
