package server

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/guard"
)

// newGuardedConnection returns a connection of a guarded server, and the client's end.
func newGuardedConnection(t *testing.T) (*connection, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	client, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	conn, err := ln.Accept()
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	cn := &connection{
		TCPConn: conn.(*net.TCPConn),
		gate: &gate{
			guard: guard.New(guard.Capacity{Connections: 1, Unfinished: 1}),
			limits: func() guard.Limits {
				return guard.Limits{IdleTimeout: 100 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond}
			},
			refusals: newRefusals(func(guard.Cause, uint64, uint64) {}),
		},
	}
	t.Cleanup(cn.end)
	must.True(t, cn.enter())
	return cn, client
}

// Guards against requests that are dropped unread, since the process stood still until the
// connection's time was over, and against connections that are kept longer than that.
func TestRequestOfAStandstillIsRead(t *testing.T) {
	for _, ph := range []phase{readingHeader, resting} {
		cn, client := newGuardedConnection(t)
		cn.phase.Store(int32(ph))
		must.NoError(t, cn.SetReadDeadline(time.Now()))
		_, err := io.WriteString(client, "DELETE / HTTP/1.1\r\n")
		must.NoError(t, err)
		// The read begins after the deadline, like that of a process that goes on.
		time.Sleep(200 * time.Millisecond)
		data := make([]byte, 100)
		count, err := cn.Read(data)
		must.NoError(t, err)
		must.Eq(t, "DELETE / HTTP/1.1\r\n", string(data[:count]))
	}
	cn, client := newGuardedConnection(t)
	must.NoError(t, cn.SetReadDeadline(time.Now()))
	go func() {
		for {
			if _, err := io.WriteString(client, "x"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	startedAt := time.Now()
	for {
		if _, err := cn.Read(make([]byte, 1)); err != nil {
			must.ErrorIs(t, err, os.ErrDeadlineExceeded)
			break
		}
	}
	must.Less(t, 2*time.Second, time.Since(startedAt), must.Sprint("the time of a client that sends a byte a millisecond"))
}
