package platform

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// answer is a successful answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// answerer makes a handler of a function that returns an answer or an error.
func answerer(handle func(rq *http.Request) (answer, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		an, err := handle(rq)
		if err != nil {
			refuse(rw, err)
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

// refuse answers with the status of an error. The connection is closed without
// an answer if the faults ask for it.
func refuse(rw http.ResponseWriter, err error) {
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
