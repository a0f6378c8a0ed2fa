package receiver

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/coltsfootwick-entry/internal/budgeter"
	"coltsfootwick.example/shared/process/classifier"
)

const firstBodyBytes = 4 << 10

var errMemory = classifier.New(classifier.QueueFull, "the bodies of waiting requests take all the memory of the service")

// body is the body of a request, read whole before the request is queued.
type body struct {
	data     []byte
	memory   *budgeter.Share
	bound    int64
	reserved int64
}

func newBody(memory *budgeter.Share, bound int64) *body {
	return &body{
		memory: memory,
		bound:  bound,
	}
}

// read reads the body until the deadline.
func (bd *body) read(w http.ResponseWriter, hr *http.Request, deadline time.Time) error {
	if hr.ContentLength > bd.bound {
		return bd.tooLarge()
	}
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return classifier.Wrap(err, classifier.Internal, "set the read deadline")
	}
	if err := bd.fill(hr); err != nil {
		return err
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return classifier.Wrap(err, classifier.MalformedRequest, "the caller went away")
	}
	return nil
}

func (bd *body) fill(hr *http.Request) error {
	size := int64(firstBodyBytes)
	if hr.ContentLength >= 0 {
		size = hr.ContentLength
	}
	for {
		if err := bd.grow(min(size, bd.bound+1)); err != nil {
			return err
		}
		err := bd.readFull(hr.Body)
		if int64(len(bd.data)) > bd.bound {
			return bd.tooLarge()
		}
		if errors.Is(err, io.EOF) || int64(len(bd.data)) == hr.ContentLength {
			return nil
		}
		if err != nil {
			return classifier.Wrap(err, classifier.MalformedRequest, "read the body")
		}
		size = max(2*size, firstBodyBytes)
	}
}

// readFull reads until the buffer is full. It returns io.EOF at the body's end.
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
		return errMemory
	}
	bd.reserved = size
	data := make([]byte, len(bd.data), size)
	copy(data, bd.data)
	bd.data = data
	return nil
}

func (bd *body) release() { bd.memory.Release(bd.reserved) }

func (bd *body) tooLarge() error {
	return classifier.New(classifier.RequestTooLarge, "more than %d bytes", bd.bound)
}
