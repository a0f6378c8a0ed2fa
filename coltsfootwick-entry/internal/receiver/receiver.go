// Package receiver takes the callers' requests and writes the answers.
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

const refusedRetryAfter = time.Second

// Router finds the dispatcher of a path.
type Router interface {
	// Find returns the dispatcher, or an EntryNotReady or UnknownService error.
	Find(path string) (*dispatcher.Dispatcher, error)
}

// Receiver is the handler of the callers' requests.
type Receiver struct {
	incarnation string
	meter       *meter.Meter
	logger      *zap.Logger
	journal     Journal
	liveness    Liveness
	router      Router
	serial      atomic.Uint64
	inFlight    sync.WaitGroup
	stopping    atomic.Bool
}

// New returns a receiver. The incarnation is unique
// among all entry processes, past ones included.
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

// Stop asks the callers, by each answer, to send their next request on another
// connection.
func (rr *Receiver) Stop() { rr.stopping.Store(true) }

// Wait returns when no request is in flight. No request may arrive meanwhile.
func (rr *Receiver) Wait() { rr.inFlight.Wait() }

// ServeHTTP answers one request of a caller.
func (rr *Receiver) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	rr.inFlight.Add(1)
	defer rr.inFlight.Done()
	if rr.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	name := rr.incarnation + "-" + strconv.FormatUint(rr.serial.Add(1), 36)
	rt := &request{
		receiver: rr,
		writer:   w,
		caller:   hr,
		name:     name,
		id:       hr.Header.Get(parser.RequestIDHeader),
		arrived:  time.Now(),
	}
	if rt.id == "" || len(rt.id) > maxRequestID {
		rt.id = name
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

// hasDotSegment returns true for a path that a target could take for the path
// of another service.
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

// problem returns the refusal of a request that was not sent.
func problem(err error) refuser.Problem {
	pm := refuser.Problem{
		Code:    classifier.CodeOf(err),
		Detail:  err.Error(),
		Outcome: classifier.NotRun,
	}
	if pm.Code == classifier.EntryNotReady || pm.Code == classifier.JournalUnavailable {
		pm.RetryAfter = refusedRetryAfter
	}
	return pm
}
