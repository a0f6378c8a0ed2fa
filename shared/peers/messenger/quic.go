package messenger

import (
	"context"
	"crypto/sha256"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/process/classifier"
)

const (
	protocol           = "coltsfootwick-peer/1"
	handshakeTimeout   = 2 * time.Second
	idleTimeout        = 2 * time.Minute
	streamTimeout      = 5 * time.Second
	maxStreams         = 16
	maxWindowBytes     = 2 * MaxBytes
	maxDatagramBytes   = 1100
	deliveriesCapacity = 256
	maxLinks           = 1024
	closeNormal        = 0
	closeUnauthorised  = 1
)

// QUIC is a Transport over QUIC with mutual TLS. It holds one connection to each
// peer, dialled by either side, and dials again with exponential backoff. Short
// messages are sent as datagrams, longer ones on a stream each. Its methods
// Execute and Interrupt form an actor of an oklog/run group.
type QUIC struct {
	checker    *certifier.Checker
	logger     *zap.Logger
	socket     *net.UDPConn
	transport  *quic.Transport
	listener   *quic.Listener
	config     *quic.Config
	deliveries chan Delivery
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	mutex sync.Mutex
	links map[netip.AddrPort]*link
}

// NewQUIC listens on a UDP address and returns a QUIC that accepts connections
// once Execute is called. The error is ListenFailed if listening fails.
func NewQUIC(address netip.AddrPort, checker *certifier.Checker, logger *zap.Logger) (*QUIC, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.ListenFailed, "%s", address)
	}
	qc := &QUIC{
		checker: checker,
		logger:  logger,
		socket:  socket,
		transport: &quic.Transport{
			Conn:              socket,
			StatelessResetKey: statelessResetKey(checker),
		},
		config: &quic.Config{
			HandshakeIdleTimeout:       handshakeTimeout,
			MaxIdleTimeout:             idleTimeout,
			MaxIncomingStreams:         -1,
			MaxIncomingUniStreams:      maxStreams,
			MaxStreamReceiveWindow:     MaxBytes,
			MaxConnectionReceiveWindow: maxWindowBytes,
			EnableDatagrams:            true,
		},
		deliveries: make(chan Delivery, deliveriesCapacity),
		links:      map[netip.AddrPort]*link{},
	}
	qc.ctx, qc.cancel = context.WithCancel(context.Background())
	qc.listener, err = qc.transport.Listen(checker.TLS(protocol), qc.config)
	if err != nil {
		_ = socket.Close()
		return nil, classifier.Wrap(err, classifier.ListenFailed, "%s", address)
	}
	return qc, nil
}

// statelessResetKey returns a key that stays the same over restarts of a node, so
// that peers detect a restart at once.
func statelessResetKey(checker *certifier.Checker) *quic.StatelessResetKey {
	key := quic.StatelessResetKey(sha256.Sum256(checker.Secret("stateless reset")))
	return &key
}

// Address implements Transport.
func (qc *QUIC) Address() netip.AddrPort {
	address, ok := qc.socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return canonical(address.AddrPort())
}

// Deliveries implements Transport.
func (qc *QUIC) Deliveries() <-chan Delivery { return qc.deliveries }

// Send implements Transport.
func (qc *QUIC) Send(to netip.AddrPort, ms Message) {
	data, err := Encode(ms)
	if err != nil {
		qc.logger.Error("message not sent: encoding it failed", zap.Stringer("peerAddress", to), zap.Error(err))
		return
	}
	if lk := qc.linkTo(canonical(to)); lk != nil {
		lk.enqueue(data)
	}
}

// Execute accepts connections until Interrupt is called.
func (qc *QUIC) Execute() error {
	defer qc.shutDown()
	for {
		conn, err := qc.listener.Accept(qc.ctx)
		switch {
		case qc.ctx.Err() != nil:
			return nil
		case err != nil:
			return classifier.Wrap(err, classifier.ListenFailed, "%s", qc.Address())
		}
		remote, ok := conn.RemoteAddr().(*net.UDPAddr)
		if !ok {
			continue
		}
		if lk := qc.linkTo(canonical(remote.AddrPort())); lk != nil {
			lk.accept(conn)
		} else {
			_ = conn.CloseWithError(closeNormal, "too many peers")
		}
	}
}

// Interrupt makes Execute return, which closes all connections.
func (qc *QUIC) Interrupt(error) { qc.cancel() }

func (qc *QUIC) shutDown() {
	qc.cancel()
	_ = qc.listener.Close()
	qc.tasks.Wait()
	_ = qc.transport.Close()
	_ = qc.socket.Close()
}

// linkTo returns the link to an address, or nil if there are too many links or
// the transport is closed.
func (qc *QUIC) linkTo(address netip.AddrPort) *link {
	qc.mutex.Lock()
	defer qc.mutex.Unlock()
	if lk, ok := qc.links[address]; ok {
		return lk
	}
	if len(qc.links) >= maxLinks || qc.ctx.Err() != nil {
		return nil
	}
	lk := newLink(qc, address)
	qc.links[address] = lk
	qc.tasks.Go(lk.runDatagrams)
	qc.tasks.Go(lk.runStreams)
	return lk
}

// removeLink removes an idle link.
func (qc *QUIC) removeLink(lk *link) {
	qc.mutex.Lock()
	defer qc.mutex.Unlock()
	delete(qc.links, lk.address)
}

// receive decodes a message and delivers it, unless its sender differs from the
// identity in the certificate.
func (qc *QUIC) receive(from netip.AddrPort, id certifier.Identity, data []byte) {
	ms, err := Decode(data)
	if err == nil && (ms.Sender.Name != id.Name || ms.Sender.Role != id.Role || ms.Sender.Zone != id.Zone) {
		err = classifier.New(classifier.PeerUnauthorised, "peer with the certificate of %s sent a message as %s", id.Name, ms.Sender.Name)
	}
	if err != nil {
		qc.logger.Warn("message from peer rejected", zap.Stringer("peerAddress", from), zap.Error(err))
		return
	}
	if _, ok := ms.Body.(Unknown); ok {
		return
	}
	select {
	case qc.deliveries <- Delivery{
		From:     from,
		Identity: id,
		Message:  ms,
	}:
	default:
	}
}

// canonical returns the address with an IPv4-mapped IPv6 address as IPv4.
func canonical(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
