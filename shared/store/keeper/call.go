package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// ErrNoAnswer is in the chain of the error of a call for which no answer arrived.
var ErrNoAnswer = errors.New("no answer")

// effect is the effect of the faults on one call.
type effect struct {
	// requestDelay is the delay until the call takes effect.
	requestDelay time.Duration
	// answerDelay is the delay between the effect and the answer.
	answerDelay time.Duration
	// isAnswerLost is true if no answer is sent.
	isAnswerLost bool
}

// call makes one call to the service, subject to the active faults.
func call[T any](ctx context.Context, zn *Zone, kd Kind, step func(now time.Time) (T, error)) (T, error) {
	var none T
	if zn.timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, zn.timeout)
		defer cancel()
		ctx = limited
	}
	ef, err := zn.deliver(ctx, kd)
	if err != nil {
		return none, err
	}
	answer, err := execute(ctx, zn, kd, ef, step)
	if err != nil {
		return none, err
	}
	if ef.isAnswerLost {
		return none, zn.noAnswerError(kd, ErrNoAnswer)
	}
	return answer, nil
}

// deliver delivers a call to the service, or returns an error because of a
// partition, a rate limit or an outage. It returns the effect of the other faults.
func (zn *Zone) deliver(ctx context.Context, kd Kind) (effect, error) {
	if ctx.Err() != nil {
		return effect{}, classifier.Wrap(ctx.Err(), classifier.PlatformUnavailable, "%s not sent: context is done", kd)
	}
	for {
		pt, changed, isPartitioned := zn.partition()
		if !isPartitioned {
			return zn.admit(kd)
		}
		if pt.Refuse {
			return effect{}, classifier.Wrap(ErrNoAnswer, classifier.PlatformUnavailable, "%s from zone %s: connection refused by a partition", kd, zn.name)
		}
		select {
		case <-ctx.Done():
			return effect{}, zn.noAnswerError(kd, ctx.Err())
		case <-changed:
		}
	}
}

// partition draws whether a partition fault affects a call and returns that fault.
// The channel returned is closed when the faults change.
func (zn *Zone) partition() (Partition, <-chan struct{}, bool) {
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	pt, _, isPartitioned := draw[Partition](kr.faults, zn.name)
	return pt, kr.faultsChanged, isPartitioned
}

// admit counts a call that has reached the service and applies the rate limits,
// outages and delays.
func (zn *Zone) admit(kd Kind) (effect, error) {
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	if !kr.meter.count(time.Now(), zn.name, kd) {
		return effect{}, classifier.New(classifier.PlatformRateLimited, "%s from zone %s: rate limit exceeded", kd, zn.name)
	}
	if _, _, isOut := draw[Outage](kr.faults, zn.name); isOut {
		return effect{}, classifier.New(classifier.PlatformUnavailable, "%s from zone %s: service outage", kd, zn.name)
	}
	var ef effect
	if sl, random, isSlow := draw[Slow](kr.faults, zn.name); isSlow {
		ef.requestDelay, ef.answerDelay = split(sl.Delay, random)
	}
	if kd.IsWrite() {
		_, _, ef.isAnswerLost = draw[AnswerLost](kr.faults, zn.name)
	}
	return ef, nil
}

// split draws a delay around the mean and divides it at a random point into a
// request delay and an answer delay.
func split(mean time.Duration, random *rand.Rand) (requestDelay, answerDelay time.Duration) {
	delay := time.Duration((0.5 + random.Float64()) * float64(mean))
	requestDelay = time.Duration(random.Float64() * float64(delay))
	return requestDelay, delay - requestDelay
}

// execute applies the step after its request delay, even if the caller's context is
// done before.
func execute[T any](ctx context.Context, zn *Zone, kd Kind, ef effect, step func(now time.Time) (T, error)) (T, error) {
	if ef.requestDelay == 0 && ef.answerDelay == 0 {
		return apply(zn.keeper, step)
	}
	type result struct {
		answer T
		err    error
	}
	done := make(chan result, 1)
	time.AfterFunc(ef.requestDelay, func() {
		answer, err := apply(zn.keeper, step)
		time.AfterFunc(ef.answerDelay, func() {
			done <- result{
				answer: answer,
				err:    err,
			}
		})
	})
	select {
	case rs := <-done:
		return rs.answer, rs.err
	case <-ctx.Done():
		var none T
		return none, zn.noAnswerError(kd, ctx.Err())
	}
}

// noAnswerError returns the error of a call for which no answer arrived: ambiguous for
// a write, unavailable for a read.
func (zn *Zone) noAnswerError(kd Kind, cause error) error {
	code := classifier.PlatformUnavailable
	if kd.IsWrite() {
		code = classifier.PlatformAmbiguous
	}
	return classifier.Wrap(cause, code, "%s from zone %s got no answer", kd, zn.name)
}
