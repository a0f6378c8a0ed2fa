package commander

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// markerPattern matches the last line of what cfw settings get prints.
var markerPattern = regexp.MustCompile(`(?:^|\n)# revision (\d{1,19}) [^\n]*\n*$`)

// addMarker appends a line with the revision to a source. From it, cfw settings
// apply determines which revision an edited file is based on. The line comes last
// so that line numbers don't change.
func addMarker(revision uint64, source string) string {
	source = strings.TrimSuffix(source, "\n")
	return fmt.Sprintf("%s\n# revision %d (keep this line: it tells cfw what your changes start from)", source, revision)
}

// splitMarker splits a source into the revision of its marker line and the text
// before that line. The revision is zero if the source has no marker line.
func splitMarker(source string) (uint64, string) {
	match := markerPattern.FindStringSubmatchIndex(source)
	if match == nil {
		return 0, source
	}
	revision, err := strconv.ParseUint(source[match[2]:match[3]], 10, 64)
	if err != nil {
		return 0, source
	}
	return revision, source[:match[0]] + "\n"
}
