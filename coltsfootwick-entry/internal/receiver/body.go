package receiver

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/coltsfootwick-entry/internal/budgeter"
	"coltsfootwick.example/shared/process/classifier"
)

// firstBodyBytes is the size of the first buffer for a body of unknown length.
const firstBodyBytes = 4 << 10

var errMemoryExhausted = classifier.New(classifier.QueueFull, "the request's memory can't be reserved: the memory share of the service is exhausted")

// body is a request body, which is read completely before the request is queued.
type body struct {
	data     []byte
	memory   *budgeter.Share
	maxBytes int64
	reserved int64
}

func newBody(memory *budgeter.Share, maxBytes int64) *body {
	return &body{
		memory:   memory,
		maxBytes: maxBytes,
	}
}

// read reads the complete body. It fails if the deadline passes first.
func (bd *body) read(w http.ResponseWriter, hr *http.Request, deadline time.Time) error {
	if hr.ContentLength > bd.maxBytes {
		return bd.tooLarge()
	}
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return classifier.Wrap(err, classifier.Internal, "set the read deadline of the caller's connection")
	}
	if err := bd.fill(hr); err != nil {
		return err
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return classifier.Wrap(err, classifier.MalformedRequest, "clear the read deadline: the caller closed the connection")
	}
	return nil
}

func (bd *body) fill(hr *http.Request) error {
	size := int64(firstBodyBytes)
	if hr.ContentLength >= 0 {
		size = hr.ContentLength
	}
	for {
		if err := bd.grow(min(size, bd.maxBytes+1)); err != nil {
			return err
		}
		err := bd.readFull(hr.Body)
		if int64(len(bd.data)) > bd.maxBytes {
			return bd.tooLarge()
		}
		if errors.Is(err, io.EOF) || int64(len(bd.data)) == hr.ContentLength {
			return nil
		}
		if err != nil {
			return classifier.Wrap(err, classifier.MalformedRequest, "read the request body")
		}
		size = max(2*size, firstBodyBytes)
	}
}

// readFull reads until the buffer is full. It returns io.EOF at the end of the
// body.
func (bd *body) readFull(from io.Reader) error {
	for len(bd.data) < cap(bd.data) {
		count, err := from.Read(bd.data[len(bd.data):cap(bd.data)])
		bd.data = bd.data[:len(bd.data)+count]
		if err != nil {
			return err
		}
	}
	return nil
}

func (bd *body) grow(size int64) error {
	if !bd.memory.Reserve(size - bd.reserved) {
		return errMemoryExhausted
	}
	bd.reserved = size
	data := make([]byte, len(bd.data), size)
	copy(data, bd.data)
	bd.data = data
	return nil
}

func (bd *body) release() { bd.memory.Release(bd.reserved) }

func (bd *body) tooLarge() error {
	return classifier.New(classifier.RequestTooLarge, "the request body is larger than %d bytes", bd.maxBytes)
}
