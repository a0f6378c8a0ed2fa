// Package prober tells whether the platform's service answers, and finds out soon when
// it answers again.
//
// A call whose answer was lost ends with its timeout only, and while it waits, nothing is
// known of the service. So a Prober sends short calls of its own during an outage. Once one
// call is answered, it ends the calls that were sent into the outage, so that they are
// repeated at once.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// failureThreshold is the number of consecutive failed calls after which the service
	// counts as unavailable; a single lost answer is not significant.
	failureThreshold = 2
	// probeInterval is the interval between two probes of an unavailable service. The
	// probes of 300 managers are a third of the calls that a service takes for them.
	probeInterval = 150 * time.Millisecond
	// probeTimeout bounds a probe. A slow service takes some hundred milliseconds.
	probeTimeout = 450 * time.Millisecond
	// minOverdue is the age from which an unanswered call is given up when the service
	// answers a later one after an outage.
	minOverdue = 250 * time.Millisecond
)

// Prober observes the calls to the platform's service. It is safe for concurrent use.
type Prober struct {
	probe  func(ctx context.Context) error
	logger *zap.Logger
	// outage has a value from the time at which the service becomes unavailable until Run
	// has begun to probe it.
	outage chan struct{}

	mu       sync.Mutex
	failures int
	// answeredFrom is the latest time at which an answered call was sent. The failures of
	// earlier calls say nothing of the present.
	answeredFrom time.Time
	inFlight     map[*call]struct{}
}

// New returns a Prober. Probe makes a call to the service that changes nothing, on a
// connection that other calls can't occupy.
func New(probe func(ctx context.Context) error, logger *zap.Logger) *Prober {
	return &Prober{
		probe:    probe,
		logger:   logger,
		outage:   make(chan struct{}, 1),
		inFlight: map[*call]struct{}{},
	}
}

// IsUnavailable reports whether the latest calls to the service have failed.
func (pb *Prober) IsUnavailable() bool {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	return pb.failures >= failureThreshold
}

// Run probes the service during its outages until the context is done.
func (pb *Prober) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-pb.outage:
		case <-ctx.Done():
			return ctx.Err()
		}
		for pb.IsUnavailable() && ctx.Err() == nil {
			probes.Go(func() { pb.probeOnce(ctx) })
			_ = storer.Pause(ctx, probeInterval)
		}
	}
}

func (pb *Prober) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ctx, ca := pb.begin(ctx, "probe")
	// The outcome is recorded.
	_ = pb.end(ca, pb.probe(ctx))
}

// call is a call to the service that is in flight.
type call struct {
	name   string
	sentAt time.Time
	// cancel ends the call with a cause.
	cancel context.CancelCauseFunc
	// context is done with errOverdue if the call was given up.
	context context.Context
}

// errOverdue is the cause of the end of calls that were sent into an outage that is over.
var errOverdue = errors.New("the service answers later calls")

// begin records that a call is sent, and returns the context for it.
func (pb *Prober) begin(ctx context.Context, name string) (context.Context, *call) {
	ctx, cancel := context.WithCancelCause(ctx)
	ca := &call{
		name:    name,
		sentAt:  time.Now(),
		cancel:  cancel,
		context: ctx,
	}
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.inFlight[ca] = struct{}{}
	return ctx, ca
}

// end records the outcome of a call, and returns its error.
func (pb *Prober) end(ca *call, err error) error {
	isOverdue := err != nil && errors.Is(context.Cause(ca.context), errOverdue)
	ca.cancel(nil)
	pb.mu.Lock()
	defer pb.mu.Unlock()
	delete(pb.inFlight, ca)
	switch {
	case isOverdue:
		return storer.NewOverdue(err)
	case errors.Is(err, context.Canceled):
		// The caller cancelled the call, so its error says nothing of the service.
	case isFailure(err):
		pb.recordFailure(ca, err)
	default:
		pb.recordAnswer(ca)
	}
	return err
}

// isFailure reports whether an error says that the service has not answered.
func isFailure(err error) bool {
	switch classifier.CodeOf(err) {
	case classifier.PlatformUnavailable, classifier.PlatformAmbiguous, classifier.PlatformRateLimited:
		return true
	}
	return false
}

func (pb *Prober) recordFailure(ca *call, err error) {
	if ca.sentAt.Before(pb.answeredFrom) {
		return
	}
	pb.failures++
	if pb.failures == failureThreshold {
		pb.logger.Warn("store unavailable", zap.String("call", ca.name), zap.Error(err))
		select {
		case pb.outage <- struct{}{}:
		default:
		}
	}
}

func (pb *Prober) recordAnswer(ca *call) {
	if ca.sentAt.After(pb.answeredFrom) {
		pb.answeredFrom = ca.sentAt
	}
	if pb.failures >= failureThreshold {
		overdue := pb.giveUpOverdue(ca.sentAt)
		pb.logger.Info("store available again", zap.String("call", ca.name), zap.Int("overdueCalls", overdue))
		time.AfterFunc(minOverdue, func() {
			pb.mu.Lock()
			defer pb.mu.Unlock()
			pb.giveUpOverdue(ca.sentAt)
		})
	}
	pb.failures = 0
}

// giveUpOverdue ends the calls that were sent before a time and are overdue, and returns
// their number.
func (pb *Prober) giveUpOverdue(sentAt time.Time) int {
	count := 0
	for ca := range pb.inFlight {
		if ca.sentAt.Before(sentAt) && time.Since(ca.sentAt) >= minOverdue {
			ca.cancel(errOverdue)
			count++
		}
	}
	return count
}
