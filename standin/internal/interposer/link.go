package interposer

import (
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the time to connect to the server, which is on the same VM.
const dialTimeout = time.Second

// link is a client's connection with the connection to the server.
type link struct {
	interposer *Interposer
	client     *net.TCPConn
	// done is closed when the link ends, and silent when it becomes silent.
	done, silent chan struct{}
	silenceOnce  sync.Once

	mu sync.Mutex
	// server is nil until the server is connected.
	server   *net.TCPConn
	hasEnded bool
}

func newLink(ip *Interposer, client *net.TCPConn) *link {
	return &link{
		interposer: ip,
		client:     client,
		done:       make(chan struct{}),
		silent:     make(chan struct{}),
	}
}

// run forwards in both directions until both have ended.
func (lk *link) run() {
	defer lk.close()
	if hasReset(lk.client) {
		return
	}
	server, err := net.DialTimeout("tcp", lk.interposer.target.String(), dialTimeout)
	if err != nil {
		lk.reset()
		return
	}
	if !lk.attach(server.(*net.TCPConn)) {
		return
	}
	var wg sync.WaitGroup
	for _, pp := range []*pipe{
		newPipe(lk, forward, lk.client, lk.server),
		newPipe(lk, backward, lk.server, lk.client),
	} {
		wg.Go(pp.read)
		wg.Go(pp.write)
	}
	wg.Wait()
}

// attach sets the connection to the server. It reports false, and closes the
// connection, if the link has ended meanwhile.
func (lk *link) attach(server *net.TCPConn) bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.hasEnded {
		abort(server)
		return false
	}
	lk.server = server
	return true
}

// silence discards all that is sent from now on.
func (lk *link) silence() { lk.silenceOnce.Do(func() { close(lk.silent) }) }

// close ends the link.
func (lk *link) close() { lk.end(func(conn *net.TCPConn) { _ = conn.Close() }) }

// reset ends the link and resets both connections.
func (lk *link) reset() { lk.end(abort) }

func (lk *link) end(closeConn func(conn *net.TCPConn)) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.hasEnded {
		return
	}
	lk.hasEnded = true
	close(lk.done)
	closeConn(lk.client)
	if lk.server != nil {
		closeConn(lk.server)
	}
}
