package loader

import (
	"strconv"
	"strings"
)

// Key is the path of a value in a TOML document. An element of an array has
// the array's path with a last part such as "[2]".
type Key []string

// Child returns the path of a value below key.
func (ky Key) Child(parts ...string) Key {
	child := make(Key, 0, len(ky)+len(parts))
	child = append(child, ky...)
	return append(child, parts...)
}

func (ky Key) element(index int) Key {
	return ky.Child("[" + strconv.Itoa(index) + "]")
}

// String returns the path as TOML writes it, such as services."a b".pool.
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
