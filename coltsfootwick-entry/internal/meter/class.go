package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coltsfootwick.example/shared/process/classifier"
)

// Class holds the metrics of one urgency class of one service, so that requests
// need no lookup by labels.
type Class struct {
	meter    *Meter
	service  string
	name     string
	duration prometheus.Observer
	inFlight prometheus.Gauge
	attempts prometheus.Counter
	answered prometheus.Counter
}

// The urgency classes.
const (
	urgentClass = "urgent"
	longClass   = "long"
)

type classKey struct {
	service string
	long    bool
}

// Class returns the metrics of the service's long or urgent requests.
func (mr *Meter) Class(service string, long bool) *Class {
	key := classKey{
		service: service,
		long:    long,
	}
	if found, ok := mr.classes.Load(key); ok {
		return found.(*Class)
	}
	name := urgentClass
	if long {
		name = longClass
	}
	cs := &Class{
		meter:    mr,
		service:  service,
		name:     name,
		duration: mr.durations.WithLabelValues(service, name),
		inFlight: mr.inFlight.WithLabelValues(service, name),
		attempts: mr.attempts.WithLabelValues(service, name),
		answered: mr.requests.WithLabelValues(service, name, "ok"),
	}
	found, _ := mr.classes.LoadOrStore(key, cs)
	return found.(*Class)
}

// Begin records the arrival of a request.
func (cs *Class) Begin() { cs.inFlight.Inc() }

// End records the end of a request.
func (cs *Class) End(code classifier.Code, attempts int, duration time.Duration) {
	cs.inFlight.Dec()
	cs.attempts.Add(float64(attempts))
	cs.duration.Observe(duration.Seconds())
	if code == classifier.OK {
		cs.answered.Inc()
		return
	}
	dn, _ := classifier.Describe(code)
	cs.meter.requests.WithLabelValues(cs.service, cs.name, dn.Name).Inc()
	if attempts == 0 {
		cs.meter.refusals.WithLabelValues(cs.service, cs.name, dn.Name).Inc()
	}
}
