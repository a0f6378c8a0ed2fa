package provider

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// impairer applies the faults of a VM's workers to the calls of a handler.
type impairer struct {
	provider *Provider
	vm       string
	handler  http.Handler
}

// ServeHTTP implements http.Handler.
func (im *impairer) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	incarnation, ft := im.draw()
	if opened, ok := rq.Context().Value(incarnationKey{}).(int); ok {
		incarnation = opened
	}
	repeat := func(ctx context.Context) *http.Request {
		rq := rq.Clone(context.WithValue(ctx, incarnationKey{}, incarnation))
		rq.Body = io.NopCloser(bytes.NewReader(body))
		return rq
	}
	switch ft := ft.(type) {
	case RefusedOrders:
		rw.WriteHeader(ft.Status)
	case LostAnswers:
		im.handler.ServeHTTP(&unansweredWriter{}, repeat(rq.Context()))
		panic(http.ErrAbortHandler)
	case LateOrders:
		time.AfterFunc(ft.Delay, func() { im.carryOut(repeat(context.Background())) })
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		im.handler.ServeHTTP(rw, repeat(rq.Context()))
	}
}

// carryOut carries out a call that nobody waits for.
func (im *impairer) carryOut(rq *http.Request) {
	defer func() {
		if cause := recover(); cause != nil && cause != any(http.ErrAbortHandler) {
			panic(cause)
		}
	}()
	im.handler.ServeHTTP(&unansweredWriter{}, rq)
}

// draw returns the incarnation that a call reaches and the fault that affects it, or
// nil. The delay of a late order is drawn, too.
func (im *impairer) draw() (int, WorkerFault) {
	pv := im.provider
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine := pv.vms[im.vm]
	for _, ft := range machine.faults {
		switch ft := ft.(type) {
		case RefusedOrders:
			if pv.random.Float64() < ft.Share {
				return machine.reached(), ft
			}
		case LostAnswers:
			if pv.random.Float64() < ft.Share {
				pv.counts.LostAnswers++
				return machine.reached(), ft
			}
		case LateOrders:
			if pv.random.Float64() < ft.Share {
				pv.counts.LateOrders++
				if ft.Jitter > 0 {
					ft.Delay += time.Duration(pv.random.Int64N(int64(ft.Jitter)))
				}
				return machine.reached(), ft
			}
		case FailingRuns, HangingRuns, SlowRuns:
			// These affect runs.
		}
	}
	return machine.reached(), nil
}

// unansweredWriter discards an answer.
type unansweredWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (uw *unansweredWriter) Header() http.Header {
	if uw.header == nil {
		uw.header = http.Header{}
	}
	return uw.header
}

// Write implements http.ResponseWriter.
func (uw *unansweredWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (uw *unansweredWriter) WriteHeader(int) {}
