package charter

import (
	"fmt"
	"strings"
)

// Draw renders the chart as Markdown: a Mermaid diagram, and tables of the
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
		timeout := "-"
		timeoutEvent := "-"
		if st.Timeout > 0 {
			timeout = st.Timeout.String()
			timeoutEvent = st.TimeoutEvent
		}
		fmt.Fprintf(&sb, "| `%s` | %s | %s | %s |\n", st.Name, st.Summary, timeout, timeoutEvent)
	}
	sb.WriteString("\n| event | when |\n| --- | --- |\n")
	for _, tn := range ct.transitions {
		fmt.Fprintf(&sb, "| `%s` | %s |\n", tn.Event, tn.Summary)
	}
	return sb.String()
}
