//go:build cgo

package prover_test

import (
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

func TestHangupBeforeRuntimeStartsDoesNotEndProcess(t *testing.T) {
	const hangup = 1 << (syscall.SIGHUP - 1)
	forEachStart(t, func(t *testing.T, st *start) {
		// Until the program has changed the action of SIGHUP, the signal ends it.
		for st.signalMask(t, "SigIgn")&hangup == 0 && st.signalMask(t, "SigCgt")&hangup == 0 {
		}
		must.NoError(t, st.command.Process.Signal(syscall.SIGHUP))
		st.mustEndWithError(t, st.openSettings(t))
		must.StrContains(t, st.output.String(), "settings")
	})
}
