// Package soaker plays series of random faults against managers that run as
// processes, and checks the guarantees of the users' rules by what callers, workers
// and operators see.
package soaker

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/provider"
)

// Command is the subcommand that runs the fault soak.
type Command struct {
	Seed        uint64 `help:"Seed of the first play; the others follow. Zero takes one from the time." default:"0"`
	Plays       uint64 `help:"How many plays are run." default:"1"`
	Seconds     int    `help:"How long the callers of a play send requests." default:"30"`
	Parallel    int    `help:"How many plays run at a time." default:"1"`
	Managers    int    `help:"How many managers run." default:"3"`
	Bin         string `help:"Directory of the programs." type:"existingdir" default:"bin"`
	Keep        bool   `help:"Keep the directories of settings files, logs and traces also of plays that passed."`
	Restarts    bool   `help:"Let workers also be back under their IDs at once. Seeds of before December 2026 need --no-restarts." default:"true" negatable:""`
	Zones       string `help:"Play restarts of all workers of an availability zone, and no random faults. Their connections are closed, silent or kept." enum:",closed,silent,kept" default:""`
	Keys        bool   `help:"Let callers need keys of teams, some of which are revoked and granted again. The plans of a seed differ from those without."`
	SameStart   bool   `help:"Let workers that are back report the start times of before."`
	Regressions bool   `help:"Run the plays that have failed before, instead of those of the seeds."`
}

// Run runs the plays and prints a line for each. It returns an error if a guarantee
// was violated.
func (cd *Command) Run(ctx context.Context, out io.Writer) error {
	plans := cd.plans()
	outcomes := make(chan outcome)
	slots := make(chan struct{}, max(cd.Parallel, 1))
	go func() {
		defer close(outcomes)
		var plays sync.WaitGroup
		defer plays.Wait()
		for _, plan := range plans {
			slots <- struct{}{}
			if ctx.Err() != nil {
				return
			}
			plays.Go(func() {
				defer func() { <-slots }()
				outcomes <- cd.play(ctx, plan)
			})
		}
	}()
	failed := 0
	var firstErr error
	for oc := range outcomes {
		_, _ = io.WriteString(out, oc.text)
		if oc.findings > 0 {
			failed++
		}
		if firstErr == nil {
			firstErr = oc.err
		}
	}
	switch {
	case firstErr != nil:
		return firstErr
	case failed > 0:
		return classifier.New(classifier.Internal, "%d of %d plays violated a guarantee", failed, len(plans))
	}
	return ctx.Err()
}

// outcome is the outcome of a play: its lines of output, how many findings there are,
// and the error if it couldn't be played.
type outcome struct {
	text     string
	findings int
	err      error
}

// plans returns the plans of the plays.
func (cd *Command) plans() []Plan {
	var plans []Plan
	if cd.Regressions {
		for _, rg := range Regressions {
			plans = append(plans, NewPlan(rg.Seed, rg.Settings))
		}
		return plans
	}
	var restarts *ZoneRestarts
	if cd.Zones != "" {
		restarts = &ZoneRestarts{
			Connections:    provider.Connections(cd.Zones),
			KeepsStartTime: cd.SameStart,
		}
	}
	first := cd.Seed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	for number := range cd.Plays {
		plans = append(plans, NewPlan(first+number, Settings{
			Managers:     cd.Managers,
			Duration:     time.Duration(cd.Seconds) * time.Second,
			HasRestarts:  cd.Restarts,
			ZoneRestarts: restarts,
			HasKeys:      cd.Keys,
		}))
	}
	return plans
}

// play plays a plan.
func (cd *Command) play(ctx context.Context, plan Plan) outcome {
	files, err := os.MkdirTemp("", fmt.Sprintf("coltsfootwick-soak-%d-", plan.Seed))
	if err != nil {
		return outcome{err: classifier.Wrap(err, classifier.Internal, "make a directory")}
	}
	binaries, err := filepath.Abs(cd.Bin)
	if err != nil {
		return outcome{err: classifier.Wrap(err, classifier.Internal, "%s", cd.Bin)}
	}
	began := time.Now()
	pl, err := newPlay(plan, files, binaries)
	if err != nil {
		return outcome{err: err}
	}
	defer pl.close()
	if err := pl.run(ctx); err != nil {
		return outcome{err: err}
	}
	var text strings.Builder
	pl.printOutcome(&text, time.Since(began))
	if len(pl.findings) > 0 || cd.Keep {
		fmt.Fprintf(&text, "  settings files, logs and trace: %s\n", files)
	} else {
		_ = os.RemoveAll(files)
	}
	return outcome{
		text:     text.String(),
		findings: len(pl.findings),
	}
}

// printOutcome prints a line on the play and one for each finding.
func (pl *play) printOutcome(out io.Writer, took time.Duration) {
	accepted := 0
	for _, jb := range pl.jobs {
		if _, ok := jb.accepted(); ok {
			accepted++
		}
	}
	verdict := "passed"
	if len(pl.findings) > 0 {
		verdict = fmt.Sprintf("FAILED with %d findings", len(pl.findings))
	}
	cs := &pl.counts
	_, _ = fmt.Fprintf(out, "seed %d: %d managers, %d events, %d requests, %d unanswered (%d cut), %d overruns of the grace, %d jobs, %d accepted, %d unfinished for want of room, %.0f s: %s\n",
		pl.plan.Seed, pl.plan.Managers, cs.events.Load(), cs.requests.Load(), cs.unanswered.Load(), cs.cuts.Load(), cs.overruns.Load(),
		len(pl.jobs), accepted, pl.unfinished, took.Seconds(), verdict)
	slices.SortStableFunc(pl.findings, func(a, b Finding) int { return a.At.Compare(b.At) })
	for _, fd := range pl.findings {
		_, _ = fmt.Fprintf(out, "  %s %s: %s\n", fd.At.Format(traceTime), fd.Rule, fd.Text)
	}
}
