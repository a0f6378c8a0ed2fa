package receiver

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-entry/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-entry/internal/exchanger"
	"coltsfootwick.example/coltsfootwick-entry/internal/meter"
	"coltsfootwick.example/coltsfootwick-entry/internal/parser"
	"coltsfootwick.example/coltsfootwick-entry/internal/refuser"
	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/scheduler"
	"coltsfootwick.example/shared/settings/configurer"
)

const (
	maxRequestID = 128
	// overheadBytes is the memory accounted for each request in addition to
	// its body.
	overheadBytes = 8 << 10
)

// request is a caller's request in flight.
type request struct {
	receiver       *Receiver
	writer         http.ResponseWriter
	incoming       *http.Request
	uniqueName     string
	id             string
	arrived        time.Time
	service        *configurer.Service
	class          *meter.Class
	urgency        int
	deadline       time.Time
	key            string
	accountedBytes int64
	attempts       int
	code           classifier.Code
}

// serve validates the request, exchanges it with a target and writes the answer.
func (rt *request) serve(dr *dispatcher.Dispatcher) {
	rt.service = dr.Service()
	if err := rt.parse(); err != nil {
		rt.refuse(err)
		return
	}
	rt.class = rt.receiver.meter.Class(rt.service.Name, rt.urgency >= rt.service.LongFrom)
	rt.class.Begin()
	rt.code = classifier.CallerGone
	defer func() { rt.class.End(rt.code, rt.attempts, time.Since(rt.arrived)) }()
	rt.code = rt.exchange(dr)
}

// parse sets the urgency, idempotency key and deadline from the headers and the
// service's settings.
func (rt *request) parse() error {
	header := rt.incoming.Header
	se := rt.service
	urgency, present := parser.Urgency(header)
	if !present {
		urgency = se.DefaultUrgency
	}
	if urgency < se.MostUrgent {
		return classifier.New(classifier.PriorityNotAllowed, "urgency %d is not allowed, service %s allows %d or higher numbers only", urgency, se.Name, se.MostUrgent)
	}
	rt.urgency = urgency
	key, err := parser.Key(header)
	if err != nil {
		return err
	}
	rt.key = key
	timeout := se.RequestTimeout
	if urgency >= se.LongFrom {
		timeout = se.LongTimeout
	}
	requested, present, err := parser.Timeout(header)
	if err != nil {
		return err
	}
	if present {
		timeout = min(timeout, requested)
	}
	rt.deadline = rt.arrived.Add(timeout)
	return nil
}

// repeatable reports whether the request may be attempted again after an attempt
// that may have run it.
func (rt *request) repeatable() bool {
	if rt.key != "" {
		return false
	}
	if !rt.service.NotRepeatable {
		return true
	}
	method := rt.incoming.Method
	return method != http.MethodPost && method != http.MethodPatch
}

func (rt *request) exchange(dr *dispatcher.Dispatcher) classifier.Code {
	memory := dr.Memory()
	if !memory.Reserve(overheadBytes) {
		return rt.refuse(errMemoryExhausted)
	}
	defer memory.Release(overheadBytes)
	bd := newBody(memory, rt.service.MaxRequestBytes)
	defer bd.release()
	if err := bd.read(rt.writer, rt.incoming, rt.deadline); err != nil {
		return rt.refuse(err)
	}
	outgoing := sender.NewRequest(rt.incoming, bd.data)
	outgoing.Header[parser.RequestIDHeader] = []string{rt.id}
	outgoing.Deadline = rt.deadline
	outgoing.MaxAnswerBytes = rt.service.MaxAnswerBytes
	outgoing.MaxBufferedBytes = rt.service.MaxBufferedBytes
	outgoing.Memory = memory
	rt.accountedBytes = int64(len(bd.data)) + overheadBytes
	if rt.key != "" {
		return rt.exchangeAtMostOnce(dr, outgoing)
	}
	dy, err := rt.run(exchanger.New(dr, outgoing, rt.uniqueName))
	if err != nil {
		return rt.refuse(err)
	}
	defer dy.Close()
	return rt.deliver(dy)
}

func (rt *request) run(ee *exchanger.Exchange) (*exchanger.Delivery, error) {
	dy, err := ee.Run(rt.incoming.Context(), scheduler.Request{
		Urgency:    rt.urgency,
		Bytes:      rt.accountedBytes,
		Deadline:   rt.deadline,
		Repeatable: rt.repeatable(),
	})
	rt.attempts = ee.Attempts()
	return dy, err
}

// refuse writes err as a problem document and returns its result code. If the
// caller has gone it aborts the handler instead.
func (rt *request) refuse(err error) classifier.Code {
	if errors.Is(err, exchanger.ErrCallerGone) {
		panic(http.ErrAbortHandler)
	}
	pm := problemOf(err)
	var rl *exchanger.RefusalError
	if errors.As(err, &rl) {
		pm = refuser.Problem{
			Code:       rl.Code,
			Detail:     rl.Detail,
			Outcome:    rl.Outcome,
			RetryAfter: rl.RetryAfter,
		}
	}
	pm.RequestID = rt.id
	if ce := rt.receiver.logger.Check(zap.InfoLevel, "request refused"); ce != nil {
		ce.Write(
			zap.String("requestId", rt.id),
			zap.Int("code", int(pm.Code)),
			zap.String("outcome", string(pm.Outcome)),
			zap.String("detail", pm.Detail),
			zap.Int("attempts", rt.attempts),
		)
	}
	pm.Write(rt.writer)
	return pm.Code
}
