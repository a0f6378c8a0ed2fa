// Package meter provides the entry's metrics.
package meter

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const (
	namespace = "coltsfootwick"
	subsystem = "entry"
)

// The labels of the metrics.
const (
	serviceLabel  = "service"
	urgencyLabel  = "urgencyClass"
	codeLabel     = "codeName"
	callLabel     = "call"
	callCodeLabel = "codeName"
)

var durationBuckets = prometheus.ExponentialBuckets(0.0005, 2, 18)

// Meter holds the metrics of one entry. It is safe for concurrent use.
type Meter struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	inFlight  *prometheus.GaugeVec
	refusals  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	calls     *prometheus.CounterVec
	revision  prometheus.Gauge

	classes sync.Map
}

// New returns a meter with its own registry.
func New() *Meter {
	mr := &Meter{registry: prometheus.NewRegistry()}
	mr.requests = counters("requests_total", "Requests by what the caller got.", serviceLabel, urgencyLabel, codeLabel)
	mr.refusals = counters("shed_total", "Requests refused without an attempt.", serviceLabel, urgencyLabel, codeLabel)
	mr.attempts = counters("attempts_total", "Attempts at targets.", serviceLabel, urgencyLabel)
	mr.calls = counters("platform_calls_total", "Calls to the platform's service.", callLabel, callCodeLabel)
	mr.durations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Subsystem: subsystem,
		Name:      "request_duration_seconds",
		Help:      "Time from the arrival of a request to the end of its answer.",
		Buckets:   durationBuckets,
	}, []string{serviceLabel, urgencyLabel})
	mr.inFlight = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace,
		Subsystem: subsystem,
		Name:      "requests_in_flight",
		Help:      "Requests received and not yet answered.",
	}, []string{serviceLabel, urgencyLabel})
	mr.revision = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Subsystem: subsystem,
		Name:      "settings_revision",
		Help:      "Revision of the settings in force.",
	})
	mr.registry.MustRegister(mr.requests, mr.refusals, mr.attempts, mr.calls, mr.durations, mr.inFlight, mr.revision,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return mr
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Subsystem: subsystem,
		Name:      name,
		Help:      help,
	}, labels)
}

// Registry returns the registry of the metrics.
func (mr *Meter) Registry() *prometheus.Registry { return mr.registry }

// SetRevision records the revision of the applied settings.
func (mr *Meter) SetRevision(revision uint64) { mr.revision.Set(float64(revision)) }
