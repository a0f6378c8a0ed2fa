// Package packer packs the fields of compact binary formats. Numbers are varints,
// durations are in milliseconds, and strings have their length before them.
package packer

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxStringBytes limits the length of a string.
	maxStringBytes = 1 << 20
	// maxListLength limits the length of a list.
	maxListLength = 1 << 24
)

// AppendUint appends a number.
func AppendUint(data []byte, number uint64) []byte { return binary.AppendUvarint(data, number) }

// AppendInt appends a number that may be negative.
func AppendInt(data []byte, number int64) []byte { return binary.AppendVarint(data, number) }

// AppendDuration appends a duration, rounded down to milliseconds.
func AppendDuration(data []byte, duration time.Duration) []byte {
	return AppendInt(data, duration.Milliseconds())
}

// AppendBool appends a truth value.
func AppendBool(data []byte, value bool) []byte {
	if value {
		return append(data, 1)
	}
	return append(data, 0)
}

// AppendString appends a string.
func AppendString(data []byte, text string) []byte {
	return append(AppendUint(data, uint64(len(text))), text...)
}

// Reader reads the fields of packed data. After an error all fields are zero.
type Reader struct {
	rest []byte
	err  error
}

// NewReader returns a Reader of data.
func NewReader(data []byte) *Reader {
	return &Reader{
		rest: data,
	}
}

// Err returns the first error, or nil.
func (rd *Reader) Err() error { return rd.err }

// HasMore reports whether there are further fields and no error.
func (rd *Reader) HasMore() bool { return len(rd.rest) > 0 && rd.err == nil }

// Fail records an error.
func (rd *Reader) Fail(format string, args ...any) {
	if rd.err == nil {
		rd.err = errors.Errorf(format, args...)
	}
	rd.rest = nil
}

// Byte reads a byte.
func (rd *Reader) Byte() byte {
	data := rd.Bytes(1)
	if len(data) == 0 {
		return 0
	}
	return data[0]
}

// Bytes reads a number of bytes. It returns nil if there are fewer.
func (rd *Reader) Bytes(length int) []byte {
	if length > len(rd.rest) {
		rd.Fail("data is truncated: %d of %d bytes", len(rd.rest), length)
		return nil
	}
	data := rd.rest[:length]
	rd.rest = rd.rest[length:]
	return data
}

// Uint reads a number.
func (rd *Reader) Uint() uint64 {
	number, length := binary.Uvarint(rd.rest)
	if length <= 0 {
		rd.Fail("invalid number")
		return 0
	}
	rd.rest = rd.rest[length:]
	return number
}

// Int reads a number that may be negative.
func (rd *Reader) Int() int64 {
	number, length := binary.Varint(rd.rest)
	if length <= 0 {
		rd.Fail("invalid number")
		return 0
	}
	rd.rest = rd.rest[length:]
	return number
}

// Index reads a number that fits an index of a list.
func (rd *Reader) Index() int {
	number := rd.Uint()
	if number > maxListLength {
		rd.Fail("index %d is out of range", number)
		return 0
	}
	return int(number)
}

// Length reads the length of a list, whose elements have at least one byte each.
func (rd *Reader) Length() int {
	length := rd.Index()
	if length > len(rd.rest) {
		rd.Fail("list of %d elements in %d bytes", length, len(rd.rest))
		return 0
	}
	return length
}

// Duration reads a duration.
func (rd *Reader) Duration() time.Duration {
	const maxMilliseconds = int64(1<<63-1) / int64(time.Millisecond)
	milliseconds := rd.Int()
	if milliseconds > maxMilliseconds || milliseconds < -maxMilliseconds {
		rd.Fail("duration of %d ms is out of range", milliseconds)
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Bool reads a truth value.
func (rd *Reader) Bool() bool { return rd.Byte() != 0 }

// String reads a string.
func (rd *Reader) String() string {
	length := rd.Uint()
	if length > maxStringBytes {
		rd.Fail("string of %d bytes is longer than %d", length, maxStringBytes)
		return ""
	}
	return string(rd.Bytes(int(length)))
}
