package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// ErrNoAnswer is in the chain of errors of calls that got no answer at all.
var ErrNoAnswer = errors.New("no answer")

// verdict is what the faults do to one call.
type verdict struct {
	// before is the delay until the call takes effect.
	before time.Duration
	// after is the delay from then to the answer.
	after time.Duration
	// lost is true if the answer is lost.
	lost bool
}

// call makes one call to the service under the faults in force.
func call[T any](ctx context.Context, zn *Zone, kd Kind, step func(now time.Time) (T, error)) (T, error) {
	var none T
	if zn.timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, zn.timeout)
		defer cancel()
		ctx = limited
	}
	vt, err := zn.arrive(ctx, kd)
	if err != nil {
		return none, err
	}
	answer, err := perform(ctx, zn, kd, vt, step)
	if err != nil {
		return none, err
	}
	if vt.lost {
		return none, zn.unanswered(kd, ErrNoAnswer)
	}
	return answer, nil
}

// arrive brings a call to the service: through cuts, past the rates and
// outages. It returns what else the faults do to the call.
func (zn *Zone) arrive(ctx context.Context, kd Kind) (verdict, error) {
	if ctx.Err() != nil {
		return verdict{}, classifier.Wrap(ctx.Err(), classifier.PlatformUnavailable, "%s not sent", kd)
	}
	for {
		ct, mended, isCut := zn.cut()
		if !isCut {
			return zn.admit(kd)
		}
		if ct.Refuse {
			return verdict{}, classifier.Wrap(ErrNoAnswer, classifier.PlatformUnavailable, "%s from zone %s refused", kd, zn.name)
		}
		select {
		case <-ctx.Done():
			return verdict{}, zn.unanswered(kd, ctx.Err())
		case <-mended:
		}
	}
}

// cut reports whether a call is cut off, and returns a channel that is closed
// when the faults change.
func (zn *Zone) cut() (Partition, <-chan struct{}, bool) {
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	ct, _, isCut := strike[Partition](kr.faults, zn.name)
	return ct, kr.faultsChanged, isCut
}

// admit counts a call that has reached the service and holds it to the rates.
func (zn *Zone) admit(kd Kind) (verdict, error) {
	kr := zn.keeper
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	if !kr.meter.count(time.Now(), zn.name, kd) {
		return verdict{}, classifier.New(classifier.PlatformRateLimited, "%s from zone %s", kd, zn.name)
	}
	if _, _, out := strike[Outage](kr.faults, zn.name); out {
		return verdict{}, classifier.New(classifier.PlatformUnavailable, "%s from zone %s: service is out", kd, zn.name)
	}
	var vt verdict
	if sw, random, slow := strike[Slow](kr.faults, zn.name); slow {
		vt.before, vt.after = split(sw.Delay, random)
	}
	if kd.IsWrite() {
		_, _, vt.lost = strike[AnswerLost](kr.faults, zn.name)
	}
	return vt, nil
}

// split draws a delay round a mean and parts it at a random point.
func split(mean time.Duration, random *rand.Rand) (before, after time.Duration) {
	delay := time.Duration((0.5 + random.Float64()) * float64(mean))
	before = time.Duration(random.Float64() * float64(delay))
	return before, delay - before
}

// perform applies the step after its delay, even if the caller gives up.
func perform[T any](ctx context.Context, zn *Zone, kd Kind, vt verdict, step func(now time.Time) (T, error)) (T, error) {
	if vt.before == 0 && vt.after == 0 {
		return apply(zn.keeper, step)
	}
	type result struct {
		answer T
		err    error
	}
	done := make(chan result, 1)
	time.AfterFunc(vt.before, func() {
		answer, err := apply(zn.keeper, step)
		time.AfterFunc(vt.after, func() {
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
		return none, zn.unanswered(kd, ctx.Err())
	}
}

// unanswered returns the error of a call that got no answer.
func (zn *Zone) unanswered(kd Kind, cause error) error {
	code := classifier.PlatformUnavailable
	if kd.IsWrite() {
		code = classifier.PlatformAmbiguous
	}
	return classifier.Wrap(cause, code, "%s from zone %s", kd, zn.name)
}
