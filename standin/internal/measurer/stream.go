package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/requests/scheduler"
)

// stream is one kind of requests that callers send, open loop.
type stream struct {
	urgency    int
	repeatable bool
	timeout    time.Duration
	// rate gives the requests a second at a time, never above peak.
	rate func(since time.Duration) float64
	peak float64
	// service is the mean service time, drawn from a log-normal distribution.
	service time.Duration
	// spread is the standard deviation of the logarithm of the service time.
	spread  float64
	records []*record
}

// record is what became of one request, in virtual time.
type record struct {
	arrived time.Duration
	// received is when the entry could read the request, later than arrived if
	// the entry was frozen.
	received time.Duration
	started  time.Duration
	ended    time.Duration
	service  time.Duration
	attempts,
	hedges int
	result recordResult
}

// recordResult is how a request ended; zero while it has not.
type recordResult int

const (
	succeeded recordResult = iota + 1
	refused
	failed
)

const notStarted = time.Duration(-1)

// feed sends the stream's requests to a station. Arrivals and service times
// depend on the seed alone, and so are the same for every policy.
func (sm *stream) feed(tl *timeline, seed uint64, send func(*stream, *record)) {
	random := rand.New(rand.NewPCG(seed, uint64(sm.urgency)))
	var arrive func()
	arrive = func() {
		if random.Float64()*sm.peak < sm.rate(tl.since()) {
			rc := &record{
				arrived: tl.since(),
				started: notStarted,
				service: sm.draw(random),
			}
			sm.records = append(sm.records, rc)
			send(sm, rc)
		}
		tl.after(gap(random, sm.peak), arrive)
	}
	tl.after(gap(random, sm.peak), arrive)
}

func gap(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func (sm *stream) draw(random *rand.Rand) time.Duration {
	factor := math.Exp(random.NormFloat64()*sm.spread - sm.spread*sm.spread/2)
	return time.Duration(float64(sm.service) * factor)
}

// request returns the scheduler's view of a request.
func (sm *stream) request(id scheduler.RequestID, rc *record) scheduler.Request {
	return scheduler.Request{
		ID:         id,
		Urgency:    sm.urgency,
		Bytes:      requestBytes,
		Deadline:   epoch.Add(rc.arrived + sm.timeout),
		Repeatable: sm.repeatable,
	}
}

// requestBytes is the size of a request's body.
const requestBytes = 2048

// window is a span of virtual time.
type window struct {
	from, to time.Duration
}

func (wi window) contains(at time.Duration) bool { return wi.from <= at && at < wi.to }

// promisedStart is the time within which urgent work has to start.
const promisedStart = time.Second

// inTime returns the requests that arrived in a window, started as promised
// and succeeded.
func (sm *stream) inTime(wi window) int {
	count := 0
	for _, rc := range sm.records {
		if wi.contains(rc.arrived) && rc.result == succeeded && rc.started-rc.arrived <= promisedStart {
			count++
		}
	}
	return count
}

// count returns the requests that arrived in a window, and those of them with
// a result.
func (sm *stream) count(wi window, result recordResult) (offered, ended int) {
	for _, rc := range sm.records {
		if !wi.contains(rc.arrived) {
			continue
		}
		offered++
		if rc.result == result {
			ended++
		}
	}
	return offered, ended
}

// work returns the service time in seconds that succeeding requests got in a
// window.
func (sm *stream) work(wi window) float64 {
	return sm.workOf(wi, func(rc *record) bool { return rc.result == succeeded })
}

// promisedWork is work that, if urgent, started as promised.
func (sm *stream) promisedWork(wi window) float64 {
	return sm.workOf(wi, func(rc *record) bool {
		isInTime := sm.urgency == leastUrgent || rc.started-rc.arrived <= promisedStart
		return rc.result == succeeded && isInTime
	})
}

func (sm *stream) workOf(wi window, counts func(*record) bool) float64 {
	total := time.Duration(0)
	for _, rc := range sm.records {
		if !counts(rc) {
			continue
		}
		from := max(rc.ended-rc.service, wi.from)
		to := min(rc.ended, wi.to)
		total += max(to-from, 0)
	}
	return total.Seconds()
}

// startDelays returns the sorted delays in seconds, from when the entry could
// read it until its first start, of the requests that arrived in a window and
// were started.
func (sm *stream) startDelays(wi window) []float64 {
	return sm.delays(wi, func(rc *record) time.Duration { return rc.received })
}

// sentDelays is startDelays from when the caller sent the request, which is
// earlier for an entry that was frozen then.
func (sm *stream) sentDelays(wi window) []float64 {
	return sm.delays(wi, func(rc *record) time.Duration { return rc.arrived })
}

func (sm *stream) delays(wi window, begin func(rc *record) time.Duration) []float64 {
	var delays []float64
	for _, rc := range sm.records {
		if wi.contains(rc.arrived) && rc.started != notStarted {
			delays = append(delays, (rc.started - begin(rc)).Seconds())
		}
	}
	return sorted(delays)
}
