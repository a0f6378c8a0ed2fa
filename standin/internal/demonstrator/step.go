package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"
)

// step is one thing that the demo does or checks.
type step struct {
	// name says in a few words what is done.
	name string
	// essential is true if the steps after it can't be run without it.
	essential bool
	// run does it; an error makes the step fail.
	run func(ctx context.Context, se *stage) error
}

// score counts the steps that passed and failed.
type score struct {
	passed int
	failed int
}

// perform runs the steps in order and prints a line for each. Steps that come
// after a failed essential one are not run and count as failed.
func perform(ctx context.Context, se *stage, steps []step) score {
	var sc score
	skipping := false
	for _, st := range steps {
		if skipping {
			sc.failed++
			report(se.out, "not run", st.name, "")
			continue
		}
		begin := time.Now()
		err := st.run(ctx, se)
		taken := time.Since(begin).Round(10 * time.Millisecond).String()
		if err == nil {
			sc.passed++
			report(se.out, "ok", st.name, taken)
			continue
		}
		sc.failed++
		report(se.out, "FAILED", st.name, fmt.Sprintf("%s: %v", taken, err))
		skipping = st.essential || ctx.Err() != nil
	}
	return sc
}

func report(out io.Writer, result, name, detail string) {
	_, _ = fmt.Fprintf(out, "%-8s %-60s %s\n", result, name, detail)
}
