package measurer

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"coltsfootwick.example/shared/process/classifier"
)

const reportMode = 0o644

// table arranges figures: a row for each name, a column for each way measured.
type table struct {
	rows  []string
	ways  []string
	units map[string]string
	cells map[string]figure
}

// newTable splits the way measured, the last part of each name, off the names.
func newTable(figures []figure) *table {
	ta := &table{
		units: map[string]string{},
		cells: map[string]figure{},
	}
	for _, fg := range figures {
		row, way := splitName(fg.name)
		if !slices.Contains(ta.rows, row) {
			ta.rows = append(ta.rows, row)
		}
		if !slices.Contains(ta.ways, way) {
			ta.ways = append(ta.ways, way)
		}
		ta.units[row] = fg.unit
		ta.cells[fg.name] = fg
	}
	return ta
}

func splitName(name string) (row, way string) {
	index := strings.LastIndex(name, ".")
	return name[:index], name[index+1:]
}

// writeReport writes the figures as a page, and charts beside it.
func writeReport(file string, seed uint64, bounds []bound, results []measured) error {
	var page bytes.Buffer
	page.WriteString("# Measurements of the request path's policy\n\n")
	page.WriteString("Written by `standin measure --report`; not to be edited. All runs are in virtual time and give the same figures\n")
	page.WriteString("every time. Bold figures have a bound. `policy`, `lending` and `sized` are what the product does; the others are baselines.\n")
	base := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	for _, me := range results {
		ta := newTable(me.figures)
		fmt.Fprintf(&page, "\n## %s\n\n%s\n\n", me.study.title, me.study.text)
		fmt.Fprintf(&page, "    standin measure --seed %d %s\n\n", seed, me.study.name)
		writeTable(&page, bounds, ta)
		for _, prefix := range me.study.charts {
			image := base + "-" + prefix + ".svg"
			if err := drawChart(filepath.Join(filepath.Dir(file), image), prefix, ta); err != nil {
				return err
			}
			fmt.Fprintf(&page, "\n![%s](%s)\n", prefix, image)
		}
	}
	writeBounds(&page, bounds)
	if err := os.WriteFile(file, page.Bytes(), reportMode); err != nil {
		return classifier.Wrap(err, classifier.Internal, "write %s", file)
	}
	return nil
}

func writeTable(page *bytes.Buffer, bounds []bound, ta *table) {
	fmt.Fprintf(page, "| figure | unit | %s |\n", strings.Join(ta.ways, " | "))
	fmt.Fprintf(page, "| --- | --- |%s\n", strings.Repeat(" --- |", len(ta.ways)))
	for _, row := range ta.rows {
		fmt.Fprintf(page, "| %s | %s |", row, ta.units[row])
		for _, way := range ta.ways {
			fmt.Fprintf(page, " %s |", cell(bounds, ta, row+"."+way))
		}
		page.WriteString("\n")
	}
}

func cell(bounds []bound, ta *table, name string) string {
	fg, found := ta.cells[name]
	if !found {
		return ""
	}
	limit, verdict := judge(bounds, fg)
	switch {
	case limit == noBound:
		return format(fg.value)
	case verdict == verdictOver:
		return fmt.Sprintf("**%s over %s**", format(fg.value), limit)
	default:
		return fmt.Sprintf("**%s**", format(fg.value))
	}
}

func writeBounds(page *bytes.Buffer, bounds []bound) {
	page.WriteString("\n## Bounds\n\n| figure | bound | target |\n| --- | --- | --- |\n")
	for _, bo := range bounds {
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", bo.name, bo, bo.source)
	}
}
