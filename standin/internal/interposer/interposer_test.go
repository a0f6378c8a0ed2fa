package interposer

import (
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

const (
	// patience bounds what must happen, and quietTime is how long a test waits for
	// what must not happen.
	patience  = 5 * time.Second
	quietTime = 150 * time.Millisecond
)

// peer is a server that hands its connections to the test.
type peer struct {
	listener net.Listener
	conns    chan *net.TCPConn
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	pr := &peer{
		listener: listener,
		conns:    make(chan *net.TCPConn, 16),
	}
	go func() {
		defer close(pr.conns)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			pr.conns <- conn.(*net.TCPConn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return pr
}

func (pr *peer) address() netip.AddrPort { return pr.listener.Addr().(*net.TCPAddr).AddrPort() }

// next returns the next connection that reaches the server.
func (pr *peer) next(t *testing.T) *net.TCPConn {
	t.Helper()
	select {
	case conn := <-pr.conns:
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	case <-time.After(patience):
		t.Fatal("no connection reached the server")
		return nil
	}
}

func newInterposer(t *testing.T, pr *peer, opts ...Option) *Interposer {
	t.Helper()
	ip, err := New(pr.address(), opts...)
	must.NoError(t, err)
	t.Cleanup(ip.Close)
	return ip
}

func dial(t *testing.T, ip *Interposer) *net.TCPConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", ip.Address().String(), patience)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// connect returns both ends of a connection.
func connect(t *testing.T, ip *Interposer, pr *peer) (client, server *net.TCPConn) {
	t.Helper()
	client = dial(t, ip)
	return client, pr.next(t)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	must.NoError(t, err)
}

// receive checks that a text arrives.
func receive(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(conn, buffer)
	must.NoError(t, err)
	must.Eq(t, text, string(buffer))
}

// receiveNothing checks that neither bytes nor an end arrive.
func receiveNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(quietTime)))
	length, err := conn.Read(make([]byte, 1))
	must.Zero(t, length)
	var netErr net.Error
	must.True(t, errors.As(err, &netErr) && netErr.Timeout(), must.Sprintf("%v", err))
}

// receiveError checks that a connection ends, and returns with which error.
func receiveError(t *testing.T, conn net.Conn) error {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
	_, err := conn.Read(make([]byte, 1))
	must.Error(t, err)
	return err
}

func TestForwardsBothDirectionsAndEnds(t *testing.T) {
	pr := newPeer(t)
	client, server := connect(t, newInterposer(t, pr), pr)
	send(t, client, "question")
	receive(t, server, "question")
	must.NoError(t, client.CloseWrite())
	must.ErrorIs(t, receiveError(t, server), io.EOF)
	send(t, server, "answer")
	receive(t, client, "answer")
	must.NoError(t, server.Close())
	must.ErrorIs(t, receiveError(t, client), io.EOF)
}

func TestForwardsResets(t *testing.T) {
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	client, server := connect(t, ip, pr)
	abort(client)
	must.ErrorIs(t, receiveError(t, server), syscall.ECONNRESET)
	client, server = connect(t, ip, pr)
	abort(server)
	must.ErrorIs(t, receiveError(t, client), syscall.ECONNRESET)
}

func TestDelaysADirection(t *testing.T) {
	const duration = 400 * time.Millisecond
	for _, test := range []struct {
		name                      string
		direction                 Direction
		isForward, isBackwardSlow bool
	}{
		{"forward", Forward, true, false},
		{"backward", Backward, false, true},
		{"both", Both, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			pr := newPeer(t)
			ip := newInterposer(t, pr)
			client, server := connect(t, ip, pr)
			ip.SetFaults(Delay{Direction: test.direction, Duration: duration})
			// Each text takes at least the delay, and without one arrives before a
			// delayed text that was sent first.
			elapsed := func(from, to net.Conn) time.Duration {
				began := time.Now()
				send(t, from, "one")
				send(t, from, "two")
				receive(t, to, "onetwo")
				return time.Since(began)
			}
			must.Eq(t, test.isForward, elapsed(client, server) >= duration)
			must.Eq(t, test.isBackwardSlow, elapsed(server, client) >= duration)
			ip.SetFaults()
			must.Less(t, duration, elapsed(client, server))
		})
	}
}

func TestJitterDependsOnTheSeed(t *testing.T) {
	pr := newPeer(t)
	draw := func(seed uint64) (delays []time.Duration) {
		ip := newInterposer(t, pr, WithSeed(seed))
		ip.SetFaults(Delay{Duration: time.Second, Jitter: time.Second})
		for range 5 {
			delay := ip.delay(forward)
			must.Between(t, time.Second, delay, 2*time.Second)
			delays = append(delays, delay)
		}
		return delays
	}
	must.Eq(t, draw(1), draw(1))
	must.NotEq(t, draw(1), draw(2))
}

func TestCutHoldsADirection(t *testing.T) {
	for _, test := range []struct {
		name                  string
		direction             Direction
		holdsForward, holdsIt bool
	}{
		{"forward", Forward, true, false},
		{"backward", Backward, false, true},
		{"both", Both, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			pr := newPeer(t)
			ip := newInterposer(t, pr)
			client, server := connect(t, ip, pr)
			ip.SetFaults(Cut{Direction: test.direction})
			send(t, client, "question")
			send(t, server, "answer")
			check := func(conn net.Conn, isHeld bool, text string) {
				if !isHeld {
					receive(t, conn, text)
					return
				}
				receiveNothing(t, conn)
			}
			check(server, test.holdsForward, "question")
			check(client, test.holdsIt, "answer")
			ip.SetFaults()
			if test.holdsForward {
				receive(t, server, "question")
			}
			if test.holdsIt {
				receive(t, client, "answer")
			}
		})
	}
}

func TestCutAppliesToDelayedBytes(t *testing.T) {
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	client, server := connect(t, ip, pr)
	const delay = 400 * time.Millisecond
	ip.SetFaults(Delay{Duration: delay})
	send(t, client, "question")
	ip.SetFaults(Cut{})
	time.Sleep(delay)
	receiveNothing(t, server)
	ip.SetFaults()
	receive(t, server, "question")
}

func TestCutHoldsTheEndOfASender(t *testing.T) {
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	client, server := connect(t, ip, pr)
	ip.SetFaults(Cut{})
	send(t, client, "question")
	must.NoError(t, client.Close())
	receiveNothing(t, server)
	ip.SetFaults()
	receive(t, server, "question")
	must.ErrorIs(t, receiveError(t, server), io.EOF)
}

func TestCutDropsTheBytesOfASenderThatResets(t *testing.T) {
	for _, test := range []struct {
		name   string
		length int
	}{
		{"some bytes", 10},
		{"more than the proxy reads", 2 * chunkBytes * maxChunks},
	} {
		t.Run(test.name, func(t *testing.T) {
			pr := newPeer(t)
			ip := newInterposer(t, pr)
			client, server := connect(t, ip, pr)
			ip.SetFaults(Cut{Direction: Forward})
			send(t, client, string(make([]byte, test.length)))
			time.Sleep(quietTime)
			abort(client)
			receiveNothing(t, server)
			ip.SetFaults()
			must.ErrorIs(t, receiveError(t, server), syscall.ECONNRESET)
		})
	}
}

func TestNoConnectionIsMadeDuringAForwardCut(t *testing.T) {
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	for range 3 {
		ip.SetFaults(Cut{Direction: Forward})
		for range 2 {
			_, err := net.DialTimeout("tcp", ip.Address().String(), quietTime)
			var netErr net.Error
			must.True(t, errors.As(err, &netErr) && netErr.Timeout(), must.Sprintf("%v", err))
		}
		must.Eq(t, 0, len(pr.conns))
		ip.SetFaults(Cut{Direction: Backward})
		client, server := connect(t, ip, pr)
		send(t, client, "question")
		receive(t, server, "question")
	}
}

func TestSilenceLastsForOpenConnections(t *testing.T) {
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	client, server := connect(t, ip, pr)
	ip.SetFaults(Silence{})
	newClient, newServer := connect(t, ip, pr)
	send(t, newClient, "question")
	receive(t, newServer, "question")
	ip.SetFaults()
	send(t, client, "question")
	receiveNothing(t, server)
	send(t, server, "answer")
	receiveNothing(t, client)
	abort(client)
	receiveNothing(t, server)
}

func TestSilenceDropsHeldBytes(t *testing.T) {
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	client, server := connect(t, ip, pr)
	ip.SetFaults(Cut{})
	send(t, client, "question")
	ip.SetFaults(Silence{})
	receiveNothing(t, server)
}

func TestResetEndsOpenConnectionsOnce(t *testing.T) {
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	client, server := connect(t, ip, pr)
	ip.SetFaults(Reset{})
	must.ErrorIs(t, receiveError(t, client), syscall.ECONNRESET)
	must.ErrorIs(t, receiveError(t, server), syscall.ECONNRESET)
	client, server = connect(t, ip, pr)
	send(t, client, "question")
	receive(t, server, "question")
	send(t, server, "answer")
	receive(t, client, "answer")
}

func TestConnectionsEndWithoutAServer(t *testing.T) {
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	must.NoError(t, pr.listener.Close())
	client, err := net.DialTimeout("tcp", ip.Address().String(), patience)
	if err == nil {
		defer func() { _ = client.Close() }()
		err = receiveError(t, client)
	}
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestHeldBytesAreBounded(t *testing.T) {
	// maxKernelBytes is what the kernel's buffers of a connection may hold.
	const maxKernelBytes = 32 << 20
	pr := newPeer(t)
	ip := newInterposer(t, pr)
	client, server := connect(t, ip, pr)
	ip.SetFaults(Cut{})
	must.NoError(t, client.SetWriteDeadline(time.Now().Add(time.Second)))
	sent := 0
	for {
		length, err := client.Write(make([]byte, chunkBytes))
		sent += length
		if err != nil {
			break
		}
	}
	must.Less(t, maxKernelBytes, sent)
	ip.SetFaults()
	must.NoError(t, client.CloseWrite())
	must.NoError(t, server.SetReadDeadline(time.Now().Add(patience)))
	received, err := io.Copy(io.Discard, server)
	must.NoError(t, err)
	must.Eq(t, int64(sent), received)
}

// TestCloseEndsAllGoroutines closes proxies whose connections hold bytes.
func TestCloseEndsAllGoroutines(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults []Fault
	}{
		{"no fault", nil},
		{"delay", []Fault{Delay{Duration: time.Hour}}},
		{"cut", []Fault{Cut{}}},
		{"cut of the answers", []Fault{Cut{Direction: Backward}}},
		{"silence", []Fault{Silence{}}},
		{"reset", []Fault{Reset{}}},
		{"cut and silence", []Fault{Cut{}, Silence{}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			pr := newPeer(t)
			before := runtime.NumGoroutine()
			ip, err := New(pr.address())
			must.NoError(t, err)
			client, server := connect(t, ip, pr)
			ip.SetFaults(test.faults...)
			for _, conn := range []net.Conn{client, server} {
				// The write fails after a reset.
				_, _ = conn.Write(make([]byte, chunkBytes))
			}
			if len(test.faults) > 0 {
				time.Sleep(quietTime)
			}
			ip.Close()
			ip.Close()
			ip.SetFaults(Cut{})
			must.NoError(t, client.SetReadDeadline(time.Now().Add(patience)))
			_, err = io.Copy(io.Discard, client)
			must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return runtime.NumGoroutine() <= before }), wait.Timeout(patience)))
		})
	}
}
