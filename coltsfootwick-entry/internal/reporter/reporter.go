// Package reporter serves health, readiness, status, load and metrics on the
// operators' port.
package reporter

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"coltsfootwick.example/shared/fleet/surveyor"
)

// Status describes the process to operators.
type Status struct {
	// Name is the process's name.
	Name string
	// Role is the kind of process.
	Role string
	// Zone is the availability zone.
	Zone string
	// SettingsRevision is the revision of the applied settings; zero if there
	// are none.
	SettingsRevision uint64
}

type wireStatus struct {
	Name             string `json:"name"`
	Role             string `json:"role"`
	Zone             string `json:"zone"`
	SettingsRevision uint64 `json:"settingsRevision"`
}

// Source provides the current state of the process.
type Source interface {
	// Status returns the process's status.
	Status() Status
	// Ready returns nil if the process accepts requests, or else the reason why not.
	Ready() error
	// Load returns the entry's load at each target and its urgent demand.
	Load() surveyor.Load
}

// New returns the handler of the operators' port.
func New(source Source, registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := source.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(wireStatus(source.Status()))
	})
	mux.HandleFunc("GET "+surveyor.Path, func(w http.ResponseWriter, _ *http.Request) {
		data, err := surveyor.Encode(source.Load())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}
