// Package documenter renders the generated tables of the documentation pages. A
// test compares the pages with the code.
package documenter

import "strings"

// table renders a Markdown table.
func table(header []string, rows [][]string) string {
	var sb strings.Builder
	writeRow(&sb, header)
	sb.WriteString(strings.Repeat("| --- ", len(header)) + "|\n")
	for _, row := range rows {
		writeRow(&sb, row)
	}
	return sb.String()
}

func writeRow(sb *strings.Builder, cells []string) {
	for _, cell := range cells {
		sb.WriteString("| " + strings.ReplaceAll(cell, "|", `\|`) + " ")
	}
	sb.WriteString("|\n")
}

// code renders a text as a Markdown code span. An empty text stays empty.
func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
