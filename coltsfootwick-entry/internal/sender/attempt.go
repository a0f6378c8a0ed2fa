package sender

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/coltsfootwick-entry/internal/parser"
	"coltsfootwick.example/shared/process/classifier"
)

var (
	errDraining      = errors.New("the target is leaving and refused the request unread")
	errCrossed       = errors.New("the answer belongs to another attempt")
	errNoLength      = errors.New("the answer has neither a length nor chunks, so its end can't be told from a cut")
	errSwitch        = errors.New("the target switched protocols unasked")
	errInformational = errors.New("too many informational answers")
	errTooLong       = errors.New("the answer is longer than the service allows")
)

// attempt is one exchange on a connection that it owns.
type attempt struct {
	name       string
	target     *Target
	connection *connection
	request    *Request
	message    *http.Request
	response   *http.Response
	// informational holds the informational answers for the caller.
	informational []Informational
	// written gets the result of a write that runs beside the read; nil if the
	// write is over.
	written chan error
	// writeFailed is true if not all of the request was written.
	writeFailed bool
	// detach stops the watch over the context; it returns false if the
	// connection has been closed because the context ended.
	detach func() bool
}

// Send makes one attempt: it sends the request to the target and returns the
// answer. The name identifies the attempt among all attempts of all entries.
// When ctx ends, the connection is closed. The request is written at most once.
func (tt *Target) Send(ctx context.Context, name string, rt *Request) (*Answer, *Failure) {
	now := time.Now()
	co, err := tt.acquire(ctx, now, rt.Deadline)
	if err != nil {
		return nil, unsent(ctx, rt.Deadline, err)
	}
	co.begin()
	at := &attempt{
		name:       name,
		target:     tt,
		connection: co,
		request:    rt,
		message:    rt.message(name, now),
		detach:     context.AfterFunc(ctx, co.close),
	}
	an, err := at.exchange()
	if err != nil {
		return nil, at.fail(ctx, err)
	}
	return an, nil
}

// unsent is the failure of an attempt that found no connection.
func unsent(ctx context.Context, deadline time.Time, cause error) *Failure {
	code := classifier.TargetFailed
	if !time.Now().Before(deadline) {
		code = classifier.TargetTimeout
	}
	return &Failure{
		Code:      code,
		Unread:    true,
		Cancelled: ctx.Err() != nil,
		Cause:     cause,
	}
}

func (at *attempt) exchange() (*Answer, error) {
	if err := at.write(); err != nil {
		return nil, err
	}
	if err := at.readHead(); err != nil {
		return nil, err
	}
	if err := at.check(); err != nil {
		return nil, err
	}
	return at.readBody()
}

// write sends a small request at once; a large one is sent while the answer is
// awaited. After a failed write the target may still have answered, for example
// with a refusal, unless nothing was sent.
func (at *attempt) write() error {
	co := at.connection
	if len(at.request.Body) > inlineBodyBytes {
		at.written = make(chan error, 1)
		go func() { at.written <- co.write(at.message) }()
		return nil
	}
	err := co.write(at.message)
	at.writeFailed = err != nil
	if co.sent.Load() == 0 {
		return err
	}
	return nil
}

// readHead reads the head of the answer and of the informational ones before it.
func (at *attempt) readHead() error {
	for range maxInformational {
		var err error
		at.response, err = http.ReadResponse(at.connection.reader, at.message) //nolint:bodyclose // closing the connection ends the body
		if err != nil {
			return err
		}
		if at.response.StatusCode == http.StatusSwitchingProtocols {
			return errSwitch
		}
		if at.response.StatusCode >= http.StatusOK {
			at.connection.headLeft = -1
			return nil
		}
		at.inform()
	}
	return errInformational
}

// inform keeps an informational answer for the caller, except for the one that
// asks the sender itself to go on.
func (at *attempt) inform() {
	re := at.response
	if re.StatusCode == http.StatusContinue {
		return
	}
	removeHopByHop(re.Header)
	delete(re.Header, parser.AttemptHeader)
	at.informational = append(at.informational, Informational{
		Status: re.StatusCode,
		Header: re.Header,
	})
}

// check refuses an answer that is not the own one, or that could be cut short
// without notice. The refusal of a leaving target proves that it read nothing only
// if it names the attempt: else it may be the crossed answer of another request.
func (at *attempt) check() error {
	re := at.response
	echoes := re.Header[parser.AttemptHeader]
	own := len(echoes) == 1 && echoes[0] == at.name
	if !own && (len(echoes) > 0 || at.connection.echoes) {
		return errCrossed
	}
	if own && re.Header.Get(parser.DrainingHeader) == "true" && re.StatusCode == http.StatusServiceUnavailable {
		return errDraining
	}
	at.connection.echoes = own
	if at.bodyless() {
		return nil
	}
	if re.ContentLength < 0 && len(re.TransferEncoding) == 0 {
		return errNoLength
	}
	if re.ContentLength > at.request.MaxAnswerBytes {
		return errTooLong
	}
	return nil
}

func (at *attempt) bodyless() bool {
	status := at.response.StatusCode
	return at.message.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// readBody reads the body up to the bound on buffers.
func (at *attempt) readBody() (*Answer, error) {
	re := at.response
	removeHopByHop(re.Header)
	delete(re.Header, parser.AttemptHeader)
	an := &Answer{
		Status:        re.StatusCode,
		Header:        re.Header,
		Informational: at.informational,
		Length:        re.ContentLength,
		memory:        at.request.Memory,
	}
	whole := true
	if !at.bodyless() {
		var err error
		if whole, err = at.fill(an); err != nil {
			an.Discard()
			return nil, err
		}
	}
	if !whole {
		an.attempt = at
		return an, nil
	}
	an.Trailer = re.Trailer
	at.end(true)
	return an, nil
}

// fill reads the body into the answer and returns false if the rest of it has
// to be streamed.
func (at *attempt) fill(an *Answer) (bool, error) {
	bound := min(at.request.MaxBufferedBytes, at.request.MaxAnswerBytes)
	size := min(bound, firstBufferBytes)
	if an.Length >= 0 {
		size = min(bound, an.Length)
	}
	for {
		if !an.grow(size) {
			return false, nil
		}
		err := an.read(at.response.Body)
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		if int64(len(an.Body)) == an.Length {
			return true, nil
		}
		if size == bound {
			return false, nil
		}
		size = min(bound, 2*size)
	}
}

// end gives the connection to the next attempt if the answer was whole and
// nothing else stands against it; else it closes the connection.
func (at *attempt) end(whole bool) {
	co := at.connection
	reusable := whole && at.joinWrite() && !at.response.Close && !at.message.Close && co.reader.Buffered() == 0
	if !at.detach() || !reusable {
		at.target.discard(co)
		return
	}
	at.target.release(co)
}

// joinWrite returns true if the whole request has been written. A write that
// is still going on ends when the connection is closed.
func (at *attempt) joinWrite() bool {
	if at.written == nil {
		return !at.writeFailed
	}
	select {
	case err := <-at.written:
		return err == nil
	default:
		return false
	}
}

// fail closes the connection and tells what is known of the request.
func (at *attempt) fail(ctx context.Context, cause error) *Failure {
	at.detach()
	at.target.discard(at.connection)
	if at.written != nil {
		at.writeFailed = <-at.written != nil
	}
	draining := errors.Is(cause, errDraining)
	return &Failure{
		Code:      at.codeOf(cause),
		Unread:    draining || at.connection.sent.Load() == 0,
		Draining:  draining,
		Cancelled: ctx.Err() != nil,
		Cause:     cause,
	}
}

// codeOf tells a connection that failed from an answer that is not valid. A
// parser may report a broken line where reading failed, so what reading
// reported counts first.
func (at *attempt) codeOf(cause error) classifier.Code {
	broken := at.connection.broken
	switch {
	case errors.Is(cause, errTooLong):
		return classifier.AnswerTooLarge
	case errors.Is(cause, os.ErrDeadlineExceeded), errors.Is(broken, os.ErrDeadlineExceeded):
		return classifier.TargetTimeout
	case errors.Is(cause, errDraining), at.response == nil && broken != nil, at.writeFailed:
		return classifier.TargetFailed
	default:
		return classifier.AnswerInvalid
	}
}
