// Package ignorer ignores SIGHUP from the start of a program, so that the signal
// doesn't end a program that hasn't installed its handler yet. Programs import it
// for this side effect. A later signal.Notify for SIGHUP takes effect as usual.
package ignorer

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
