package bencher

import (
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	attemptHeader     = "Coltsfootwick-Attempt"
	answerBytes       = 128
	readHeaderTimeout = 5 * time.Second
)

// backend is the least that a target can be: it echoes the attempt and answers
// at once. It listens on as many addresses as there are targets.
type backend struct {
	server    *http.Server
	addresses []netip.AddrPort
}

func newBackend(targets int) (*backend, error) {
	body := make([]byte, answerBytes)
	bd := &backend{
		server: &http.Server{
			ReadHeaderTimeout: readHeaderTimeout,
			Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
				if attempt := req.Header.Get(attemptHeader); attempt != "" {
					rw.Header().Set(attemptHeader, attempt)
				}
				_, _ = rw.Write(body)
			}),
		},
	}
	for range targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		bd.addresses = append(bd.addresses, netip.MustParseAddrPort(listener.Addr().String()))
		go func() { _ = bd.server.Serve(listener) }()
	}
	return bd, nil
}

func (bd *backend) close() { _ = bd.server.Close() }
