package sender_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
)

// TestRequestIsNeverResent closes a reused connection after the target has read
// the request. http.Transport would send the request again in that case.
func TestRequestIsNeverResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		st := startTarget(t, func(ex exchange) bool {
			if ex.number == 1 {
				ex.write(answers["length"])
			}
			return ex.number == 1
		})
		tt := st.target()
		_, fe := send(tt, newRequest(method))
		must.Nil(t, fe)
		an, fe := send(tt, newRequest(method))
		must.Nil(t, an)
		must.EqOp(t, classifier.TargetFailed, fe.Code)
		must.False(t, fe.Unread)
		must.EqOp(t, 2, st.requests.Load())
		must.EqOp(t, 1, st.connections.Load())
	}
}

func TestRefusedConnectionIsUnread(t *testing.T) {
	lr, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := netip.MustParseAddrPort(lr.Addr().String())
	must.NoError(t, lr.Close())
	tt := sender.New(address, 1)
	_, fe := send(tt, newRequest(http.MethodPost))
	must.True(t, fe.Unread)
	must.EqOp(t, classifier.TargetFailed, fe.Code)
	must.EqOp(t, 0, tt.Open())
}

// failingConn fails after it has accepted a number of request bytes.
type failingConn struct {
	net.Conn
	taken int
}

func (fc *failingConn) Write(data []byte) (int, error) {
	count := min(fc.taken, len(data))
	fc.taken -= count
	return count, net.ErrClosed
}

func (fc *failingConn) Read([]byte) (int, error)      { return 0, io.EOF }
func (fc *failingConn) SetDeadline(_ time.Time) error { return nil }
func (fc *failingConn) Close() error                  { return nil }

func TestUnreadOnlyIfNoByteSent(t *testing.T) {
	for taken := range 20 {
		tt := sender.New(netip.AddrPort{}, 1, sender.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			return &failingConn{taken: taken}, nil
		}))
		_, fe := send(tt, newRequest(http.MethodPost))
		must.EqOp(t, taken == 0, fe.Unread)
		must.EqOp(t, classifier.TargetFailed, fe.Code)
	}
}

func TestDrainRefusalIsUnread(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\nColtsfootwick-Draining: true\r\nContent-Length: 0\r\n"
	cases := map[string]struct {
		texts  []string
		unread bool
	}{
		"named":                 {[]string{refusal + "Coltsfootwick-Attempt: $A\r\n\r\n"}, true},
		"without ID":            {[]string{refusal + "\r\n"}, false},
		"with ID, reused":       {[]string{answers["length"], refusal + "Coltsfootwick-Attempt: $A\r\n\r\n"}, true},
		"without ID, reused":    {[]string{answers["length"], refusal + "\r\n"}, false},
		"other status":          {[]string{strings.Replace(refusal, "503", "500", 1) + "\r\n"}, false},
		"ID of another, reused": {[]string{answers["length"], refusal + "Coltsfootwick-Attempt: a\r\n\r\n"}, false},
		"cut within refusal":    {[]string{refusal}, false},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			st := startTarget(t, func(ex exchange) bool { ex.write(cs.texts[ex.number-1]); return ex.number < len(cs.texts) })
			tt := st.target()
			var fe *sender.Failure
			for range cs.texts {
				_, fe = send(tt, newRequest(http.MethodPost))
			}
			must.EqOp(t, cs.unread, fe != nil && fe.Unread)
			must.EqOp(t, cs.unread, fe != nil && fe.Draining)
		})
	}
}

// TestClosedIdleConnectionIsNotUsed has the target close the connection after the
// answer. The next attempt must open a new one.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	st := startTarget(t, func(ex exchange) bool {
		ex.write(answers["length"])
		_ = ex.Close()
		closed <- struct{}{}
		return false
	})
	tt := st.target()
	for range 3 {
		_, fe := send(tt, newRequest(http.MethodPost))
		must.Nil(t, fe)
		<-closed
	}
	must.EqOp(t, 3, st.connections.Load())
	must.EqOp(t, 1, tt.Open())
}

// TestSurplusConnectionsAreClosed lowers the soft limit while connections are
// idle, and while a connection is in use.
func TestSurplusConnectionsAreClosed(t *testing.T) {
	var waiting sync.WaitGroup
	waiting.Add(4)
	st := startTarget(t, func(ex exchange) bool {
		waiting.Done()
		waiting.Wait()
		ex.write(answers["length"])
		return true
	})
	tt := st.target()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { _, _ = send(tt, newRequest(http.MethodGet)) })
	}
	group.Wait()
	must.EqOp(t, 4, tt.Open())
	tt.SetLimits(8, 2)
	must.EqOp(t, 2, tt.Open())
	waiting.Add(1)
	tt.SetLimits(8, 0)
	_, fe := send(tt, newRequest(http.MethodGet))
	must.Nil(t, fe)
	must.EqOp(t, 0, tt.Open())
}

func TestCancelledAttemptClosesConnection(t *testing.T) {
	arrived := make(chan struct{})
	st := startTarget(t, func(ex exchange) bool {
		close(arrived)
		_, err := ex.Read(make([]byte, 1))
		return err == nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	tt := st.target()
	_, fe := tt.Send(ctx, "attempt", newRequest(http.MethodGet))
	must.True(t, fe.Cancelled)
	must.False(t, fe.Unread)
	must.EqOp(t, 0, tt.Open())
}

// TestEarlyAnswer has the target answer a large request before reading all of it.
func TestEarlyAnswer(t *testing.T) {
	lr, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = lr.Close() }()
	over := make(chan struct{})
	go func() {
		conn, err := lr.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 10))
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		<-over
		_ = conn.Close()
	}()
	rt := newRequest(http.MethodPost)
	rt.Body = bytes.Repeat([]byte("x"), 64<<20)
	tt := sender.New(netip.MustParseAddrPort(lr.Addr().String()), 1)
	an, fe := send(tt, rt)
	close(over)
	must.Nil(t, fe)
	must.EqOp(t, http.StatusRequestEntityTooLarge, an.Status)
	must.Eq(t, "no", string(an.Body))
	must.EqOp(t, 0, tt.Open())
}

func TestStreamedAnswer(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
	for length := range 11 {
		st := startTarget(t, func(ex exchange) bool { ex.write(head + "0123456789"[:length]); return length == 10 })
		tt := st.target()
		rt := newRequest(http.MethodGet)
		rt.MaxBufferedBytes = 4
		an, fe := send(tt, rt)
		if length < 4 {
			must.Nil(t, an)
			continue
		}
		must.Nil(t, fe)
		must.False(t, an.Complete())
		var rest bytes.Buffer
		err := an.Stream(&rest)
		must.EqOp(t, length == 10, err == nil)
		must.Eq(t, "0123456789"[:length], string(an.Body)+rest.String())
		must.EqOp(t, length == 10, tt.Open() == 1)
	}
}
