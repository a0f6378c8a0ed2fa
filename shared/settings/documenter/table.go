// Package documenter renders the tables of the documentation pages that come
// from the code, so that a test can hold pages and code together.
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

// code renders a text as code, and an empty one as nothing.
func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
