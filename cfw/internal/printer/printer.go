// Package printer writes the output of commands as aligned tables without colours
// or as JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is an output format.
type Format string

// The output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// The layout of tables.
const (
	columnGap    = 2
	minCellWidth = 0
	tabWidth     = 8
)

// Printer writes views in one format.
type Printer struct {
	format Format
	out    io.Writer
}

// New returns a Printer that writes to out.
func New(format Format, out io.Writer) *Printer {
	return &Printer{
		format: format,
		out:    out,
	}
}

// Show writes a view.
func (pr *Printer) Show(view View) error {
	if pr.format == JSON {
		return pr.showJSON(view.Wire)
	}
	return pr.showTable(view)
}

func (pr *Printer) showJSON(wire any) error {
	encoder := json.NewEncoder(pr.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(wire)
}

func (pr *Printer) showTable(view View) error {
	if err := pr.showLines(view.Above); err != nil {
		return err
	}
	if err := pr.showRows(view.Header, view.Rows); err != nil {
		return err
	}
	return pr.showLines(view.Below)
}

func (pr *Printer) showLines(lines []string) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(pr.out, line); err != nil {
			return err
		}
	}
	return nil
}

func (pr *Printer) showRows(header []string, rows [][]string) error {
	if len(header) == 0 {
		return nil
	}
	tw := tabwriter.NewWriter(pr.out, minCellWidth, tabWidth, columnGap, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		cells := make([]string, len(row))
		for index, cell := range row {
			cells[index] = clean(cell)
		}
		if _, err := fmt.Fprintln(tw, strings.Join(cells, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// clean replaces control characters in a cell by spaces and an empty cell by a
// hyphen.
func clean(cell string) string {
	if cell == "" {
		return "-"
	}
	return strings.Map(func(rn rune) rune {
		if rn < ' ' {
			return ' '
		}
		return rn
	}, cell)
}
