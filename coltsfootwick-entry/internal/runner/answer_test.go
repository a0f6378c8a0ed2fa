package runner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// rawTarget starts a target that calls answer for each request and closes the
// connection when answer returns false. It returns the target's address.
func rawTarget(t *testing.T, answer func(conn net.Conn, hr *http.Request) bool) string {
	t.Helper()
	lr, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = lr.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			hr, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, hr.Body)
			if !answer(conn, hr) {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := lr.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return lr.Addr().String()
}

// callers returns a client for each protocol that callers may use.
func callers() map[string]*http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return map[string]*http.Client{
		"HTTP/1.1": {Transport: &http.Transport{}},
		"HTTP/2.0": {Transport: &http.Transport{Protocols: protocols}},
	}
}

// TestTruncatedStreamIsAnError truncates an answer that is too long to be
// buffered, with Content-Length and with chunked encoding. The caller must get an
// error rather than a short answer.
func TestTruncatedStreamIsAnError(t *testing.T) {
	const size = 64 << 10
	part := strings.Repeat("x", size)
	address := rawTarget(t, func(conn net.Conn, hr *http.Request) bool {
		switch hr.URL.Path {
		case "/claims/length":
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*size, part)
		case "/claims/chunks":
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, part)
		default:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", 2*size, part, part)
			return true
		}
		return false
	})
	kr := testPlatform(t, address)
	putSettings(t, kr, 2, `maxBufferedBytes = "1KiB"`)
	te := startEntry(t, kr, "a-e1")
	awaitReady(t, te)
	for protocol, client := range callers() {
		for path, whole := range map[string]bool{"length": false, "chunks": false, "whole": true} {
			re, err := client.Get(te.url("/claims/" + path))
			must.NoError(t, err)
			must.EqOp(t, protocol, re.Proto)
			body, err := io.ReadAll(re.Body)
			must.EqOp(t, whole, err == nil, must.Sprintf("%s %s: %d bytes, %v", protocol, path, len(body), err))
			must.NoError(t, re.Body.Close())
		}
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	address := rawTarget(t, func(conn net.Conn, hr *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n")
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n")
		if hr.Method != http.MethodHead {
			var seen strings.Builder
			_ = hr.Header.Write(&seen)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\nSum: 7\r\n\r\n", seen.Len(), seen.String())
		}
		return true
	})
	te := startEntry(t, testPlatform(t, address), "a-e1")
	awaitReady(t, te)
	for protocol, client := range callers() {
		hr, err := http.NewRequest(http.MethodPost, te.url("/claims/check"), strings.NewReader("body"))
		must.NoError(t, err)
		hr.Header.Set("Expect", "100-continue")
		hr.Header.Set("Priority", "u=2, i")
		hr.Header.Set("X-Request-Id", "r1")
		if protocol == "HTTP/1.1" {
			hr.Header.Set("Connection", "X-Mine")
			hr.Header.Set("X-Mine", "1")
		}
		re, err := client.Do(hr)
		must.NoError(t, err)
		body, err := io.ReadAll(re.Body)
		must.NoError(t, err)
		for _, absent := range []string{"Expect", "X-Mine", "Connection", "Te:"} {
			must.StrNotContains(t, string(body), absent)
		}
		for _, present := range []string{"Via: 1.1 coltsfootwick-entry", "X-Request-Id: r1", "Priority: u=2, i", "Coltsfootwick-Deadline: "} {
			must.StrContains(t, string(body), present)
		}
		must.Eq(t, "", re.Header.Get("X-Hop"))
		must.Eq(t, "7", re.Trailer.Get("Sum"))
		must.Eq(t, "r1", re.Header.Get("X-Request-Id"))
		re, err = client.Head(te.url("/claims/check"))
		must.NoError(t, err)
		must.NoError(t, re.Body.Close())
		must.EqOp(t, http.StatusOK, re.StatusCode)
	}
}

func TestRefusals(t *testing.T) {
	address := rawTarget(t, func(net.Conn, *http.Request) bool { return false })
	kr := testPlatform(t, address)
	putSettings(t, kr, 2, "mostUrgent = 2\nmaxRequestBytes = 10\nretryShare = 0.0")
	te := startEntry(t, kr, "a-e1")
	awaitReady(t, te)
	cases := map[string]struct {
		path    string
		headers map[string]string
		body    string
		want    string
	}{
		"cut":           {"/claims/cut", nil, "", `"status":502,"detail":"unexpected EOF","code":302,"codeName":"targetFailed","outcome":"unknown"`},
		"too urgent":    {"/claims/x", map[string]string{"Priority": "u=1"}, "", `"code":104,"codeName":"priorityNotAllowed","outcome":"notRun"`},
		"bad deadline":  {"/claims/x", map[string]string{"Coltsfootwick-Deadline": "soon"}, "", `"status":400`},
		"bad key":       {"/claims/x", map[string]string{"Idempotency-Key": `""`}, "", `"code":105`},
		"large":         {"/claims/x", nil, strings.Repeat("x", 11), `"code":103`},
		"other service": {"/claims/../x", nil, "", `"code":101`},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			hr, err := http.NewRequest(http.MethodPost, te.url(""), strings.NewReader(cs.body))
			must.NoError(t, err)
			hr.URL.Opaque = cs.path
			for key, value := range cs.headers {
				hr.Header.Set(key, value)
			}
			re, err := http.DefaultClient.Do(hr)
			must.NoError(t, err)
			body, err := io.ReadAll(re.Body)
			must.NoError(t, err)
			must.Eq(t, "application/problem+json", re.Header.Get("Content-Type"))
			must.StrContains(t, string(body), cs.want)
		})
	}
}

// TestCallerGone checks that the attempt is cancelled when the caller disconnects.
func TestCallerGone(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	abandoned := make(chan error, 1)
	address := rawTarget(t, func(conn net.Conn, _ *http.Request) bool {
		cancel()
		_, err := conn.Read(make([]byte, 1))
		abandoned <- err
		return false
	})
	te := startEntry(t, testPlatform(t, address), "a-e1")
	awaitReady(t, te)
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, te.url("/claims/check"), nil)
	must.NoError(t, err)
	_, err = http.DefaultClient.Do(hr)
	must.Error(t, err)
	must.Error(t, <-abandoned)
}
