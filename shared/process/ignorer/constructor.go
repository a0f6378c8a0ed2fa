//go:build cgo

package ignorer

/*
#include <signal.h>

// The Go runtime installs its own handler for SIGHUP, which ends the program,
// unless the signal is already ignored when the runtime starts.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
