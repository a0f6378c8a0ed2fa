package target

import (
	"context"
	"io"
	"net/http"
	"time"

	"coltsfootwick.example/shared/store/storer"

	"coltsfootwick.example/standin/internal/sealer"
)

// The headers of the target besides those of package sealer.
const (
	// AttemptHeader identifies the attempt and is echoed.
	AttemptHeader = "Coltsfootwick-Attempt"
	// DrainingHeader marks a response that refused a request unread because the
	// target is draining.
	DrainingHeader = "Coltsfootwick-Draining"
	// RequestIDHeader identifies the request in logs and is echoed.
	RequestIDHeader = "X-Request-Id"
	// KeyHeader identifies a request that runs at most once.
	KeyHeader = "Idempotency-Key"
)

// failFastDelay is the service time of a target with the fault FailFast.
const failFastDelay = time.Millisecond

// maxRequestBytes bounds the request bodies that the target reads.
const maxRequestBytes = 64 << 20

// handler serves the requests of one incarnation of a target.
type handler struct {
	crashContext context.Context
	target       *Target
}

func newHandler(crashContext context.Context, tt *Target) *handler {
	return &handler{
		crashContext: crashContext,
		target:       tt,
	}
}

// ServeHTTP runs a request, records its execution and responds.
func (hr *handler) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	ft := hr.target.nextFault()
	if _, draining := ft.(Draining); draining {
		hr.refuse(rw, req.Header.Get(AttemptHeader))
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer context.AfterFunc(hr.crashContext, cancel)()
	ar, err := hr.run(ctx, req, ft)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	dr := &deliverer{
		ctx:     ctx,
		handler: hr,
		writer:  rw,
		request: req,
	}
	dr.deliver(ar, ft)
}

// run executes the request and returns its answer, or the error of ctx.
func (hr *handler) run(ctx context.Context, req *http.Request, ft Fault) (answer, error) {
	tt := hr.target
	en := executionOf(req, tt.longFrom)
	index := tt.recorder.begin(en)
	tt.recorder.recordBody(index, isBodyIntact(req, en.Identifier))
	status, err := hr.execute(ctx, en, ft)
	if err != nil {
		tt.recorder.end(index, false, 0)
		return answer{}, err
	}
	tt.recorder.end(index, true, status)
	return answer{
		status:    status,
		attempt:   en.Attempt,
		requestID: en.RequestID,
		body:      sealer.Seal(en.Identifier, answerSize(ft, tt.answerBytes)),
	}, nil
}

// execute runs the request and returns the status of its answer.
func (hr *handler) execute(ctx context.Context, en Execution, ft Fault) (int, error) {
	if _, failing := ft.(FailFast); failing {
		return http.StatusInternalServerError, storer.Pause(ctx, failFastDelay)
	}
	return http.StatusOK, hr.target.runner.Run(ctx, Work{
		Identifier: en.Identifier,
		Long:       en.Long,
	})
}

// refuse refuses a request unread. It echoes the attempt, so that the refusal
// can't be attributed to another request.
func (hr *handler) refuse(rw http.ResponseWriter, attempt string) {
	hr.target.recorder.countRefusedUnread()
	if attempt != "" {
		rw.Header().Set(AttemptHeader, attempt)
	}
	rw.Header().Set("Connection", "close")
	rw.Header().Set(DrainingHeader, "true")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func answerSize(ft Fault, defaultSize int) int {
	switch kind := ft.(type) {
	case Oversized:
		return kind.Bytes
	case CutShort:
		return max(kind.Bytes, defaultSize)
	default:
		return defaultSize
	}
}

func executionOf(req *http.Request, longFrom int) Execution {
	return Execution{
		Identifier: req.Header.Get(sealer.Header),
		RequestID:  req.Header.Get(RequestIDHeader),
		Key:        req.Header.Get(KeyHeader),
		Attempt:    req.Header.Get(AttemptHeader),
		Long:       urgencyOf(req.Header.Get(priorityHeader)) >= longFrom,
	}
}

// isBodyIntact reads the request's body and reports whether it is complete. If the
// request has an identifier, its body must be sealed with an identifier of the
// same request, since the repeats of a request share one body.
func isBodyIntact(req *http.Request, identifier string) bool {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBytes))
	if err != nil {
		return false
	}
	if len(body) == 0 || identifier == "" {
		return req.ContentLength <= 0 || len(body) > 0
	}
	sealedIdentifier, err := sealer.Open(body)
	return err == nil && sealer.RequestOf(sealedIdentifier) == sealer.RequestOf(identifier)
}
