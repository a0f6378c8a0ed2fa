package sender_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
)

// exchange is one request that reached a scripted target.
type exchange struct {
	net.Conn
	request *http.Request
	attempt string
	// number counts the requests on the connection from 1.
	number int
}

// write writes text with $A replaced by the attempt's ID.
func (ex exchange) write(text string) {
	_, _ = io.WriteString(ex, strings.ReplaceAll(text, "$A", ex.attempt))
}

// scriptedTarget is a target whose answers are given byte by byte.
type scriptedTarget struct {
	listener    net.Listener
	requests    atomic.Int64
	connections atomic.Int64
}

// startTarget starts a target that calls answer for each request. The connection
// is closed when answer returns false.
func startTarget(t *testing.T, answer func(ex exchange) bool) *scriptedTarget {
	t.Helper()
	lr, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = lr.Close() })
	st := &scriptedTarget{listener: lr}
	go func() {
		for {
			conn, err := lr.Accept()
			if err != nil {
				return
			}
			st.connections.Add(1)
			go st.serve(conn, answer)
		}
	}()
	return st
}

func (st *scriptedTarget) serve(conn net.Conn, answer func(ex exchange) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		hr, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		st.requests.Add(1)
		if _, err := io.Copy(io.Discard, hr.Body); err != nil {
			return
		}
		ex := exchange{
			Conn:    conn,
			request: hr,
			attempt: hr.Header.Get("Coltsfootwick-Attempt"),
			number:  number,
		}
		if !answer(ex) {
			return
		}
	}
}

func (st *scriptedTarget) target() *sender.Target {
	return sender.New(netip.MustParseAddrPort(st.listener.Addr().String()), 8)
}

// unlimitedMemory is a memory budget without a limit.
type unlimitedMemory struct{}

func (unlimitedMemory) Reserve(int64) bool { return true }
func (unlimitedMemory) Release(int64)      {}

func newRequest(method string) *sender.Request {
	return &sender.Request{
		Method:           method,
		URL:              &url.URL{Opaque: "/claims/check"},
		Host:             "claims.example",
		Header:           http.Header{"Idempotency-Key": {"k1"}},
		Deadline:         time.Now().Add(10 * time.Second),
		MaxAnswerBytes:   1 << 20,
		MaxBufferedBytes: 1 << 16,
		Memory:           unlimitedMemory{},
	}
}

var attempts atomic.Int64

func send(tt *sender.Target, rt *sender.Request) (*sender.Answer, *sender.Failure) {
	return tt.Send(context.Background(), fmt.Sprintf("attempt-%d", attempts.Add(1)), rt)
}

// answers are complete answers in each form that HTTP/1.1 defines.
var answers = map[string]string{
	"length":   "HTTP/1.1 201 Created\r\nColtsfootwick-Attempt: $A\r\nContent-Length: 11\r\n\r\nhello world",
	"chunks":   "HTTP/1.1 201 Created\r\nColtsfootwick-Attempt: $A\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n",
	"trailers": "HTTP/1.1 201 Created\r\nColtsfootwick-Attempt: $A\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n" + "hello world12345\n" + "\r\n0\r\nSum: 7\r\n\r\n",
	"empty":    "HTTP/1.1 201 Created\r\nColtsfootwick-Attempt: $A\r\nContent-Length: 0\r\n\r\n",
	"hints":    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
}

// reset makes the next close of the connection send a TCP reset.
func (ex exchange) reset() {
	if tcp, ok := ex.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
