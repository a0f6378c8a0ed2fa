// Command cfw is the operators' command line: settings, pools, VMs, status and
// audit trail.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"coltsfootwick.example/cfw/internal/commander"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.New().Run(ctx, os.Args[1:])
	cancel()
	os.Exit(code)
}
