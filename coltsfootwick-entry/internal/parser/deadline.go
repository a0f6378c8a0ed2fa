package parser

import (
	"net/http"
	"strconv"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Timeout returns the caller's timeout for the request, and false if the header is
// absent. A value that is not a positive number of milliseconds is a
// MalformedRequest error.
func Timeout(header http.Header) (time.Duration, bool, error) {
	text := header.Get(DeadlineHeader)
	if text == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, false, classifier.New(classifier.MalformedRequest, "%s: %q is not a positive number of milliseconds", DeadlineHeader, text)
	}
	return time.Duration(ms) * time.Millisecond, true, nil
}
