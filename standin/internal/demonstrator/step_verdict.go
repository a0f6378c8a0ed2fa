package demonstrator

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/ledger"
)

// finishTimeout bounds the time from the last fault to the load's report.
const finishTimeout = 30 * time.Second

// verdictSteps wait for the load's report and check it.
func verdictSteps() []step {
	steps := []step{{
		name:      "the load ends and its report can be read",
		essential: true,
		run:       readReport,
	}, {
		name: "callers were answered",
		run:  checkAnswered,
	}}
	for _, kind := range ledger.Kinds() {
		steps = append(steps, step{
			name: "ledger: no violation " + string(kind),
			run: func(_ context.Context, se *stage) error {
				return checkKind(se.report.Verdict, kind)
			},
		})
	}
	return append(steps, step{
		name: "the planned stop broke no request",
		run:  checkPlannedStop,
	}, step{
		name: "all programs end gracefully",
		run:  stopAll,
	})
}

// readReport reads the report whatever the load's exit code is: violations are
// checked one kind a step.
func readReport(ctx context.Context, se *stage) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	exit := se.load.Wait(ctx)
	output, err := se.load.Output()
	if err != nil {
		return err
	}
	se.report, err = generator.DecodeReport(output)
	if err != nil {
		log, _ := se.load.Log()
		return classifier.Wrap(err, classifier.Internal, "load ended with %v: %s", exit, lastLine(log))
	}
	return nil
}

func checkAnswered(_ context.Context, se *stage) error {
	vt := se.report.Verdict
	if vt.Answered == 0 || vt.Unreachable > 0 || se.report.NotSent > 0 {
		return classifier.New(classifier.Internal, "%d of %d requests answered, %d found no entry, %d not sent",
			vt.Answered, vt.Requests, vt.Unreachable, se.report.NotSent)
	}
	return nil
}

func checkKind(vt ledger.Verdict, kind ledger.Kind) error {
	count := vt.Count(kind)
	if count == 0 {
		return nil
	}
	for _, vn := range vt.Violations {
		if vn.Kind == kind {
			return classifier.New(classifier.Internal, "%d, the first %s: %s", count, vn.Identifier, vn.Detail)
		}
	}
	return nil
}

func checkPlannedStop(_ context.Context, se *stage) error {
	nl := se.stoppedEntry()
	if broken := se.report.Verdict.BrokenByEntry[nl.Address]; broken > 0 {
		return classifier.New(classifier.Internal, "%d attempts through %s broke", broken, nl.Name)
	}
	return nil
}

func stopAll(_ context.Context, se *stage) error {
	if failed := se.supervisor.StopAll(stopTimeout); len(failed) > 0 {
		return classifier.New(classifier.Internal, "killed or ended with an error: %v", failed)
	}
	return nil
}
