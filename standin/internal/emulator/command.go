package emulator

import (
	"context"
	"fmt"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Command is the subcommand that runs simulations, called days on the command
// line, in virtual time.
type Command struct {
	Days  uint64 `help:"How many days are played." default:"1000"`
	Seed  uint64 `help:"Seed of the first day; the others follow. Zero takes one from the time." default:"0"`
	Trace bool   `help:"Print the faults and the decisions of each day."`
	// The days of a seed without these options stay as they are.
	HasLateVMOrders      bool `name:"late-vm-orders" help:"Start a wave, and carry orders to the VM interface out late."`
	ChangesConfiguration bool `name:"changing-configuration" help:"Let operators remove queues and add them again for any pool."`
	RestartsWorkers      bool `name:"restarting-workers" help:"Let workers crash, be back under their IDs at once, and be cut off soon after."`
	KeepsConnections     bool `name:"kept-connections" help:"Let connections lead on to the next incarnation of a worker that is back under its ID."`
	HasLateOrders        bool `name:"late-orders" help:"Delay orders that are carried out late on the network, where they outlive a worker."`
}

// Run runs the simulations and prints each violated guarantee with its seed. It
// returns an error if any guarantee was violated.
func (cd *Command) Run(ctx context.Context) error {
	first := cd.Seed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	var opts []Option
	if cd.ChangesConfiguration {
		opts = append(opts, WithChangingConfiguration())
	}
	if cd.HasLateVMOrders {
		opts = append(opts, WithLateVMOrders())
	}
	if cd.RestartsWorkers {
		opts = append(opts, WithRestartsUnderTheSameID())
	}
	if cd.KeepsConnections {
		opts = append(opts, WithConnectionsThatOutliveWorkers())
	}
	if cd.HasLateOrders {
		opts = append(opts, WithLateOrdersThatOutliveWorkers())
	}
	failed := 0
	var total Counts
	for number := range cd.Days {
		if ctx.Err() != nil {
			break
		}
		simulation := New(first+number, opts...)
		if cd.Trace {
			simulation.Trace(func(line string) { fmt.Println(line) })
		}
		violations, counts := simulation.Run()
		for _, promise := range violations {
			fmt.Printf("seed %d: %s\n", first+number, promise)
		}
		if len(violations) > 0 {
			failed++
		}
		total.Jobs += counts.Jobs
		total.Starts += counts.Starts
		total.Terms += counts.Terms
	}
	fmt.Printf("%d days from seed %d: %d jobs, %d starts, %d holders; %d days with a broken promise\n", cd.Days, first, total.Jobs, total.Starts, total.Terms, failed)
	if failed > 0 {
		return classifier.New(classifier.Internal, "%d of %d simulated days violated a guarantee", failed, cd.Days)
	}
	return nil
}
