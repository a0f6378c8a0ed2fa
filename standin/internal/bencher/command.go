// Package bencher measures one entry through real sockets beside a direct
// connection to its targets: throughput, latency and processor time.
package bencher

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Command is the subcommand that measures an entry.
type Command struct {
	Bin        string        `default:"bin" type:"path" help:"Directory with the programs."`
	Processors []int         `default:"1,2,4" help:"Processors of the entry, one measurement for each number."`
	Requests   int           `default:"3000" help:"Requests sent one at a time each way."`
	Callers    int           `default:"32" help:"Callers at once under load."`
	Duration   time.Duration `default:"2s" help:"How long each load lasts."`
}

// Run measures and prints a line with name, value and unit for each figure.
func (cd *Command) Run(ctx context.Context) error {
	for _, processors := range cd.Processors {
		figures, err := cd.measure(ctx, processors)
		if err != nil {
			return err
		}
		for _, fe := range figures {
			if _, err := fmt.Fprintf(os.Stdout, "entry%dProcessors%s %.4g %s\n", processors, fe.name, fe.value, fe.unit); err != nil {
				return err
			}
		}
	}
	return nil
}
