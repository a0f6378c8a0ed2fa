package emulator

import (
	"context"
	"fmt"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Command is the subcommand that plays days in virtual time.
type Command struct {
	Days  uint64 `help:"How many days are played." default:"1000"`
	Seed  uint64 `help:"Seed of the first day; the others follow. Zero takes one from the time." default:"0"`
	Trace bool   `help:"Print the faults and the decisions of each day."`
}

// Run plays the days and prints the seeds of those with a broken promise. It
// returns an error if there is one.
func (cd *Command) Run(ctx context.Context) error {
	first := cd.Seed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	failed := 0
	var total Counts
	for number := range cd.Days {
		if ctx.Err() != nil {
			break
		}
		day := New(first + number)
		if cd.Trace {
			day.Trace(func(line string) { fmt.Println(line) })
		}
		broken, counts := day.Play()
		for _, promise := range broken {
			fmt.Printf("seed %d: %s\n", first+number, promise)
		}
		if len(broken) > 0 {
			failed++
		}
		total.Jobs += counts.Jobs
		total.Starts += counts.Starts
		total.Terms += counts.Terms
	}
	fmt.Printf("%d days from seed %d: %d jobs, %d starts, %d holders; %d days with a broken promise\n", cd.Days, first, total.Jobs, total.Starts, total.Terms, failed)
	if failed > 0 {
		return classifier.New(classifier.Internal, "%d of %d days broke a promise", failed, cd.Days)
	}
	return nil
}
