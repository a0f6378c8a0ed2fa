// Package receiver provides the HTTP handler for callers' requests.
package receiver

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-entry/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-entry/internal/meter"
	"coltsfootwick.example/coltsfootwick-entry/internal/parser"
	"coltsfootwick.example/coltsfootwick-entry/internal/refuser"
	"coltsfootwick.example/shared/process/classifier"
)

// unavailableRetryAfter is the Retry-After of requests refused because the entry
// is not ready or the journal is unavailable.
const unavailableRetryAfter = time.Second

// Router finds the dispatcher for a path.
type Router interface {
	// Find returns the dispatcher, or an EntryNotReady or UnknownService error.
	Find(path string) (*dispatcher.Dispatcher, error)
}

// Receiver is the HTTP handler for callers' requests.
type Receiver struct {
	incarnation        string
	meter              *meter.Meter
	logger             *zap.Logger
	journal            Journal
	liveness           Liveness
	router             Router
	serial             atomic.Uint64
	inFlight           sync.WaitGroup
	keepAlivesDisabled atomic.Bool
}

// New returns a Receiver. The incarnation must be unique among all entry
// processes, past ones included.
func New(incarnation string, router Router, journal Journal, liveness Liveness, mr *meter.Meter, logger *zap.Logger) *Receiver {
	return &Receiver{
		incarnation: incarnation,
		router:      router,
		journal:     journal,
		liveness:    liveness,
		meter:       mr,
		logger:      logger,
	}
}

// DisableKeepAlives adds "Connection: close" to each further answer, so that
// callers send their next request on another connection.
func (rr *Receiver) DisableKeepAlives() { rr.keepAlivesDisabled.Store(true) }

// Wait blocks until no request is in flight. No new request may arrive during
// the call.
func (rr *Receiver) Wait() { rr.inFlight.Wait() }

// ServeHTTP implements http.Handler.
func (rr *Receiver) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	rr.inFlight.Add(1)
	defer rr.inFlight.Done()
	if rr.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	uniqueName := rr.incarnation + "-" + strconv.FormatUint(rr.serial.Add(1), 36)
	rt := &request{
		receiver:   rr,
		writer:     w,
		incoming:   hr,
		uniqueName: uniqueName,
		id:         hr.Header.Get(parser.RequestIDHeader),
		arrived:    time.Now(),
	}
	if rt.id == "" || len(rt.id) > maxRequestID {
		rt.id = uniqueName
	}
	dr, err := rr.route(hr)
	if err != nil {
		rt.refuse(err)
		return
	}
	rt.serve(dr)
}

func (rr *Receiver) route(hr *http.Request) (*dispatcher.Dispatcher, error) {
	path := hr.URL.Path
	if hr.Method == http.MethodConnect || !strings.HasPrefix(path, "/") || hasDotSegment(path) {
		return nil, classifier.New(classifier.MalformedRequest, "path %q", path)
	}
	return rr.router.Find(path)
}

// hasDotSegment reports whether the path has a "." or ".." segment, which a
// target could resolve to the path of another service.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// problemOf returns the problem document for an error that occurred before the
// request was sent to a target.
func problemOf(err error) refuser.Problem {
	pm := refuser.Problem{
		Code:    classifier.CodeOf(err),
		Detail:  err.Error(),
		Outcome: classifier.NotRun,
	}
	if pm.Code == classifier.EntryNotReady || pm.Code == classifier.JournalUnavailable {
		pm.RetryAfter = unavailableRetryAfter
	}
	return pm
}
