package parser

import (
	"net/http"
	"strings"
)

const (
	mostUrgent  = '0'
	leastUrgent = '7'
)

// Urgency returns the urgency of the Priority header, and false if the header
// is absent or has no urgency. As RFC 9218 requires, invalid members are ignored.
// If the urgency is present more than once the last one counts.
func Urgency(header http.Header) (int, bool) {
	urgency := 0
	found := false
	for _, line := range header[PriorityHeader] {
		for member := range strings.SplitSeq(line, ",") {
			if value, ok := urgencyOf(member); ok {
				urgency = value
				found = true
			}
		}
	}
	return urgency, found
}

func urgencyOf(member string) (int, bool) {
	member = strings.Trim(member, " \t")
	member, _, _ = strings.Cut(member, ";")
	name, value, ok := strings.Cut(strings.TrimRight(member, " \t"), "=")
	if !ok || name != "u" || len(value) != 1 {
		return 0, false
	}
	if value[0] < mostUrgent || value[0] > leastUrgent {
		return 0, false
	}
	return int(value[0] - mostUrgent), true
}
