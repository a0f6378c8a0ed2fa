package parser

import (
	"net/http"
	"strings"

	"coltsfootwick.example/shared/process/classifier"
)

const maxKeyLength = 128

// Key returns the Idempotency-Key, or "" if the header is absent. The quotes
// of a structured field string are removed. It returns a KeyInvalid error if the
// header is present more than once, or if the key is not 1 to 128 visible ASCII
// characters.
func Key(header http.Header) (string, error) {
	lines := header[KeyHeader]
	if len(lines) == 0 {
		return "", nil
	}
	if len(lines) > 1 {
		return "", classifier.New(classifier.KeyInvalid, "the Idempotency-Key header is present %d times", len(lines))
	}
	key := lines[0]
	if len(key) >= 2 && strings.HasPrefix(key, `"`) && strings.HasSuffix(key, `"`) {
		key = key[1 : len(key)-1]
	}
	if key == "" || len(key) > maxKeyLength {
		return "", classifier.New(classifier.KeyInvalid, "the key has length %d instead of 1 to 128", len(key))
	}
	for _, ch := range []byte(key) {
		if ch <= ' ' || ch > '~' {
			return "", classifier.New(classifier.KeyInvalid, "the key contains the character %#x, which is not visible ASCII", ch)
		}
	}
	return key, nil
}
