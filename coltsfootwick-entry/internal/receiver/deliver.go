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

// write writes an answer, of which stream copies what is not held. If that
// breaks, the caller's connection is reset so that a part is not taken for the
// whole.
func (rt *request) write(an *sender.Answer, stream func(http.ResponseWriter) error) classifier.Code {
	rt.inform(an.Informational)
	header := rt.writer.Header()
	maps.Copy(header, an.Header)
	header[parser.RequestIDHeader] = []string{rt.id}
	for name := range an.Trailer {
		header.Add("Trailer", name)
	}
	if an.Whole() && len(an.Trailer) == 0 && carriesBody(rt.caller.Method, an.Status) {
		header["Content-Length"] = []string{strconv.Itoa(len(an.Body))}
	}
	rt.writer.WriteHeader(an.Status)
	_, err := rt.writer.Write(an.Body)
	if err == nil {
		err = stream(rt.writer)
	}
	if err != nil && carriesBody(rt.caller.Method, an.Status) {
		rt.receiver.logger.Info("answer broken off",
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

// inform passes on the informational answers, which HTTP/1.0 does not know.
func (rt *request) inform(answers []sender.Informational) {
	if !rt.caller.ProtoAtLeast(1, 1) {
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
