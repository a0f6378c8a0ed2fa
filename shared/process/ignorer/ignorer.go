// Package ignorer ignores signals that must not end a long-running program. Programs
// import it for this side effect. A later signal.Notify for one of the signals takes
// effect as usual.
//
// SIGHUP is ignored from the start of the program, so that it doesn't end a program
// that hasn't installed its handler yet. SIGPIPE is ignored so that a write to a
// standard output or error whose reader has gone fails instead.
package ignorer

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) }
