package generator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/standin/internal/ledger"
	"coltsfootwick.example/standin/internal/sealer"
	"coltsfootwick.example/standin/internal/target"
)

// deadlineHeader tells the entry how many milliseconds are left for the request.
const deadlineHeader = "Coltsfootwick-Deadline"

// Caller sends the requests of one zone.
type Caller struct {
	config   Config
	zone     string
	balancer *balancer
	client   *http.Client
}

// NewCaller returns a caller in a zone.
func NewCaller(cg Config, ze Zone) *Caller {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!cg.H2C)
	protocols.SetUnencryptedHTTP2(cg.H2C)
	return &Caller{
		config:   cg,
		zone:     ze.Name,
		balancer: newBalancer(ze.Entries, cg.CheckInterval),
		client: &http.Client{
			Transport: &http.Transport{
				Protocols:           protocols,
				MaxIdleConnsPerHost: cg.MaxOutstanding,
				DisableCompression:  true,
			},
		},
	}
}

// Call makes the attempts of one request and returns what came back.
func (cr *Caller) Call(ctx context.Context, se Service, al Arrival, arrival time.Time) ledger.Request {
	rt := ledger.Request{
		Identifier: al.Identifier,
		Service:    se.Name,
		Zone:       cr.zone,
		Long:       al.Long,
		Repeatable: al.Kind == Repeatable,
		Arrival:    arrival,
	}
	if al.Kind == Keyed {
		rt.Key = "key-" + al.Identifier
	}
	var avoided netip.AddrPort
	for number := 1; ; number++ {
		at := cr.attempt(ctx, se, rt, number, avoided)
		rt.Attempts = append(rt.Attempts, at)
		avoided = at.Entry
		delay, again := cr.repeat(rt, at, number)
		if !again || !wait(ctx, delay) {
			return rt
		}
	}
}

// Close closes the connections that no request uses.
func (cr *Caller) Close() { cr.client.CloseIdleConnections() }

// attempt sends the request once.
func (cr *Caller) attempt(ctx context.Context, se Service, rt ledger.Request, number int, avoided netip.AddrPort) ledger.Attempt {
	ctx, cancel := context.WithTimeout(ctx, se.Timeout)
	defer cancel()
	at := ledger.Attempt{
		Identifier: sealer.AttemptOf(rt.Identifier, number),
		Entry:      cr.balancer.pick(time.Now(), avoided),
		Sent:       time.Now(),
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { at.Reused = info.Reused },
	})
	req, err := cr.newRequest(ctx, se, rt, at)
	if err != nil {
		at.Result = lossOf(err)
		return at
	}
	at.Result = cr.send(req)
	at.Ended = time.Now()
	if ls, lost := at.Result.(ledger.Loss); lost && ls.Reason == ledger.Unsent {
		cr.balancer.leaveOut(at.Entry, at.Ended)
	}
	return at
}

func (cr *Caller) send(req *http.Request) ledger.Result {
	rsp, err := cr.client.Do(req)
	if err != nil {
		return lossOf(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		return lossOf(err)
	}
	return resultOf(rsp, body)
}

// newRequest returns the HTTP request of an attempt.
func (cr *Caller) newRequest(ctx context.Context, se Service, rt ledger.Request, at ledger.Attempt) (*http.Request, error) {
	method, sealed := http.MethodGet, []byte(nil)
	if !rt.Repeatable {
		method, sealed = http.MethodPost, sealer.Seal(rt.Identifier, se.RequestBytes)
	}
	url := "http://" + at.Entry.String() + se.Path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(sealed))
	if err != nil {
		return nil, err
	}
	if !cr.config.H2C {
		forbidReplay(req)
	}
	urgency := se.Urgency
	if rt.Long {
		urgency = se.LongUrgency
	}
	req.Header.Set("Priority", fmt.Sprintf("u=%d", urgency))
	req.Header.Set(sealer.Header, at.Identifier)
	req.Header.Set(target.RequestIDHeader, at.Identifier)
	if rt.Key != "" {
		req.Header.Set(target.KeyHeader, rt.Key)
	}
	if se.Deadline > 0 {
		req.Header.Set(deadlineHeader, strconv.FormatInt(se.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// forbidReplay keeps the HTTP/1.1 transport from repeating the request on its
// own after the connection broke, which it does when it can rewind the body of
// an idempotent request. Over HTTP/2 it repeats only what the server did not
// process.
func forbidReplay(req *http.Request) {
	req.Body = onceReader{
		Reader: req.Body,
	}
	req.GetBody = nil
}

// onceReader is a body that can't be rewound.
type onceReader struct {
	io.Reader
}

// Close does nothing.
func (onceReader) Close() error { return nil }

// lossOf tells how an attempt without an answer ended.
func lossOf(err error) ledger.Loss {
	ls := ledger.Loss{
		Reason: ledger.Broken,
		Detail: err.Error(),
	}
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		ls.Reason = ledger.Unsent
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		ls.Reason = ledger.TimedOut
	}
	return ls
}

func wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
