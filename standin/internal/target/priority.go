package target

import "strings"

const (
	priorityHeader = "Priority"
	// defaultUrgency is the default urgency of RFC 9218.
	defaultUrgency = 3
)

// urgencyOf returns the urgency in a Priority header, or the default urgency.
func urgencyOf(header string) int {
	for _, part := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if found && len(value) == 1 && value[0] >= '0' && value[0] <= '7' {
			return int(value[0] - '0')
		}
	}
	return defaultUrgency
}
