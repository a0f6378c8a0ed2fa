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
	errDraining             = errors.New("the target is draining and refused the request without reading it")
	errOtherAttempt         = errors.New("the answer lacks this attempt's ID or carries the ID of another attempt")
	errNoLength             = errors.New("the answer has neither Content-Length nor chunked encoding, so a truncation can't be detected")
	errProtocolSwitch       = errors.New("the target switched protocols although no upgrade was requested")
	errTooManyInformational = errors.New("the target sent too many informational answers")
	errAnswerTooLong        = errors.New("the Content-Length of the answer exceeds the limit of the service")
)

// attempt is one exchange of a request and an answer on a connection that it owns.
type attempt struct {
	id          string
	target      *Target
	connection  *connection
	request     *Request
	httpRequest *http.Request
	response    *http.Response
	// informational holds the informational answers for the caller.
	informational []Informational
	// writeResult receives the result of a write that runs concurrently with the
	// read; nil if the request was written before the read.
	writeResult chan error
	// writeFailed is true if the request was not written completely.
	writeFailed bool
	// stopWatch stops closing the connection at the end of the context. It returns
	// false if the connection has already been closed for that reason.
	stopWatch func() bool
}

// Send makes one attempt: it sends the request to the target and returns the
// answer. The ID must be unique among all attempts of all entries. When ctx
// ends, the connection is closed. The request is written at most once.
func (tt *Target) Send(ctx context.Context, id string, rt *Request) (*Answer, *Failure) {
	now := time.Now()
	co, err := tt.acquire(ctx, now, rt.Deadline)
	if err != nil {
		return nil, connectFailure(ctx, rt.Deadline, err)
	}
	co.prepareAttempt()
	at := &attempt{
		id:          id,
		target:      tt,
		connection:  co,
		request:     rt,
		httpRequest: rt.httpRequest(id, now),
		stopWatch:   context.AfterFunc(ctx, co.close),
	}
	an, err := at.roundTrip()
	if err != nil {
		return nil, at.fail(ctx, err)
	}
	return an, nil
}

// connectFailure returns the failure of an attempt that could not get a
// connection.
func connectFailure(ctx context.Context, deadline time.Time, cause error) *Failure {
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

func (at *attempt) roundTrip() (*Answer, error) {
	if err := at.write(); err != nil {
		return nil, err
	}
	if err := at.readHead(); err != nil {
		return nil, err
	}
	if err := at.validate(); err != nil {
		return nil, err
	}
	return at.readBody()
}

// write writes a small request before it returns, and a large one concurrently
// with reading the answer. A failed write is an error only if nothing was sent:
// otherwise the target may still have answered, for example with a refusal.
func (at *attempt) write() error {
	co := at.connection
	if len(at.request.Body) > maxInlineBodyBytes {
		at.writeResult = make(chan error, 1)
		go func() { at.writeResult <- co.write(at.httpRequest) }()
		return nil
	}
	err := co.write(at.httpRequest)
	at.writeFailed = err != nil
	if co.sentBytes.Load() == 0 {
		return err
	}
	return nil
}

// readHead reads the informational answers and the head of the final answer.
func (at *attempt) readHead() error {
	for range maxInformational {
		var err error
		at.response, err = http.ReadResponse(at.connection.reader, at.httpRequest) //nolint:bodyclose // closing the connection ends the body
		if err != nil {
			return err
		}
		if at.response.StatusCode == http.StatusSwitchingProtocols {
			return errProtocolSwitch
		}
		if at.response.StatusCode >= http.StatusOK {
			at.connection.headBytesLeft = -1
			return nil
		}
		at.addInformational()
	}
	return errTooManyInformational
}

// addInformational keeps an informational answer for the caller, except 100
// Continue, which concerns the connection to the target only.
func (at *attempt) addInformational() {
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

// validate rejects an answer that belongs to another attempt, or whose truncation
// could not be detected. A draining refusal proves that the target did not read
// the request only if it carries the ID of this attempt: otherwise it may be the
// answer to another request.
func (at *attempt) validate() error {
	re := at.response
	ids := re.Header[parser.AttemptHeader]
	matches := len(ids) == 1 && ids[0] == at.id
	if !matches && (len(ids) > 0 || at.connection.echoesAttempt) {
		return errOtherAttempt
	}
	if matches && re.Header.Get(parser.DrainingHeader) == "true" && re.StatusCode == http.StatusServiceUnavailable {
		return errDraining
	}
	at.connection.echoesAttempt = matches
	if at.hasNoBody() {
		return nil
	}
	if re.ContentLength < 0 && len(re.TransferEncoding) == 0 {
		return errNoLength
	}
	if re.ContentLength > at.request.MaxAnswerBytes {
		return errAnswerTooLong
	}
	return nil
}

func (at *attempt) hasNoBody() bool {
	status := at.response.StatusCode
	return at.httpRequest.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// readBody reads the body up to the buffer limit.
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
	complete := true
	if !at.hasNoBody() {
		var err error
		if complete, err = at.fill(an); err != nil {
			an.Discard()
			return nil, err
		}
	}
	if !complete {
		an.attempt = at
		return an, nil
	}
	an.Trailer = re.Trailer
	at.finish(true)
	return an, nil
}

// fill reads the body into the answer's buffer. It returns false if the remainder
// has to be streamed.
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

// finish releases the connection for the next attempt if request and answer were
// transferred completely, neither side closes the connection, no further bytes
// have been received and the context has not ended. Otherwise it closes the
// connection.
func (at *attempt) finish(complete bool) {
	co := at.connection
	reusable := complete && at.writeCompleted() && !at.response.Close && !at.httpRequest.Close && co.reader.Buffered() == 0
	if !at.stopWatch() || !reusable {
		at.target.discard(co)
		return
	}
	at.target.release(co)
}

// writeCompleted reports whether the complete request has been written. A write
// still in progress ends when the connection is closed.
func (at *attempt) writeCompleted() bool {
	if at.writeResult == nil {
		return !at.writeFailed
	}
	select {
	case err := <-at.writeResult:
		return err == nil
	default:
		return false
	}
}

// fail closes the connection and returns the failure, which states whether the
// target may have read the request.
func (at *attempt) fail(ctx context.Context, cause error) *Failure {
	at.stopWatch()
	at.target.discard(at.connection)
	if at.writeResult != nil {
		at.writeFailed = <-at.writeResult != nil
	}
	draining := errors.Is(cause, errDraining)
	return &Failure{
		Code:      at.failureCode(cause),
		Unread:    draining || at.connection.sentBytes.Load() == 0,
		Draining:  draining,
		Cancelled: ctx.Err() != nil,
		Cause:     cause,
	}
}

// failureCode distinguishes a failed connection from an invalid answer. The HTTP
// parser may report a malformed line when a read has failed, so a read error
// takes precedence.
func (at *attempt) failureCode(cause error) classifier.Code {
	readErr := at.connection.readErr
	switch {
	case errors.Is(cause, errAnswerTooLong):
		return classifier.AnswerTooLarge
	case errors.Is(cause, os.ErrDeadlineExceeded), errors.Is(readErr, os.ErrDeadlineExceeded):
		return classifier.TargetTimeout
	case errors.Is(cause, errDraining), at.response == nil && readErr != nil, at.writeFailed:
		return classifier.TargetFailed
	default:
		return classifier.AnswerInvalid
	}
}
