package sender

import (
	"io"
	"net/http"

	"coltsfootwick.example/shared/process/classifier"
)

// firstBufferBytes is the size of the first buffer for a body of unknown length.
const firstBufferBytes = 4 << 10

// Informational is an informational answer with a status from 102 to 199.
type Informational struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
}

// Answer is a target's answer. Unless it is complete, Body holds the first part
// of the body and Stream copies the remainder.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Informational holds the informational answers that preceded the answer.
	Informational []Informational
	// Body is the body, or the first part of it.
	Body []byte
	// Length is the length of the body, or -1 if it is not known in advance.
	Length int64
	// Trailer holds the trailers of a complete answer.
	Trailer http.Header

	memory   Memory
	attempt  *attempt
	reserved int64
}

// Complete reports whether Body holds the complete body.
func (an *Answer) Complete() bool { return an.attempt == nil }

// Stream copies the remainder of an incomplete answer to the caller. After an
// error the caller has received a truncated answer, so its connection must be
// reset. Stream always ends the attempt.
func (an *Answer) Stream(caller io.Writer) error {
	at := an.attempt
	an.attempt = nil
	if at == nil {
		return nil
	}
	count, err := io.Copy(caller, io.LimitReader(at.response.Body, at.request.MaxAnswerBytes-int64(len(an.Body))+1))
	if err == nil && count+int64(len(an.Body)) > at.request.MaxAnswerBytes {
		err = classifier.New(classifier.AnswerTooLarge, "the target's answer is larger than %d bytes", at.request.MaxAnswerBytes)
	}
	an.Trailer = at.response.Trailer
	at.finish(err == nil)
	return err
}

// Discard releases the memory of the answer. If the answer is incomplete, its
// connection is closed.
func (an *Answer) Discard() {
	if at := an.attempt; at != nil {
		an.attempt = nil
		at.finish(false)
	}
	if an.reserved > 0 {
		an.memory.Release(an.reserved)
		an.reserved = 0
	}
}

// grow enlarges the buffer to size bytes, or returns false if the memory budget
// is exhausted.
func (an *Answer) grow(size int64) bool {
	more := size - an.reserved
	if more > 0 && !an.memory.Reserve(more) {
		return false
	}
	an.reserved = max(size, an.reserved)
	body := make([]byte, len(an.Body), size)
	copy(body, an.Body)
	an.Body = body
	return true
}

// read reads until the buffer is full. It returns io.EOF at the end of the body.
func (an *Answer) read(body io.Reader) error {
	for len(an.Body) < cap(an.Body) {
		count, err := body.Read(an.Body[len(an.Body):cap(an.Body)])
		an.Body = an.Body[:len(an.Body)+count]
		if err != nil {
			return err
		}
	}
	return nil
}
