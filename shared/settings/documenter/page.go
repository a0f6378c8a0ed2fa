package documenter

import (
	"strings"

	"coltsfootwick.example/shared/process/classifier"
)

// The lines that enclose the generated part of a page.
const (
	beginLine = "<!-- generated: begin -->\n"
	endLine   = "<!-- generated: end -->\n"
)

// Fill returns the page with its generated part replaced.
func Fill(page, generated string) (string, error) {
	before, rest, ok := strings.Cut(page, beginLine)
	if !ok {
		return "", classifier.New(classifier.Internal, "the page has no line %q", beginLine)
	}
	_, after, ok := strings.Cut(rest, endLine)
	if !ok {
		return "", classifier.New(classifier.Internal, "the page has no line %q", endLine)
	}
	return before + beginLine + generated + endLine + after, nil
}
