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
	// overheadBytes is counted for each request beside its body.
	overheadBytes = 8 << 10
)

// request is one request of a caller while the entry works on it.
type request struct {
	receiver *Receiver
	writer   http.ResponseWriter
	caller   *http.Request
	name     string
	id       string
	arrived  time.Time
	service  *configurer.Service
	class    *meter.Class
	urgency  int
	deadline time.Time
	key      string
	bytes    int64
	attempts int
	code     classifier.Code
}

// serve carries the request to its answer.
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

// parse reads what the entry needs of the headers.
func (rt *request) parse() error {
	header := rt.caller.Header
	se := rt.service
	urgency, named := parser.Urgency(header)
	if !named {
		urgency = se.DefaultUrgency
	}
	if urgency < se.MostUrgent {
		return classifier.New(classifier.PriorityNotAllowed, "urgency %d, service %s allows from %d", urgency, se.Name, se.MostUrgent)
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
	asked, named, err := parser.Timeout(header)
	if err != nil {
		return err
	}
	if named {
		timeout = min(timeout, asked)
	}
	rt.deadline = rt.arrived.Add(timeout)
	return nil
}

// repeatable returns true if a second attempt may follow one that may have run.
func (rt *request) repeatable() bool {
	if rt.key != "" {
		return false
	}
	if !rt.service.NotRepeatable {
		return true
	}
	method := rt.caller.Method
	return method != http.MethodPost && method != http.MethodPatch
}

func (rt *request) exchange(dr *dispatcher.Dispatcher) classifier.Code {
	memory := dr.Memory()
	if !memory.Reserve(overheadBytes) {
		return rt.refuse(errMemory)
	}
	defer memory.Release(overheadBytes)
	bd := newBody(memory, rt.service.MaxRequestBytes)
	defer bd.release()
	if err := bd.read(rt.writer, rt.caller, rt.deadline); err != nil {
		return rt.refuse(err)
	}
	message := sender.NewRequest(rt.caller, bd.data)
	message.Header[parser.RequestIDHeader] = []string{rt.id}
	message.Deadline = rt.deadline
	message.MaxAnswerBytes = rt.service.MaxAnswerBytes
	message.MaxBufferedBytes = rt.service.MaxBufferedBytes
	message.Memory = memory
	rt.bytes = int64(len(bd.data)) + overheadBytes
	if rt.key != "" {
		return rt.exchangeOnce(dr, message)
	}
	dy, err := rt.run(exchanger.New(dr, message, rt.name))
	if err != nil {
		return rt.refuse(err)
	}
	defer dy.Close()
	return rt.deliver(dy)
}

func (rt *request) run(ee *exchanger.Exchange) (*exchanger.Delivery, error) {
	dy, err := ee.Run(rt.caller.Context(), scheduler.Request{
		Urgency:    rt.urgency,
		Bytes:      rt.bytes,
		Deadline:   rt.deadline,
		Repeatable: rt.repeatable(),
	})
	rt.attempts = ee.Attempts()
	return dy, err
}

// refuse answers with a problem document.
func (rt *request) refuse(err error) classifier.Code {
	if errors.Is(err, exchanger.ErrCallerGone) {
		panic(http.ErrAbortHandler)
	}
	pm := problem(err)
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
