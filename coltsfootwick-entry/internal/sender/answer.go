package sender

import (
	"io"
	"net/http"

	"coltsfootwick.example/shared/process/classifier"
)

const firstBufferBytes = 4 << 10

// Informational is an answer with a status from 102 to 199.
type Informational struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
}

// Answer is a target's answer. Its body is whole, or else its first part is
// held and the rest is still to be read with Stream.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Informational holds the informational answers that came first.
	Informational []Informational
	// Body is the body, or the first part of it.
	Body []byte
	// Length is the length of the body, or -1 if it is not known beforehand.
	Length int64
	// Trailer holds the trailers of a whole answer.
	Trailer http.Header

	memory   Memory
	attempt  *attempt
	reserved int64
}

// Whole returns true if the body is complete.
func (an *Answer) Whole() bool { return an.attempt == nil }

// Stream copies the rest of an answer that is not whole to the caller. After
// an error the caller holds a part of the answer, and its connection must be
// reset. Stream ends the attempt in any case.
func (an *Answer) Stream(caller io.Writer) error {
	at := an.attempt
	an.attempt = nil
	if at == nil {
		return nil
	}
	count, err := io.Copy(caller, io.LimitReader(at.response.Body, at.request.MaxAnswerBytes-int64(len(an.Body))+1))
	if err == nil && count+int64(len(an.Body)) > at.request.MaxAnswerBytes {
		err = classifier.New(classifier.AnswerTooLarge, "more than %d bytes", at.request.MaxAnswerBytes)
	}
	an.Trailer = at.response.Trailer
	at.end(err == nil)
	return err
}

// Discard gives the memory of the answer back. An answer that is not whole is
// given up, and its connection is closed.
func (an *Answer) Discard() {
	if at := an.attempt; at != nil {
		an.attempt = nil
		at.end(false)
	}
	if an.reserved > 0 {
		an.memory.Release(an.reserved)
		an.reserved = 0
	}
}

// grow makes room for a body of size bytes, or returns false if there is too
// little memory.
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

// read reads until the room is full. It returns io.EOF at the body's end.
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
