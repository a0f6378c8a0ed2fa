package storer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// The meanings of the HTTP status 410 (Gone).
const (
	goneMeansLeaseLost goneMeaning = iota
	goneMeansNotFound
)

// goneMeaning selects the result code for the HTTP status 410 (Gone).
type goneMeaning int

// call is one HTTP request to the platform's service.
type call struct {
	method  string
	path    string
	header  http.Header
	body    []byte
	isWrite bool
	// wait is how long the service may hold the request before it answers (long
	// polling). It is added to the client's timeout.
	wait time.Duration
	gone goneMeaning
}

// answer is the service's answer to a successful call.
type answer struct {
	call   call
	status int
	header http.Header
	body   []byte
}

// do sends a call once, without retries, and returns a classified error if it
// fails.
func (cl *client) do(ctx context.Context, ca call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, ca.wait+cl.timeout)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	rq, err := http.NewRequestWithContext(traced, ca.method, cl.base+ca.path, bytes.NewReader(ca.body))
	if err != nil {
		return answer{}, classifier.Wrap(err, classifier.Internal, "%s %s", ca.method, ca.path)
	}
	for name, values := range ca.header {
		rq.Header[name] = values
	}
	rs, err := cl.http.Do(rq)
	if err != nil {
		return answer{}, ca.transportError(err, connected.Load())
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := readAll(rs.Body)
	switch rs.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNotModified:
	default:
		return answer{}, ca.statusError(rs, body)
	}
	if err != nil {
		return answer{}, ca.transportError(err, true)
	}
	return answer{
		call:   ca,
		status: rs.StatusCode,
		header: rs.Header,
		body:   body,
	}, nil
}

// transportError returns the error of a call whose answer did not arrive whole.
// A write for which no connection was established can't have taken effect.
func (ca call) transportError(cause error, connected bool) error {
	code := classifier.PlatformUnavailable
	if ca.isWrite && connected {
		code = classifier.PlatformAmbiguous
	}
	return classifier.Wrap(cause, code, "%s %s", ca.method, ca.path)
}

// statusError returns the error for an HTTP status other than success.
func (ca call) statusError(rs *http.Response, body []byte) error {
	detail := strconv.Quote(string(body[:min(len(body), maxDetailBytes)]))
	switch rs.StatusCode {
	case http.StatusNotFound:
		return classifier.New(classifier.PlatformNotFound, "%s %s", ca.method, ca.path)
	case http.StatusConflict:
		actual, _ := parseRevision(rs.Header)
		return NewConflict(ca.path, actual)
	case http.StatusGone:
		if ca.gone == goneMeansNotFound {
			return classifier.New(classifier.PlatformNotFound, "%s %s", ca.method, ca.path)
		}
		return classifier.New(classifier.LeaseLost, "%s %s", ca.method, ca.path)
	case http.StatusRequestEntityTooLarge:
		return classifier.New(classifier.PlatformTooLarge, "%s %s", ca.method, ca.path)
	case http.StatusTooManyRequests:
		return classifier.New(classifier.PlatformRateLimited, "%s %s", ca.method, ca.path)
	case http.StatusServiceUnavailable:
		return classifier.New(classifier.PlatformUnavailable, "%s %s: %s", ca.method, ca.path, detail)
	}
	cause := errors.Errorf("status %d: %s", rs.StatusCode, detail)
	if rs.StatusCode < http.StatusInternalServerError {
		return classifier.Wrap(cause, classifier.Internal, "%s %s", ca.method, ca.path)
	}
	return ca.transportError(cause, true)
}

// maxDetailBytes bounds the part of an error answer's body that the error
// message quotes.
const maxDetailBytes = 200

// revision returns the revision in the answer's header.
func (an answer) revision() (Revision, error) {
	revision, err := parseRevision(an.header)
	if err != nil {
		return 0, an.decodeError(err)
	}
	return revision, nil
}

// lease returns the lease in the answer's header, or zero.
func (an answer) lease() LeaseID {
	id, err := strconv.ParseUint(an.header.Get(LeaseHeader), 10, 64)
	if err != nil {
		return 0
	}
	return LeaseID(id)
}

// decodeError returns the error for an answer that can't be decoded. A write
// with such an answer is ambiguous, as if the answer had been lost.
func (an answer) decodeError(cause error) error {
	if an.call.isWrite {
		return an.call.transportError(cause, true)
	}
	return classifier.Wrap(cause, classifier.RecordInvalid, "%s %s", an.call.method, an.call.path)
}

func parseRevision(header http.Header) (Revision, error) {
	number, err := strconv.ParseUint(header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, RevisionHeader)
	}
	return Revision(number), nil
}

// readAll reads a body, and returns an error if it is over maxAnswerBytes.
func readAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return data, err
	}
	if len(data) > maxAnswerBytes {
		return nil, errors.Errorf("answer is larger than %d bytes", maxAnswerBytes)
	}
	return data, nil
}

// checkSize returns a PlatformTooLarge error if the value is over MaxValueBytes.
func checkSize(key string, value []byte) error {
	if len(value) > MaxValueBytes {
		return classifier.New(classifier.PlatformTooLarge, "value of key %s is too large: %d bytes", key, len(value))
	}
	return nil
}
