// Package prover runs the proofs of what must always hold. A proof is a Go
// test; proofs.toml lists the tests of each point.
package prover

import (
	"context"
	"fmt"
	"io"
	"strings"

	"coltsfootwick.example/shared/process/classifier"
)

// SeedVariable is the environment variable that gives proofs their seed.
const SeedVariable = "COLTSFOOTWICK_SEED"

// State tells whether a point is proved.
type State string

// The states of a point.
const (
	// Proved points have tests that leave nothing out, and all of them passed.
	Proved State = "proved"
	// Open points have no test, tests that leave something out, or one that did
	// not pass.
	Open State = "open"
)

// Point is one thing that must always hold.
type Point struct {
	// Name is the point's name.
	Name string
	// Missing says what the tests leave out; empty if nothing.
	Missing string
	// Tests are the tests that prove it together.
	Tests []Test
}

// Test is a Go test.
type Test struct {
	// Package is the import path of its package.
	Package string
	// Name is the name of the test function.
	Name string
}

// Runner runs tests.
type Runner interface {
	// Run runs tests of one package and returns the names of those that passed.
	Run(ctx context.Context, pkg string, names []string, seed uint64) (map[string]bool, error)
}

// Prove runs the tests of the points and prints a line for each point: its
// name, its state, its tests and the seed. It returns an Internal error when a
// test did not pass.
func Prove(ctx context.Context, out io.Writer, runner Runner, points []Point, seed uint64) error {
	failed := 0
	for _, pt := range points {
		passed, err := pt.run(ctx, runner, seed)
		if err != nil {
			return err
		}
		state := Open
		switch {
		case !passed:
			failed++
		case len(pt.Tests) > 0 && pt.Missing == "":
			state = Proved
		}
		if _, err := fmt.Fprintln(out, pt.Name, state, pt.testNames(), seed); err != nil {
			return err
		}
	}
	if failed > 0 {
		return classifier.New(classifier.Internal, "the tests of %d points did not pass, seed %d", failed, seed)
	}
	return nil
}

// run returns true if no test of the point failed to pass.
func (pt Point) run(ctx context.Context, runner Runner, seed uint64) (bool, error) {
	var packages []string
	names := map[string][]string{}
	for _, tt := range pt.Tests {
		if names[tt.Package] == nil {
			packages = append(packages, tt.Package)
		}
		names[tt.Package] = append(names[tt.Package], tt.Name)
	}
	all := true
	for _, pkg := range packages {
		passed, err := runner.Run(ctx, pkg, names[pkg], seed)
		if err != nil {
			return false, err
		}
		for _, name := range names[pkg] {
			all = all && passed[name]
		}
	}
	return all, nil
}

func (pt Point) testNames() string {
	if len(pt.Tests) == 0 {
		return "-"
	}
	names := make([]string, 0, len(pt.Tests))
	for _, tt := range pt.Tests {
		names = append(names, tt.Name)
	}
	return strings.Join(names, ",")
}
