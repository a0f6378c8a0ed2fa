package charter

import (
	"fmt"
	"strings"
)

// Draw returns the chart as Markdown: a Mermaid diagram, and tables of the
// states and the events.
func Draw(ct *Chart) string {
	var sb strings.Builder
	sb.WriteString("```mermaid\nstateDiagram-v2\n")
	fmt.Fprintf(&sb, "    [*] --> %s\n", ct.initial)
	for _, tn := range ct.transitions {
		for _, from := range tn.From {
			fmt.Fprintf(&sb, "    %s --> %s: %s\n", from, tn.To, tn.Event)
		}
	}
	sb.WriteString("```\n\n| state | meaning | at most | then |\n| --- | --- | --- | --- |\n")
	for _, st := range ct.States() {
		limit := "-"
		then := "-"
		if st.Timeout > 0 {
			limit = st.Timeout.String()
			then = st.TimeoutEvent
		}
		fmt.Fprintf(&sb, "| `%s` | %s | %s | %s |\n", st.Name, st.Summary, limit, then)
	}
	sb.WriteString("\n| event | when |\n| --- | --- |\n")
	for _, tn := range ct.transitions {
		fmt.Fprintf(&sb, "| `%s` | %s |\n", tn.Event, tn.Summary)
	}
	return sb.String()
}
