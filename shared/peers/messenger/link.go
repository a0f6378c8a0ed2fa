package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/store/storer"
)

const (
	datagramQueueLength = 64
	streamQueueLength   = 8
	minDialBackoff      = 50 * time.Millisecond
	maxDialBackoff      = 2 * time.Second
)

// link sends messages to one peer. It has one goroutine for datagrams and one for
// streams, so that long messages don't delay pings and acknowledgements.
type link struct {
	quic      *QUIC
	address   netip.AddrPort
	datagrams chan []byte
	streamed  chan []byte
	// closed is closed when the link is closed.
	closed chan struct{}

	dialMutex sync.Mutex
	backoff   *storer.Backoff

	mutex sync.Mutex
	// session is the current connection, or nil.
	session *session
}

// session is a connection to a peer whose certificate has been verified.
type session struct {
	conn     *quic.Conn
	identity certifier.Identity
	// isDialled is true if this node dialled the connection.
	isDialled bool
	// certificateExpiry is when the peer's certificate expires.
	certificateExpiry time.Time
}

func newLink(qc *QUIC, address netip.AddrPort) *link {
	return &link{
		quic:      qc,
		address:   address,
		datagrams: make(chan []byte, datagramQueueLength),
		streamed:  make(chan []byte, streamQueueLength),
		closed:    make(chan struct{}),
		backoff:   storer.NewBackoff(minDialBackoff, maxDialBackoff),
	}
}

// enqueue queues a message for a datagram or a stream by its length, or drops it
// if the queue is full.
func (lk *link) enqueue(data []byte) {
	queue := lk.datagrams
	if len(data) > maxDatagramBytes {
		queue = lk.streamed
	}
	select {
	case queue <- data:
	default:
	}
}

// runDatagrams sends the queued datagrams until the transport is closed or the
// link is idle without a connection; then it closes the link.
func (lk *link) runDatagrams() {
	defer lk.close()
	ctx := lk.quic.ctx
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case data := <-lk.datagrams:
			lk.send(ctx, data)
			idle.Reset(idleTimeout)
		case <-idle.C:
			if lk.liveSession() == nil {
				lk.quic.removeLink(lk)
				return
			}
			idle.Reset(idleTimeout)
		case <-ctx.Done():
			return
		}
	}
}

// runStreams sends the queued long messages until the link is closed.
func (lk *link) runStreams() {
	for {
		select {
		case data := <-lk.streamed:
			lk.send(lk.quic.ctx, data)
		case <-lk.closed:
			return
		}
	}
}

func (lk *link) close() {
	close(lk.closed)
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	if lk.session != nil {
		_ = lk.session.conn.CloseWithError(closeNormal, "ended")
	}
}

// liveSession returns the current connection if it is open, or nil.
func (lk *link) liveSession() *session {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	if lk.session == nil || lk.session.conn.Context().Err() != nil {
		return nil
	}
	return lk.session
}

// send sends one message, unless the peer is unreachable.
func (lk *link) send(ctx context.Context, data []byte) {
	se, err := lk.connect(ctx)
	if err != nil {
		lk.quic.logger.Debug("peer unreachable, message dropped", zap.Stringer("peerAddress", lk.address), zap.Error(err))
		return
	}
	if se.closeIfExpired() {
		return
	}
	if len(data) <= maxDatagramBytes && se.conn.SendDatagram(data) == nil {
		return
	}
	sendStream(ctx, se.conn, data)
}

// connect returns the current connection, or dials one. After a failed dial it
// waits for the backoff and then drops the queued datagrams, since pings and
// acknowledgements are of no use later.
func (lk *link) connect(ctx context.Context) (*session, error) {
	lk.dialMutex.Lock()
	defer lk.dialMutex.Unlock()
	if se := lk.liveSession(); se != nil {
		return se, nil
	}
	se, err := lk.dial(ctx)
	if err != nil {
		_ = lk.backoff.Pause(ctx)
		lk.dropDatagrams()
		return nil, err
	}
	lk.backoff.Reset()
	return se, nil
}

func (lk *link) dropDatagrams() {
	for {
		select {
		case <-lk.datagrams:
		default:
			return
		}
	}
}

// sendStream sends one message on a new stream.
func sendStream(ctx context.Context, conn *quic.Conn, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(streamTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(closeNormal)
		return
	}
	_ = stream.Close()
}

// dial dials the peer and returns the connection to use.
func (lk *link) dial(ctx context.Context) (*session, error) {
	dialContext, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	qc := lk.quic
	conn, err := qc.transport.Dial(dialContext, net.UDPAddrFromAddrPort(lk.address), qc.checker.TLS(protocol), qc.config)
	if err != nil {
		return nil, err
	}
	return lk.register(conn, true)
}

// accept registers a connection that the peer dialled.
func (lk *link) accept(conn *quic.Conn) {
	if _, err := lk.register(conn, false); err != nil {
		lk.quic.logger.Warn("connection from peer rejected", zap.Stringer("peerAddress", lk.address), zap.Error(err))
	}
}

// register makes a connection the current one, and returns the current one. If
// both peers have dialled at the same time, it keeps the connection that the
// peer with the lower address dialled.
func (lk *link) register(conn *quic.Conn, isDialled bool) (*session, error) {
	id, err := lk.quic.checker.CheckState(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(closeUnauthorised, "no valid certificate")
		return nil, err
	}
	se := &session{
		conn:              conn,
		identity:          id,
		isDialled:         isDialled,
		certificateExpiry: conn.ConnectionState().TLS.PeerCertificates[0].NotAfter,
	}
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	current := lk.session
	if current != nil && current.conn.Context().Err() == nil {
		if current.isDialled != isDialled && lk.isOwnDialPreferred() == current.isDialled && current.isRecent() {
			_ = conn.CloseWithError(closeNormal, "connected already")
			return current, nil
		}
		_ = current.conn.CloseWithError(closeNormal, "connected anew")
	}
	lk.session = se
	lk.quic.tasks.Go(func() { lk.readDatagrams(se) })
	lk.quic.tasks.Go(func() { lk.readStreams(se) })
	return se, nil
}

// isOwnDialPreferred reports whether the connection that this node dialled is kept
// if both peers have dialled at the same time.
func (lk *link) isOwnDialPreferred() bool {
	return lk.quic.Address().Compare(lk.address) < 0
}

// isRecent reports whether the connection may have been dialled at the same time
// as a new one. An older connection may be left from before the peer restarted.
func (se *session) isRecent() bool {
	const packets = 16
	return se.conn.ConnectionStats().PacketsReceived < packets
}

// closeIfExpired closes the connection if the peer's certificate has expired, and
// reports whether it has.
func (se *session) closeIfExpired() bool {
	if time.Now().Before(se.certificateExpiry) {
		return false
	}
	_ = se.conn.CloseWithError(closeUnauthorised, "certificate expired")
	return true
}
