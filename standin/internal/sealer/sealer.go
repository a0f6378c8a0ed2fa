// Package sealer makes bodies that name the request they belong to and end in
// a checksum, so that the reader of a body can tell whether it is whole and
// whose it is.
package sealer

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"coltsfootwick.example/shared/process/classifier"
)

// Header is the HTTP header by which a caller tells the target the identifier
// of its request.
const Header = "Load-Request"

const (
	mark           = "sealed "
	checksumDigits = 16
	hexBase        = 16
	bitsOfChecksum = 64
)

// Seal returns a body of at least size bytes that names the identifier. The
// identifier must not hold spaces or line ends.
func Seal(identifier string, size int) []byte {
	var bf bytes.Buffer
	bf.WriteString(mark)
	bf.WriteString(identifier)
	bf.WriteByte(' ')
	if padding := size - bf.Len() - checksumDigits - 2; padding > 0 {
		bf.WriteString(strings.Repeat(".", padding))
	}
	bf.WriteByte(' ')
	checksum := xxhash.Sum64(bf.Bytes())
	fmt.Fprintf(&bf, "%0*x\n", checksumDigits, checksum)
	return bf.Bytes()
}

// Open returns the identifier that a whole body names, or an AnswerInvalid
// error when the body is not exactly what Seal made.
func Open(body []byte) (string, error) {
	tail := checksumDigits + 1
	if len(body) <= tail || body[len(body)-1] != '\n' {
		return "", classifier.New(classifier.AnswerInvalid, "body of %d bytes has no checksum", len(body))
	}
	content := body[:len(body)-tail]
	checksum, err := strconv.ParseUint(string(body[len(content):len(body)-1]), hexBase, bitsOfChecksum)
	if err != nil || checksum != xxhash.Sum64(content) {
		return "", classifier.New(classifier.AnswerInvalid, "body of %d bytes has a wrong checksum", len(body))
	}
	rest, marked := bytes.CutPrefix(content, []byte(mark))
	identifier, _, spaced := bytes.Cut(rest, []byte{' '})
	if !marked || !spaced {
		return "", classifier.New(classifier.AnswerInvalid, "body of %d bytes names no request", len(body))
	}
	return string(identifier), nil
}

// AttemptOf returns the identifier of one attempt of a request, numbered from 1.
func AttemptOf(identifier string, number int) string {
	return fmt.Sprintf("%s%s%d", identifier, attemptSeparator, number)
}

// RequestOf returns the request's identifier without the number of the attempt.
func RequestOf(identifier string) string {
	request, _, _ := strings.Cut(identifier, attemptSeparator)
	return request
}

const attemptSeparator = "."
