package receiver

import (
	"maps"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-entry/internal/exchanger"
	"coltsfootwick.example/coltsfootwick-entry/internal/parser"
	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
)

// deliver writes the target's answer to the caller.
func (rt *request) deliver(dy *exchanger.Delivery) classifier.Code {
	return rt.write(dy.Answer, func(w http.ResponseWriter) error { return dy.Stream(w) })
}

// write writes an answer to the caller; stream copies the part of the body that
// is not buffered. If writing fails, the connection is reset so that the caller
// can't mistake a truncated answer for a complete one.
func (rt *request) write(an *sender.Answer, stream func(http.ResponseWriter) error) classifier.Code {
	rt.writeInformational(an.Informational)
	header := rt.writer.Header()
	maps.Copy(header, an.Header)
	header[parser.RequestIDHeader] = []string{rt.id}
	for name := range an.Trailer {
		header.Add("Trailer", name)
	}
	if an.Complete() && len(an.Trailer) == 0 && carriesBody(rt.incoming.Method, an.Status) {
		header["Content-Length"] = []string{strconv.Itoa(len(an.Body))}
	}
	rt.writer.WriteHeader(an.Status)
	_, err := rt.writer.Write(an.Body)
	if err == nil {
		err = stream(rt.writer)
	}
	if err != nil && carriesBody(rt.incoming.Method, an.Status) {
		rt.receiver.logger.Info("answer truncated and caller's connection reset: copying the body failed",
			zap.String("requestId", rt.id),
			zap.Error(err),
		)
		panic(http.ErrAbortHandler)
	}
	for name, values := range an.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return classifier.OK
}

// writeInformational forwards the informational answers, except to HTTP/1.0
// callers, since HTTP/1.0 does not define them.
func (rt *request) writeInformational(answers []sender.Informational) {
	if !rt.incoming.ProtoAtLeast(1, 1) {
		return
	}
	header := rt.writer.Header()
	for _, in := range answers {
		maps.Copy(header, in.Header)
		rt.writer.WriteHeader(in.Status)
		clear(header)
	}
}

func carriesBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
