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

// The codes that the status 410 stands for.
const (
	goneIsLeaseLost goneMeaning = iota
	goneIsNotFound
)

// goneMeaning says what the status 410 means in the answer to a call.
type goneMeaning int

// call is one call to the service.
type call struct {
	method  string
	path    string
	header  http.Header
	body    []byte
	isWrite bool
	// wait is how long the service may wait before it answers.
	wait time.Duration
	gone goneMeaning
}

// answer is the service's successful answer to a call.
type answer struct {
	call   call
	status int
	header http.Header
	body   []byte
}

// do makes a call once and classifies what went wrong.
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
		return answer{}, ca.failed(err, connected.Load())
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := readAll(rs.Body)
	switch rs.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNotModified:
	default:
		return answer{}, ca.refused(rs, body)
	}
	if err != nil {
		return answer{}, ca.failed(err, true)
	}
	return answer{
		call:   ca,
		status: rs.StatusCode,
		header: rs.Header,
		body:   body,
	}, nil
}

// failed returns the error of a call without a whole answer. A write that no
// connection was found for can't have taken effect.
func (ca call) failed(cause error, connected bool) error {
	code := classifier.PlatformUnavailable
	if ca.isWrite && connected {
		code = classifier.PlatformAmbiguous
	}
	return classifier.Wrap(cause, code, "%s %s", ca.method, ca.path)
}

// refused returns the error for an answer with a status that is no success.
func (ca call) refused(rs *http.Response, body []byte) error {
	detail := strconv.Quote(string(body[:min(len(body), maxDetailBytes)]))
	switch rs.StatusCode {
	case http.StatusNotFound:
		return classifier.New(classifier.PlatformNotFound, "%s %s", ca.method, ca.path)
	case http.StatusConflict:
		actual, _ := parseRevision(rs.Header)
		return NewConflict(ca.path, actual)
	case http.StatusGone:
		if ca.gone == goneIsNotFound {
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
	return ca.failed(cause, true)
}

// maxDetailBytes is how much of a refusal's body an error shows.
const maxDetailBytes = 200

// revision returns the revision in the answer.
func (an answer) revision() (Revision, error) {
	revision, err := parseRevision(an.header)
	if err != nil {
		return 0, an.unreadable(err)
	}
	return revision, nil
}

// lease returns the lease in the answer, or zero.
func (an answer) lease() LeaseID {
	id, err := strconv.ParseUint(an.header.Get(LeaseHeader), 10, 64)
	if err != nil {
		return 0
	}
	return LeaseID(id)
}

// unreadable returns the error for an answer that can't be decoded. For a
// write that is as good as no answer.
func (an answer) unreadable(cause error) error {
	if an.call.isWrite {
		return an.call.failed(cause, true)
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

// readAll reads a body up to the bound.
func readAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return data, err
	}
	if len(data) > maxAnswerBytes {
		return nil, errors.Errorf("answer over %d bytes", maxAnswerBytes)
	}
	return data, nil
}

// checkSize returns an error if the value is over the bound.
func checkSize(key string, value []byte) error {
	if len(value) > MaxValueBytes {
		return classifier.New(classifier.PlatformTooLarge, "key %s: %d bytes", key, len(value))
	}
	return nil
}
