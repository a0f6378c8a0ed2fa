package platform

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// response is a successful HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// handlerFunc returns a handler that calls handle and writes its response or error.
func handlerFunc(handle func(rq *http.Request) (response, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		an, err := handle(rq)
		if err != nil {
			writeError(rw, err)
			return
		}
		for name, values := range an.header {
			rw.Header()[name] = values
		}
		if an.status != 0 {
			rw.WriteHeader(an.status)
		}
		_, _ = rw.Write(an.body)
	}
}

// writeError writes an error with its status. For keeper.ErrNoAnswer, which faults
// cause, it closes the connection without a response.
func writeError(rw http.ResponseWriter, err error) {
	if errors.Is(err, keeper.ErrNoAnswer) {
		panic(http.ErrAbortHandler)
	}
	var ce *storer.ConflictError
	if errors.As(err, &ce) {
		rw.Header().Set(storer.RevisionHeader, formatRevision(ce.Actual))
	}
	http.Error(rw, err.Error(), statusOf(err))
}

func statusOf(err error) int {
	switch classifier.CodeOf(err) {
	case classifier.PlatformNotFound, classifier.VMUnknown:
		return http.StatusNotFound
	case classifier.PlatformConflict:
		return http.StatusConflict
	case classifier.PlatformTooLarge:
		return http.StatusRequestEntityTooLarge
	case classifier.PlatformRateLimited:
		return http.StatusTooManyRequests
	case classifier.LeaseLost:
		return http.StatusGone
	case classifier.PlatformUnavailable, classifier.PlatformAmbiguous:
		return http.StatusServiceUnavailable
	case classifier.MalformedRequest, classifier.SettingsRange, classifier.SettingsSyntax, classifier.RecordInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}

func formatRevision(revision storer.Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
