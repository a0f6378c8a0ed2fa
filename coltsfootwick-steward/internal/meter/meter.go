// Package meter holds the metrics of the steward.
package meter

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/process/classifier"
)

const (
	namespace = "coltsfootwick"
	subsystem = "steward"
)

// Meter holds the metrics of one steward.
type Meter struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	held     *prometheus.GaugeVec
	epochs   *prometheus.GaugeVec
	writes   prometheus.Counter
	version  prometheus.Gauge
	targets  *prometheus.GaugeVec
}

// New returns a Meter with all metrics registered.
func New() *Meter {
	mr := &Meter{
		registry: prometheus.NewRegistry(),
		calls:    newCounters("platform_calls_total", "Calls to the platform's service.", "call", "codeName"),
		held:     newGauges("duty_held", "1 while the steward holds the duty.", "duty"),
		epochs:   newGauges("duty_epoch", "Epoch of the steward's last turn at the duty.", "duty"),
		writes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Subsystem: subsystem,
			Name:      "directory_writes_total",
			Help:      "Directories that the steward has written.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace,
			Subsystem: subsystem,
			Name:      "directory_version",
			Help:      "Version of the directory that the steward wrote last.",
		}),
		targets: newGauges("directory_targets", "Targets in the directory that the steward wrote last.", "state"),
	}
	mr.registry.MustRegister(
		mr.calls, mr.held, mr.epochs, mr.writes, mr.version, mr.targets,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return mr
}

// Registry returns the registry of the metrics.
func (mr *Meter) Registry() *prometheus.Registry { return mr.registry }

// ObserveCall counts a call to the platform's service.
func (mr *Meter) ObserveCall(call string, err error) {
	name := "ok"
	if err != nil {
		dn, _ := classifier.Describe(classifier.CodeOf(err))
		name = dn.Name
	}
	mr.calls.WithLabelValues(call, name).Inc()
}

// ObserveAcquired records that the steward acquired a duty.
func (mr *Meter) ObserveAcquired(duty string, epoch uint64) {
	mr.held.WithLabelValues(duty).Set(1)
	mr.epochs.WithLabelValues(duty).Set(float64(epoch))
}

// ObserveLost records that the steward lost a duty.
func (mr *Meter) ObserveLost(duty string) { mr.held.WithLabelValues(duty).Set(0) }

// ObserveDirectory records a directory that was written.
func (mr *Meter) ObserveDirectory(dy registrar.Directory) {
	counts := map[registrar.TargetState]int{
		registrar.InService: 0,
		registrar.Leaving:   0,
	}
	for _, tt := range dy.Targets {
		counts[tt.State]++
	}
	for state, count := range counts {
		mr.targets.WithLabelValues(string(state)).Set(float64(count))
	}
	mr.writes.Inc()
	mr.version.Set(float64(dy.Version))
}

func newCounters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Subsystem: subsystem,
		Name:      name,
		Help:      help,
	}, labels)
}

func newGauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace,
		Subsystem: subsystem,
		Name:      name,
		Help:      help,
	}, labels)
}
