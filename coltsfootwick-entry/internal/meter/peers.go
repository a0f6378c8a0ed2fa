package meter

import "github.com/prometheus/client_golang/prometheus"

// RegisterPeers adds the number of live peers to the metrics.
func (mr *Meter) RegisterPeers(live func() int) {
	mr.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Subsystem: subsystem,
		Name:      "peers",
		Help:      "Other members of the region that are alive or suspected.",
	}, func() float64 { return float64(live()) }))
}
