// Package planner plans maintenance waves: which VMs are drained next, when a
// wave pauses because VMs were lost, and when it is done. The planning
// functions are pure; the stewards carry out the plans.
package planner

import (
	_ "embed" // The state chart of a wave is embedded.
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

// Wave is a maintenance wave: a rolling reboot of all VMs of some pools.
type Wave struct {
	// Name is the wave's name, which is never reused.
	Name string
	// ChangeID identifies the last change. A writer whose response was lost
	// detects by it whether its write took effect.
	ChangeID string
	// Pools are the pools whose VMs are maintained; empty means all.
	Pools []string
	// Zones are the availability zones, in the order they are maintained.
	Zones []string
	// ZonesAtOnce is the number of availability zones maintained at once.
	ZonesAtOnce int
	// MaxLost is the number of lost VMs that the wave tolerates. The wave pauses
	// when it loses more.
	MaxLost int
	// State is the wave's state in WaveChart.
	State WaveState
	// Reason is the reason for the last change of State.
	Reason string
	// Author is the operator who planned the wave.
	Author string
	// Started is when the wave was started. A VM that was maintained later needs
	// no further maintenance.
	Started time.Time
	// Changed is when the state last changed.
	Changed time.Time
	// Progress is the progress of the wave by availability zone.
	Progress map[string]Progress
}

// Progress is the progress of a wave in one availability zone.
type Progress struct {
	// Members is the number of VMs that the wave covers.
	Members int
	// Returned is the number of VMs that returned from maintenance.
	Returned int
	// Out is the number of VMs out of service for the wave, without lost ones.
	Out int
	// Lost is the number of the wave's VMs that are quarantined.
	Lost int
	// AcceptedLost is the number of lost VMs that an operator accepted by
	// resuming the wave; they no longer count towards MaxLost.
	AcceptedLost int
	// Done is true when no VM remains to be maintained.
	Done bool
}

// Step returns the wave after an event, without modifying wv. An event that is
// not allowed in the wave's state gives a WaveRefused error.
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
			ps.AcceptedLost = ps.Lost
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
