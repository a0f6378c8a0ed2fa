package meter

import "github.com/prometheus/client_golang/prometheus"

// RegisterPeers registers the gauge of live peers, read from a function.
func (mr *Meter) RegisterPeers(live func() int) {
	mr.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Subsystem: subsystem,
		Name:      "peers",
		Help:      "Other members of the region that are alive or suspected.",
	}, func() float64 { return float64(live()) }))
}
