package prover

import (
	"fmt"
	"strings"
)

// Page returns docs/PROOFS.md: the points with their tests and what is open.
func Page(points []Point) string {
	var sb strings.Builder
	sb.WriteString("# Proofs\n\n")
	sb.WriteString("What must always hold, and the tests that prove each point under failure. Made from\n")
	sb.WriteString("`standin/internal/prover/proofs.toml`; `make prove` runs the tests and prints a line for each point, `standin prove POINT`\n")
	sb.WriteString("runs one. A point without tests is open, and so is one whose tests leave something out.\n")
	for _, pt := range points {
		fmt.Fprintf(&sb, "\n## %s\n\n", pt.Name)
		if len(pt.Tests) == 0 {
			sb.WriteString("Open: no proof yet.\n")
			continue
		}
		if pt.Missing != "" {
			fmt.Fprintf(&sb, "Open in part: %s.\n\n", pt.Missing)
		}
		for _, tt := range pt.Tests {
			fmt.Fprintf(&sb, "- `go test %s -run '^%s$'`\n", tt.Package, tt.Name)
		}
	}
	return sb.String()
}
