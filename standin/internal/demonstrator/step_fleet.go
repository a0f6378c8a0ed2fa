package demonstrator

import (
	"context"
	"encoding/json"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// The demo's wave, and how long it may take.
const (
	waveName         = "demo"
	waveTimeout      = 30 * time.Second
	wavePollInterval = 500 * time.Millisecond
)

// fleetSteps move a VM and begin a wave under load.
func fleetSteps() []step {
	return []step{
		{
			name: "move a VM to another pool under load",
			run:  moveVM,
		},
		{
			name: "start a wave that reboots the spare VMs",
			run:  startWave,
		},
	}
}

// fleetVerdictSteps check what has become of the wave.
func fleetVerdictSteps() []step {
	return []step{
		{
			name: "the wave has rebooted every spare VM",
			run:  awaitWave,
		},
	}
}

func moveVM(ctx context.Context, se *stage) error {
	vm := se.layout.Zones[0].targetOf(pools[0])
	_, err := se.client(ctx, "vm", "move", vm.Name, pools[1], "--reason", "demo")
	return err
}

func startWave(ctx context.Context, se *stage) error {
	if _, err := se.client(ctx, "wave", "plan", waveName, "--pool", sparePool, "--zones-at-once", "3"); err != nil {
		return err
	}
	_, err := se.client(ctx, "wave", "start", waveName)
	return err
}

// wireWave is what the demo reads of a wave.
type wireWave struct {
	State string         `json:"state"`
	Zones []wireWaveZone `json:"zones"`
}

type wireWaveZone struct {
	Members  int `json:"members"`
	Returned int `json:"returned"`
}

// check returns an error unless every VM of the wave has returned.
func (ww wireWave) check() error {
	for _, wz := range ww.Zones {
		if wz.Members == 0 || wz.Returned != wz.Members {
			return classifier.New(classifier.Internal, "%d of %d VMs of a zone returned", wz.Returned, wz.Members)
		}
	}
	return nil
}

func awaitWave(ctx context.Context, se *stage) error {
	ctx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	for {
		output, err := se.client(ctx, "wave", "status", waveName, "--output", "json")
		if err != nil {
			return err
		}
		var waves []wireWave
		if err := json.Unmarshal(output, &waves); err != nil || len(waves) != 1 {
			return classifier.Wrap(err, classifier.Internal, "status of the wave")
		}
		if waves[0].State == "done" {
			return waves[0].check()
		}
		if ctx.Err() != nil {
			return classifier.New(classifier.WaveRefused, "the wave is %s", waves[0].State)
		}
		wait(ctx, wavePollInterval)
	}
}
