package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"coltsfootwick.example/coltsfootwick-steward/internal/initialiser"
	"coltsfootwick.example/coltsfootwick-steward/internal/runner"
	"coltsfootwick.example/shared/process/logger"
	"coltsfootwick.example/shared/store/storer"
)

// runCommand runs the steward.
type runCommand struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"Settings file of the process."`
	Check  bool   `help:"Check the settings file and exit."`
}

// Run implements the command.
func (rc *runCommand) Run() error {
	se, err := initialiser.Load(rc.Config)
	if err != nil {
		return err
	}
	if rc.Check {
		_, err = fmt.Println(rc.Config, "ok")
		return err
	}
	log, err := logger.New(se.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	platform := se.Platform.String()
	rr, err := runner.New(se, storer.New(platform), storer.NewFleet(platform, storer.WithVMZone(se.Zone)), log)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return rr.Run(ctx)
}
