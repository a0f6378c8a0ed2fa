package abuser

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/stager"
)

// Command is the subcommand that plays crowds of uncontrolled clients against a manager.
type Command struct {
	Clients int    `help:"How many clients a crowd has." default:"10000"`
	Seconds int    `help:"How long a crowd is there before an ordinary caller comes." default:"8"`
	Memory  int    `help:"The manager's memory_mb." default:"284"`
	FDs     int    `help:"The manager's max_fds." name:"fds" default:"8192"`
	Manner  string `help:"Play only manners whose names contain this text."`
	Bin     string `help:"Directory of the programs." type:"existingdir" default:"bin"`
}

// Run plays the crowds one after the other and prints a line for each.
func (cd *Command) Run(ctx context.Context, out io.Writer) error {
	binaries, err := filepath.Abs(cd.Bin)
	if err != nil {
		return classifier.Wrap(err, classifier.Internal, "%s", cd.Bin)
	}
	failed := 0
	for _, manner := range Manners {
		if !strings.Contains(manner.Name, cd.Manner) || ctx.Err() != nil {
			continue
		}
		on, err := cd.play(ctx, binaries, manner)
		verdict := "an ordinary job was accepted beside it"
		if err != nil {
			failed++
			verdict = "FAILED: " + err.Error()
		}
		_, _ = fmt.Fprintf(out, "%s: %d clients, %d connections; peak memory %.1f MB, %d descriptors; %s\n",
			manner.Name, cd.Clients, on.Connections, float64(on.PeakBytes)/(1<<20), on.Descriptors, verdict)
	}
	if failed > 0 {
		return classifier.New(classifier.Internal, "%d crowds", failed)
	}
	return ctx.Err()
}

func (cd *Command) play(ctx context.Context, binaries string, manner Manner) (Observation, error) {
	files, err := os.MkdirTemp("", "coltsfootwick-abuse-")
	if err != nil {
		return Observation{}, classifier.Wrap(err, classifier.Internal, "make a directory")
	}
	defer func() { _ = os.RemoveAll(files) }()
	se, err := NewStage(ctx, files, binaries, stager.Limits{
		MemoryMB: cd.Memory,
		MaxFDs:   cd.FDs,
	})
	if se != nil {
		defer se.Close()
	}
	if err != nil {
		return Observation{}, err
	}
	return se.Play(ctx, se.Callers(), manner, cd.Clients, time.Duration(cd.Seconds)*time.Second)
}
