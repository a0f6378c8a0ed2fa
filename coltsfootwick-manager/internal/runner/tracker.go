package runner

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// requestTracker tracks callers' requests in progress, so that the log tells which
// of them a shutdown leaves without an answer.
type requestTracker struct {
	logger *zap.Logger

	mu       sync.Mutex
	requests map[*http.Request]time.Time
}

func newRequestTracker(logger *zap.Logger) *requestTracker {
	return &requestTracker{
		logger:   logger,
		requests: map[*http.Request]time.Time{},
	}
}

// track returns a handler that tracks the requests of another one.
func (rt *requestTracker) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		rt.add(rq)
		defer rt.remove(rq)
		next.ServeHTTP(rw, rq)
	})
}

func (rt *requestTracker) add(rq *http.Request) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.requests[rq] = time.Now()
}

func (rt *requestTracker) remove(rq *http.Request) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	delete(rt.requests, rq)
}

// count returns the number of requests in progress.
func (rt *requestTracker) count() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.requests)
}

// logUnanswered logs the requests in progress, whose connections are about to be
// closed.
func (rt *requestTracker) logUnanswered() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for rq, startedAt := range rt.requests {
		rt.logger.Error("closing a connection without an answer", zap.String("method", rq.Method),
			zap.String("path", rq.URL.Path), zap.Duration("age", time.Since(startedAt)))
	}
}
