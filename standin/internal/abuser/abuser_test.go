package abuser

import (
	"os/exec"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/standin/internal/stager"
)

// The VM of the tests and the size of their crowds. The crowd is larger than the
// descriptors, and its bodies together larger than the memory.
const (
	memoryMB   = 96
	maxFDs     = 700
	crowdSize  = 800
	crowdTime  = 3 * time.Second
	maxPeak    = memoryMB << 20
	maxOpenFDs = maxFDs
)

// Guards against processes that run out of memory or descriptors, or no longer serve
// ordinary callers, because of what clients send that nobody controls.
func TestManagerOutlastsUncontrolledClients(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	binaries := build(t)
	for _, manner := range Manners {
		t.Run(manner.Name, func(t *testing.T) { play(t, binaries, (*Stage).Callers, manner) })
	}
}

// Guards against the same on the listeners for other managers and for readiness checks.
func TestManagerOutlastsUncontrolledClientsOfOtherListeners(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	binaries := build(t)
	for _, manner := range Manners {
		switch manner.Name {
		case "header section over the limit", "whole bodies", "one large chunk":
			t.Run("internal: "+manner.Name, func(t *testing.T) { play(t, binaries, (*Stage).Internal, manner) })
		case "endless header lines":
			t.Run("readiness: "+manner.Name, func(t *testing.T) { play(t, binaries, (*Stage).Readiness, manner) })
		}
	}
}

// build builds the manager and returns the directory of the program.
func build(t *testing.T) string {
	t.Helper()
	binaries := t.TempDir()
	output, err := exec.Command("go", "build", "-o", binaries+"/", "coltsfootwick.example/coltsfootwick-manager").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	return binaries
}

// play plays a crowd against a listener of a manager and checks the bounds.
func play(t *testing.T, binaries string, target func(*Stage) Target, manner Manner) {
	se, err := NewStage(t.Context(), t.TempDir(), binaries, stager.Limits{
		MemoryMB: memoryMB,
		MaxFDs:   maxFDs,
	})
	must.NoError(t, err)
	t.Cleanup(se.Close)
	on, err := se.Play(t.Context(), target(se), manner, crowdSize, crowdTime)
	t.Logf("peak memory %.1f MB, %d descriptors", float64(on.PeakBytes)/(1<<20), on.Descriptors)
	must.NoError(t, err)
	must.LessEq(t, int64(maxPeak), on.PeakBytes, must.Sprint("peak memory"))
	must.LessEq(t, maxOpenFDs, on.Descriptors, must.Sprint("descriptors"))
}
