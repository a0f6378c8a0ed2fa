package loader

import (
	"strconv"
	"strings"
)

// Key is the path of a value in a TOML document. The path of an array element is
// the path of the array followed by an index such as "[2]".
type Key []string

// Child returns the path of a value nested in the value at ky.
func (ky Key) Child(parts ...string) Key {
	child := make(Key, 0, len(ky)+len(parts))
	child = append(child, ky...)
	return append(child, parts...)
}

// element returns the path of an element of the array at ky.
func (ky Key) element(index int) Key {
	return ky.Child("[" + strconv.Itoa(index) + "]")
}

// String returns the path in TOML notation, such as services."a b".pool.
func (ky Key) String() string {
	var sb strings.Builder
	for ix, part := range ky {
		isElement := strings.HasPrefix(part, "[")
		if ix > 0 && !isElement {
			sb.WriteByte('.')
		}
		if isElement || isBare(part) {
			sb.WriteString(part)
		} else {
			sb.WriteString(strconv.Quote(part))
		}
	}
	return sb.String()
}

// isBare reports whether a part of a key needs no quotes in TOML.
func isBare(part string) bool {
	for _, rn := range part {
		switch {
		case 'a' <= rn && rn <= 'z', 'A' <= rn && rn <= 'Z', '0' <= rn && rn <= '9', rn == '_', rn == '-':
		default:
			return false
		}
	}
	return part != ""
}
