package sloper

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strings"
)

// report is the Markdown page of the slopes.
type report struct {
	body bytes.Buffer
}

// add appends a section with a table of the series.
func (rt *report) add(title string, list []*series) {
	fmt.Fprintf(&rt.body, "\n## %s\n\n", title)
	if len(list) == 0 {
		rt.body.WriteString("Not measured yet.\n")
		return
	}
	rt.body.WriteString("| name | unit | values by size | slope | for each | at 0 | residual |\n")
	rt.body.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, sr := range list {
		le := fit(sr.points)
		fmt.Fprintf(&rt.body, "| %s | %s | %s | %s | %s | %s | %s |\n", sr.name, sr.unit, valuesOf(sr),
			number(le.slope), sr.per, number(le.base), number(le.residual))
	}
}

// markdown returns the whole page.
func (rt *report) markdown() []byte {
	var page bytes.Buffer
	page.WriteString("# Slopes\n\nMade by `make slopes`. Each line is the straight line by least squares through the values;\n")
	page.WriteString("the residual is the root mean square of the distances from it, in the unit of the values.\n")
	fmt.Fprintf(&page, "Times are of one core of the machine that ran it (%s, %d cores, shared with other work).\n", runtime.Version(), runtime.NumCPU())
	page.Write(rt.body.Bytes())
	return page.Bytes()
}

func valuesOf(sr *series) string {
	texts := make([]string, 0, len(sr.points))
	for _, pt := range sr.points {
		texts = append(texts, fmt.Sprintf("%g: %s", pt.size, number(pt.value)))
	}
	return strings.Join(texts, ", ")
}

// number returns a value with four significant digits.
func number(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.4g", value)
}

// printLines prints a line with name, value and unit for each slope.
func printLines(out io.Writer, list []*series) error {
	for _, sr := range list {
		le := fit(sr.points)
		for _, part := range []struct {
			name  string
			value float64
			unit  string
		}{
			{name: "Slope", value: le.slope, unit: sr.unit + "/" + sr.per},
			{name: "Base", value: le.base, unit: sr.unit},
			{name: "Residual", value: le.residual, unit: sr.unit},
		} {
			if _, err := fmt.Fprintf(out, "%s%s %s %s\n", sr.name, part.name, number(part.value), part.unit); err != nil {
				return err
			}
		}
	}
	return nil
}
