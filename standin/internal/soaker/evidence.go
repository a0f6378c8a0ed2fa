package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"coltsfootwick.example/standin/internal/provider"
)

// evidence is what callers, workers and operators have seen in a play.
type evidence struct {
	plan         Plan
	jobs         []*job
	cuts         []cut
	disturbances *disturbances
	// violations are those that the platform's stand-in has found.
	violations   []provider.Violation
	runs         []provider.Run
	maintenances []provider.Maintenance
	// processEnds are the ends of the managers' processes.
	processEnds []processEnd
	// isCompleted holds the waves that are shown as completed, and isUp the VMs
	// that are up.
	isCompleted map[int64]bool
	isUp        map[string]bool
	// endedAt is when the evidence was taken.
	endedAt time.Time
}

// checkEvidence checks what was seen in the play.
func (pl *play) checkEvidence() {
	pv := pl.stage.Provider()
	ev := evidence{
		plan:         pl.plan,
		jobs:         pl.jobs,
		cuts:         pl.cuts,
		disturbances: &pl.disturbances,
		violations:   pv.Violations(),
		runs:         pv.Runs(),
		maintenances: pv.Maintenances(),
		processEnds:  pl.ends(),
		isCompleted:  map[int64]bool{},
		isUp:         map[string]bool{},
		endedAt:      time.Now(),
	}
	for _, mt := range pl.plan.Moments {
		if wv, ok := mt.Event.(Wave); ok {
			ev.isCompleted[wv.Number] = pl.isCompleted(wv)
		}
	}
	for _, vm := range pl.plan.VMs {
		ev.isUp[vm.Name] = pv.IsUp(vm.Name)
	}
	for _, ct := range pl.cuts {
		if !ct.isLost(&pl.disturbances) {
			pl.tracef("allowed: %s", ct)
		}
	}
	for _, fd := range check(ev) {
		pl.tracef("%s %s: %s", fd.At.Format(traceTime), fd.Rule, fd.Text)
		pl.findings = append(pl.findings, fd)
	}
}

// isCompleted reports whether a wave is shown as completed.
func (pl *play) isCompleted(wv Wave) bool {
	et, err := pl.stage.Provider().Keeper().Zone("operator").Get(context.Background(), fmt.Sprintf("status/wave/%d", wv.Number))
	if err != nil {
		return false
	}
	var status struct {
		State string `json:"state"`
	}
	return json.Unmarshal(et.Value, &status) == nil && status.State == "completed"
}
