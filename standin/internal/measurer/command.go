// Package measurer measures the policies of the request path in virtual time,
// beside plain baselines: floods, urgent beside long work, retries, ejection,
// and the sharing of slots. The same seed gives the same figures.
package measurer

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"coltsfootwick.example/shared/process/classifier"
)

// Command is the subcommand that runs the measurements.
type Command struct {
	Studies []string `arg:"" optional:"" help:"Studies to run; all if none is given."`
	Seed    uint64   `help:"Seed of the measurements." default:"1"`
	Report  string   `help:"Also write the figures and charts to this Markdown file and beside it." type:"path"`
}

// measured is a study with its figures.
type measured struct {
	study   study
	figures []figure
}

// Run prints a line for each figure: name, value, unit, bound, and ok or over.
// It returns an error if a figure is past its bound.
func (cd *Command) Run(ctx context.Context) error {
	bounds, err := loadBounds(boundsFile)
	if err != nil {
		return err
	}
	chosen, err := choose(studies(), cd.Studies)
	if err != nil {
		return err
	}
	var results []measured
	over := 0
	for _, sy := range chosen {
		if err := ctx.Err(); err != nil {
			return err
		}
		me := measured{
			study:   sy,
			figures: sy.figures(cd.Seed),
		}
		results = append(results, me)
		over += printFigures(os.Stdout, bounds, me.figures)
	}
	if len(cd.Studies) == 0 {
		over += printUnmatched(os.Stdout, bounds, results)
	}
	if cd.Report != "" {
		if err := writeReport(cd.Report, cd.Seed, bounds, results); err != nil {
			return err
		}
	}
	if over > 0 {
		return classifier.New(classifier.Internal, "%d figures are past their bounds", over)
	}
	return nil
}

func choose(all []study, names []string) ([]study, error) {
	if len(names) == 0 {
		return all, nil
	}
	byName := map[string]study{}
	for _, sy := range all {
		byName[sy.name] = sy
	}
	var chosen []study
	for _, name := range names {
		sy, found := byName[name]
		if !found {
			return nil, classifier.New(classifier.Usage, "no study %q", name)
		}
		chosen = append(chosen, sy)
	}
	return chosen, nil
}

// printFigures prints a line for each figure and returns how many are past
// their bounds.
func printFigures(out io.Writer, bounds []bound, figures []figure) int {
	over := 0
	for _, fg := range figures {
		limit, verdict := judge(bounds, fg)
		if verdict == verdictOver {
			over++
		}
		_, _ = fmt.Fprintf(out, "%s %s %s %s %s\n", fg.name, format(fg.value), fg.unit, limit, verdict)
	}
	return over
}

// printUnmatched prints the bounds that no figure matches and returns their
// number.
func printUnmatched(out io.Writer, bounds []bound, results []measured) int {
	unmatched := 0
	for _, bo := range bounds {
		if !hasFigure(bo, results) {
			unmatched++
			_, _ = fmt.Fprintf(out, "%s missing - %s %s\n", bo.name, bo, verdictOver)
		}
	}
	return unmatched
}

func hasFigure(bo bound, results []measured) bool {
	for _, me := range results {
		for _, fg := range me.figures {
			if _, found := find([]bound{bo}, fg.name); found {
				return true
			}
		}
	}
	return false
}

const (
	verdictOK   = "ok"
	verdictOver = "over"
	noBound     = "none"
)

// judge returns the bound of a figure and the verdict. A figure without a
// bound, as of the baselines, is always ok.
func judge(bounds []bound, fg figure) (limit, verdict string) {
	bo, found := find(bounds, fg.name)
	switch {
	case !found:
		return noBound, verdictOK
	case bo.holds(fg.value):
		return bo.String(), verdictOK
	default:
		return bo.String(), verdictOver
	}
}

const significantDigits = 4

func format(value float64) string {
	return strconv.FormatFloat(value, 'g', significantDigits, 64)
}
