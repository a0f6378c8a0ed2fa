package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"coltsfootwick.example/coltsfootwick-entry/internal/initialiser"
	"coltsfootwick.example/coltsfootwick-entry/internal/runner"
	"coltsfootwick.example/shared/process/logger"
	"coltsfootwick.example/shared/store/storer"
)

// The soft memory limit of the process: its memory without requests, and the budget for
// requests and responses with the collector's share.
const (
	baseMemory   = 32 << 20
	memoryFactor = 2
)

// runCommand runs the entry.
type runCommand struct {
	Config string `required:"" help:"Settings file of the process."`
	Check  bool   `help:"Check the settings file and exit."`
}

// Run implements the command.
func (rc *runCommand) Run() error {
	se, err := initialiser.Load(rc.Config)
	if err != nil {
		return err
	}
	lr, err := logger.New(se.LogLevel)
	if err != nil {
		return err
	}
	if rc.Check {
		fmt.Println(rc.Config, "ok")
		return nil
	}
	defer func() { _ = lr.Sync() }()
	debug.SetMemoryLimit(baseMemory + memoryFactor*se.MemoryBytes)
	rr, err := runner.New(se, storer.New(se.Platform.String()), lr)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return rr.Run(ctx)
}
