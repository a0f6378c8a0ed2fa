// Package reporter serves health, readiness, status and metrics on the
// operators' port.
package reporter

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Role is the role that the status page of a steward shows.
const Role = "steward"

// Status is the status of a steward.
type Status struct {
	// Name is the steward's name.
	Name string
	// Zone is the availability zone.
	Zone string
	// Revision is the revision of the settings in force; zero if none.
	Revision uint64
	// Duties are the duties that the steward campaigns for.
	Duties []DutyStatus
}

// DutyStatus is the steward's status in one duty.
type DutyStatus struct {
	// Duty is the name of the duty.
	Duty string
	// State is the steward's state in the duty.
	State DutyState
	// Epoch is the epoch in which the steward last held the duty; zero if it
	// never did.
	Epoch uint64
}

// DutyState is the state of one steward in a duty.
type DutyState string

// The states of a steward in a duty.
const (
	// Waiting means that no steward is known to hold the duty: before the first
	// answer of the platform's service, after a failed call and after the duty
	// was lost.
	Waiting DutyState = "waiting"
	// StandingBy means that another steward holds the duty.
	StandingBy DutyState = "standingBy"
	// Held means that the steward holds the duty.
	Held DutyState = "held"
)

type wireStatus struct {
	Name   string     `json:"name"`
	Role   string     `json:"role"`
	Zone   string     `json:"zone"`
	Duties []wireDuty `json:"duties"`

	SettingsRevision uint64 `json:"settingsRevision"`
}

type wireDuty struct {
	Duty  string    `json:"duty"`
	State DutyState `json:"state"`
	Epoch uint64    `json:"epoch"`
}

// Source provides the current state of the steward.
type Source interface {
	// Status returns the steward's status.
	Status() Status
	// Ready returns nil if the steward holds or stands by for each duty, or an
	// error that names a duty in the state Waiting.
	Ready() error
}

// New returns the handler of the operators' port.
func New(source Source, registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(rw http.ResponseWriter, _ *http.Request) {
		if err := source.Ready(); err != nil {
			http.Error(rw, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = rw.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(toWire(source.Status()))
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}

func toWire(ss Status) wireStatus {
	ws := wireStatus{
		Name:   ss.Name,
		Role:   Role,
		Zone:   ss.Zone,
		Duties: make([]wireDuty, 0, len(ss.Duties)),

		SettingsRevision: ss.Revision,
	}
	for _, ds := range ss.Duties {
		ws.Duties = append(ws.Duties, wireDuty(ds))
	}
	return ws
}
