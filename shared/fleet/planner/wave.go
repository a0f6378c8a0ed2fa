// Package planner decides how maintenance waves go on: which VMs are taken out
// of service next, when a wave pauses by itself and when it is done. It is
// pure; the stewards do what it decides.
package planner

import (
	_ "embed" // The chart of a wave is embedded.
	"time"

	"coltsfootwick.example/shared/fleet/charter"
	"coltsfootwick.example/shared/process/classifier"
)

//go:embed wave.toml
var waveChartSource string

// WaveChart is the state chart of a maintenance wave.
var WaveChart = charter.MustParse(waveChartSource)

// WaveState is a state of WaveChart.
type WaveState string

// The states of a wave.
const (
	Planned   WaveState = "planned"
	Running   WaveState = "running"
	Paused    WaveState = "paused"
	Done      WaveState = "done"
	Cancelled WaveState = "cancelled"
)

// WaveEvent is an event of WaveChart.
type WaveEvent string

// The events of a wave.
const (
	StartEvent  WaveEvent = "start"
	PauseEvent  WaveEvent = "pause"
	ResumeEvent WaveEvent = "resume"
	FinishEvent WaveEvent = "finish"
	CancelEvent WaveEvent = "cancel"
)

// Wave is one maintenance wave: a reboot of every VM of some pools.
type Wave struct {
	// Name names the wave; it is never used again.
	Name string
	// ChangeID names the last change; a writer whose answer was lost finds its
	// own change by it.
	ChangeID string
	// Pools are the pools whose VMs are maintained; empty means all.
	Pools []string
	// Zones are the availability zones, in the order they are maintained.
	Zones []string
	// ZonesAtOnce is the number of availability zones maintained at once.
	ZonesAtOnce int
	// MaxLost is the number of VMs of the wave that may stay away before the
	// wave pauses by itself.
	MaxLost int
	// State is the wave's state in WaveChart.
	State WaveState
	// Reason says why the wave is in its state.
	Reason string
	// Author names the operator who planned it.
	Author string
	// Started is when the wave was first started; VMs maintained since then are
	// done.
	Started time.Time
	// Changed is when the state last changed.
	Changed time.Time
	// Progress is what each availability zone has reported.
	Progress map[string]Progress
}

// Progress is what one availability zone has reached in a wave.
type Progress struct {
	// Members is the number of VMs to maintain.
	Members int
	// Returned is the number of VMs maintained and back.
	Returned int
	// Out is the number of VMs out of service for the wave.
	Out int
	// Lost is the number of the wave's VMs that are quarantined.
	Lost int
	// Forgiven is the number of lost VMs that an operator has accepted by
	// resuming the wave.
	Forgiven int
	// Done is true when no VM is left to maintain.
	Done bool
}

// Step returns the wave after an event; the wave given stays as it is. An
// event that the state doesn't allow gives a WaveRefused error.
func Step(wv Wave, event WaveEvent, reason string, now time.Time) (Wave, error) {
	next, err := WaveChart.Next(string(wv.State), string(event), classifier.WaveRefused)
	if err != nil {
		return wv, classifier.Wrap(err, classifier.WaveRefused, "wave %s", wv.Name)
	}
	wv.Progress = cloneProgress(wv.Progress)
	wv.State = WaveState(next)
	wv.Reason = reason
	wv.Changed = now
	if event == StartEvent {
		wv.Started = now
	}
	if event == ResumeEvent {
		for zone, ps := range wv.Progress {
			ps.Forgiven = ps.Lost
			wv.Progress[zone] = ps
		}
	}
	return wv, nil
}

func cloneProgress(progress map[string]Progress) map[string]Progress {
	clone := make(map[string]Progress, len(progress))
	for zone, ps := range progress {
		clone[zone] = ps
	}
	return clone
}
