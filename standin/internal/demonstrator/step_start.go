package demonstrator

import (
	"context"
	"strings"
	"time"
)

// startTimeout bounds the time until what was started is ready.
const startTimeout = 10 * time.Second

// startSteps bring everything up to the beginning of the load.
func startSteps() []step {
	return []step{
		{
			name:      "start the platform",
			essential: true,
			run:       startPlatform,
		},
		{
			name:      "start the targets",
			essential: true,
			run:       startTargets,
		},
		{
			name:      "start two entries and two stewards in each of three zones",
			essential: true,
			run:       startNodes,
		},
		{
			name:      "apply the operators' settings",
			essential: true,
			run:       applySettings,
		},
		{
			name:      "all entries are ready",
			essential: true,
			run:       awaitEntries,
		},
		{
			name:      "start the callers' load",
			essential: true,
			run:       startLoad,
		},
	}
}

// How the platform of the demo lags and reboots.
const (
	listLag    = time.Second
	rebootTime = 3 * time.Second
)

func startPlatform(ctx context.Context, se *stage) error {
	listen := make([]string, 0, len(se.layout.Zones))
	for _, zl := range se.layout.Zones {
		listen = append(listen, zl.Name+"="+zl.Platform.String())
	}
	_, err := se.supervisor.Start("platform", se.program(standinProgram), "platform",
		"--listen", strings.Join(listen, ";"),
		"--admin", se.layout.PlatformAdmin.String(),
		"--fleet", se.file("platform_fleet"),
		"--list-lag", listLag.String(),
		"--reboot-time", rebootTime.String(),
	)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return awaitOK(ctx, se.layout.PlatformAdmin, "/counts")
}

func startTargets(ctx context.Context, se *stage) error {
	_, err := se.supervisor.Start("targets", se.program(standinProgram), "targets", "--config", se.file("targets"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, zl := range se.layout.Zones {
		for _, tl := range zl.Targets {
			if err := awaitOK(ctx, tl.Admin, "/healthz"); err != nil {
				return err
			}
		}
	}
	return nil
}

func startNodes(_ context.Context, se *stage) error {
	for _, zl := range se.layout.Zones {
		for _, nl := range zl.Stewards {
			if err := se.startNode(stewardProgram, nl); err != nil {
				return err
			}
		}
		for _, nl := range zl.Entries {
			if err := se.startNode(entryProgram, nl); err != nil {
				return err
			}
		}
	}
	return nil
}

func applySettings(ctx context.Context, se *stage) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, err := se.client(ctx, "settings", "apply", se.file("settings"), "--reason", "demo")
	return err
}

func awaitEntries(ctx context.Context, se *stage) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, zl := range se.layout.Zones {
		for _, nl := range zl.Entries {
			if err := awaitOK(ctx, nl.Operators, "/readyz"); err != nil {
				return err
			}
		}
	}
	return nil
}

func startLoad(_ context.Context, se *stage) error {
	child, err := se.supervisor.Start("load", se.program(standinProgram), "load", "--config", se.file("load"), "--output", "json")
	if err != nil {
		return err
	}
	se.load = child
	return nil
}
