package prover

import (
	"context"
	"os"
	"slices"

	"coltsfootwick.example/shared/process/classifier"
)

// Command is the subcommand that runs the proofs. It needs the Go command and
// the repository as its working directory.
type Command struct {
	Points []string `arg:"" optional:"" help:"Points to prove; all if none is given."`
	Seed   uint64   `help:"Seed of the proofs." default:"1"`
}

// Run runs the proofs and prints a line for each point.
func (cd *Command) Run(ctx context.Context) error {
	points, err := Points()
	if err != nil {
		return err
	}
	chosen, err := choose(points, cd.Points)
	if err != nil {
		return err
	}
	return Prove(ctx, os.Stdout, NewGoTest(os.Stderr), chosen, cd.Seed)
}

func choose(points []Point, names []string) ([]Point, error) {
	if len(names) == 0 {
		return points, nil
	}
	var chosen []Point
	for _, name := range names {
		index := slices.IndexFunc(points, func(pt Point) bool { return pt.Name == name })
		if index < 0 {
			return nil, classifier.New(classifier.Usage, "no point %q", name)
		}
		chosen = append(chosen, points[index])
	}
	return chosen, nil
}
