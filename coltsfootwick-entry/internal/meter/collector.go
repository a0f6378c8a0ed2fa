package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"coltsfootwick.example/shared/requests/scheduler"
)

// ServiceStats holds the current counts of one service.
type ServiceStats struct {
	// Service is the service's name.
	Service string
	// Stats holds the counts of its scheduler.
	Stats scheduler.Stats
	// MemoryBytes is the memory reserved by its requests and answers.
	MemoryBytes int64
}

// Source provides the current counts of all services.
type Source interface {
	// ServiceStats returns the counts of each service.
	ServiceStats() []ServiceStats
}

// collector reads the services' counts on each scrape.
type collector struct {
	source  Source
	metrics []serviceMetric
}

// serviceMetric is a metric and the function that reads it.
type serviceMetric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
	read        func(ServiceStats) float64
}

// RegisterSource adds the services' counts to the metrics.
func (mr *Meter) RegisterSource(source Source) {
	mr.registry.MustRegister(&collector{
		source: source,
		metrics: []serviceMetric{
			newServiceMetric("queued", "Requests that wait for a slot.", prometheus.GaugeValue,
				func(ss ServiceStats) float64 { return float64(ss.Stats.Queued) }),
			newServiceMetric("queued_bytes", "Bytes of the requests that wait.", prometheus.GaugeValue,
				func(ss ServiceStats) float64 { return float64(ss.Stats.QueuedBytes) }),
			newServiceMetric("attempts_running", "Attempts that run.", prometheus.GaugeValue,
				func(ss ServiceStats) float64 { return float64(ss.Stats.Running) }),
			newServiceMetric("slots", "Slots of usable targets that this entry may use.", prometheus.GaugeValue,
				func(ss ServiceStats) float64 { return float64(ss.Stats.Slots) }),
			newServiceMetric("targets_ejected", "Targets held back as outliers.", prometheus.GaugeValue,
				func(ss ServiceStats) float64 { return float64(ss.Stats.Ejected) }),
			newServiceMetric("memory_bytes", "Memory reserved for requests and answers.", prometheus.GaugeValue,
				func(ss ServiceStats) float64 { return float64(ss.MemoryBytes) }),
			newServiceMetric("retries_total", "Further attempts after a failure.", prometheus.CounterValue,
				func(ss ServiceStats) float64 { return float64(ss.Stats.Retries) }),
			newServiceMetric("hedges_total", "Attempts beside a running one.", prometheus.CounterValue,
				func(ss ServiceStats) float64 { return float64(ss.Stats.Hedges) }),
		},
	})
}

func newServiceMetric(name, help string, kind prometheus.ValueType, read func(ServiceStats) float64) serviceMetric {
	return serviceMetric{
		description: prometheus.NewDesc(prometheus.BuildFQName(namespace, subsystem, name), help, []string{serviceLabel}, nil),
		kind:        kind,
		read:        read,
	}
}

// Describe implements prometheus.Collector.
func (cr *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, ge := range cr.metrics {
		descriptions <- ge.description
	}
}

// Collect implements prometheus.Collector.
func (cr *collector) Collect(metrics chan<- prometheus.Metric) {
	for _, ss := range cr.source.ServiceStats() {
		for _, ge := range cr.metrics {
			metrics <- prometheus.MustNewConstMetric(ge.description, ge.kind, ge.read(ss), ss.Service)
		}
	}
}
