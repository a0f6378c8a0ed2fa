package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/guard"
	"coltsfootwick.example/shared/process/server"
)

// guarded is a guarded server whose limits can be changed.
type guarded struct {
	address string
	limits  atomic.Pointer[guard.Limits]
	causes  chan guard.Cause
}

// startGuarded starts a server that answers with the length of the body, or with the
// code of its error.
func startGuarded(t testing.TB, capacity guard.Capacity, limits guard.Limits) *guarded {
	t.Helper()
	gd := &guarded{
		causes: make(chan guard.Cause, 100),
	}
	gd.limits.Store(&limits)
	handler := http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		data, err := io.ReadAll(rq.Body)
		if err != nil {
			rw.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(rw, int(classifier.CodeOf(err)))
			return
		}
		_, _ = fmt.Fprint(rw, len(data))
	})
	sr, err := server.New(netip.MustParseAddrPort("127.0.0.1:0"), handler, server.WithTimeouts(time.Hour, time.Hour),
		server.WithGuard(capacity, func() guard.Limits { return *gd.limits.Load() }, func(cause guard.Cause, _, _ uint64) { gd.causes <- cause }))
	must.NoError(t, err)
	go func() { _ = sr.Execute() }()
	t.Cleanup(func() { sr.Interrupt(nil) })
	gd.address = sr.Address().String()
	return gd
}

// connect opens a connection and sends a text.
func (gd *guarded) connect(t testing.TB, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", gd.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	must.NoError(t, err)
	return conn
}

// answer returns the status and the body of the next response.
func answer(t testing.TB, reader *bufio.Reader) (int, string) {
	t.Helper()
	rs, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(rs.Body)
	must.NoError(t, err)
	return rs.StatusCode, string(body)
}

func post(length int, headers string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", length, headers)
}

var roomy = guard.Capacity{Connections: 50, Unfinished: 50, BodyBytes: 64 << 10, Chunked: 1}

// Guards against limits of single requests that aren't those in force.
func TestLimitsOfRequests(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		status     int
		body       string
		cause      guard.Cause
	}{
		{"header section", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 6000), 431, "", guard.HeaderTooLarge},
		{"declared length", post(20_001, ""), 503, "103", guard.BodyTooLarge},
		{"declared length with an expectation", post(20_001, "Expect: 100-continue\r\n"), 503, "103", guard.BodyTooLarge},
		{"stalled body", post(100, "") + "x", 503, "905", guard.BodyTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			gd := startGuarded(t, roomy, guard.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 20_000})
			status, body := answer(t, bufio.NewReader(gd.connect(t, tc.text)))
			must.EqOp(t, tc.status, status)
			must.EqOp(t, tc.body, body)
			must.EqOp(t, tc.cause, <-gd.causes)
		})
	}
}

// Guards against timeouts that aren't those in force.
func TestTimeoutsFollowTheLimits(t *testing.T) {
	gd := startGuarded(t, roomy, guard.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
	closed := func(text string) {
		reader := bufio.NewReader(gd.connect(t, text))
		if strings.HasSuffix(text, "\r\n\r\n") {
			answer(t, reader)
		}
		_, err := reader.ReadByte()
		must.EqError(t, err, "EOF")
	}
	closed("GET / HTTP/1.1\r\nHost: h\r\n")
	closed("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	gd.limits.Store(&guard.Limits{})
	conn := gd.connect(t, "GET / HTTP/1.1\r\nHost: h\r\n")
	time.Sleep(200 * time.Millisecond)
	reader := bufio.NewReader(conn)
	for range 2 {
		_, err := io.WriteString(conn, "\r\n")
		must.NoError(t, err)
		status, _ := answer(t, reader)
		must.EqOp(t, http.StatusOK, status)
		time.Sleep(200 * time.Millisecond)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
		must.NoError(t, err)
	}
}

// Guards against bodies that are read without memory for them, refusals that claim what
// isn't true, and memory that isn't given back.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	gd := startGuarded(t, roomy, guard.Limits{MaxBodyBytes: 40_000})
	large := post(40_000, "")
	stalled := gd.connect(t, large+"x")
	time.Sleep(100 * time.Millisecond)
	status, body := answer(t, bufio.NewReader(gd.connect(t, large+strings.Repeat("x", 40_000))))
	must.EqOp(t, http.StatusServiceUnavailable, status)
	must.EqOp(t, "904", body)
	must.EqOp(t, guard.MemoryExhausted, <-gd.causes)
	small := bufio.NewReader(gd.connect(t, post(5, "")+"hello"+post(3, "")+"abc"))
	for _, want := range []string{"5", "3"} {
		_, body = answer(t, small)
		must.EqOp(t, want, body)
	}
	time.Sleep(500 * time.Millisecond)
	for range 3 {
		_, body = answer(t, bufio.NewReader(gd.connect(t, large+strings.Repeat("x", 40_000))))
		must.EqOp(t, "40000", body, must.Sprint("the stalled body makes way"))
	}
	_, err := bufio.NewReader(stalled).ReadByte()
	must.Error(t, err)
}

// Guards against connections without a request that keep others out.
func TestStalledConnectionsMakeWay(t *testing.T) {
	gd := startGuarded(t, guard.Capacity{Connections: 4, Unfinished: 2, BodyBytes: 64 << 10, Chunked: 1}, guard.Limits{})
	for range 20 {
		gd.connect(t, "")
	}
	kept := bufio.NewReader(gd.connect(t, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3)))
	for range 3 {
		status, _ := answer(t, kept)
		must.EqOp(t, http.StatusOK, status)
	}
	must.EqOp(t, guard.StalledClosed, <-gd.causes)
}

// Guards against a response that is lost when the handler leaves a large body unread.
func TestUnreadBodyIsAnswered(t *testing.T) {
	sr, err := server.New(netip.MustParseAddrPort("127.0.0.1:0"), http.NotFoundHandler(),
		server.WithGuard(roomy, func() guard.Limits { return guard.Limits{} }, func(guard.Cause, uint64, uint64) {}))
	must.NoError(t, err)
	go func() { _ = sr.Execute() }()
	t.Cleanup(func() { sr.Interrupt(nil) })
	gd := &guarded{
		address: sr.Address().String(),
	}
	for _, text := range []string{post(300_000, "") + strings.Repeat("x", 200_000), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		status, _ := answer(t, bufio.NewReader(gd.connect(t, text)))
		must.EqOp(t, http.StatusNotFound, status)
	}
}

// Guards against a body that is sent after 100 Continue and not read.
func TestExpectedBodyIsRead(t *testing.T) {
	gd := startGuarded(t, roomy, guard.Limits{})
	conn := gd.connect(t, post(5, "Expect: 100-continue\r\n"))
	reader := bufio.NewReader(conn)
	status, _ := answer(t, reader)
	must.EqOp(t, http.StatusContinue, status)
	_, err := io.WriteString(conn, "hello")
	must.NoError(t, err)
	_, body := answer(t, reader)
	must.EqOp(t, "5", body)
}

// BenchmarkRequests measures requests on one connection, with a body and without.
func BenchmarkRequests(b *testing.B) {
	handler := http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) { _, _ = io.Copy(io.Discard, rq.Body) })
	for name, opts := range map[string][]server.Option{
		"plain": nil,
		"guarded": {server.WithGuard(guard.NewCapacities(0, 0).Callers, func() guard.Limits { return guard.Limits{} },
			func(guard.Cause, uint64, uint64) {})},
	} {
		for _, text := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", post(500, "") + strings.Repeat("x", 500)} {
			b.Run(name+text[:4], func(b *testing.B) {
				sr, err := server.New(netip.MustParseAddrPort("127.0.0.1:0"), handler, opts...)
				must.NoError(b, err)
				go func() { _ = sr.Execute() }()
				defer sr.Interrupt(nil)
				conn, err := net.Dial("tcp", sr.Address().String())
				must.NoError(b, err)
				defer conn.Close()
				reader := bufio.NewReader(conn)
				b.ReportAllocs()
				for b.Loop() {
					_, err = io.WriteString(conn, text)
					must.NoError(b, err)
					answer(b, reader)
				}
			})
		}
	}
}
