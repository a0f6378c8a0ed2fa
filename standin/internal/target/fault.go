package target

import "time"

// Fault is a fault that can be injected into a target. It is one of None, Crash,
// Stall, Late, Crossed, CutShort, FailFast, Doubled, Oversized and Draining.
type Fault interface {
	fault()
}

// None is the absence of a fault.
type None struct{}

// Crash immediately closes the listener and all connections and cancels all
// executions.
type Crash struct{}

// Stall pauses an answer at an offset.
type Stall struct {
	// Offset is the position in the answer at which it pauses.
	Offset Offset
	// Length is the duration of the pause; zero means until the caller
	// disconnects.
	Length time.Duration
}

// Late delays each answer after its execution.
type Late struct {
	// Length is the delay.
	Length time.Duration
}

// Crossed swaps the answers, headers and bodies, of two requests in flight.
type Crossed struct {
	// Wait is the longest time that an answer waits for a second answer. After
	// that the request gets its own answer.
	Wait time.Duration
}

// CutShort closes the connection at an offset of the answer.
type CutShort struct {
	// Offset is the position in the answer at which the connection closes.
	Offset Offset
	// Bytes is the minimum size of the complete body; zero means the usual size.
	Bytes int
}

// FailFast responds to each request with status 500 after a millisecond.
type FailFast struct{}

// Doubled sends an HTTP/1.1 answer twice. Over HTTP/2, where a stream carries only
// one response, the answer is sent once.
type Doubled struct {
	// Held delays the second copy until the next request on the same connection,
	// which receives the copy instead of its own answer.
	Held bool
}

// Oversized sends larger answers than usual.
type Oversized struct {
	// Bytes is the size of the body.
	Bytes int
}

// Draining refuses new requests with status 503, Connection: close and
// Coltsfootwick-Draining: true without reading or running them, and finishes the
// requests in flight.
type Draining struct{}

// Offset is a position in an answer.
type Offset struct {
	// InBody is true if Bytes counts from the start of the body, and false if it
	// counts from the start of the status line. Over HTTP/2 every offset in the
	// headers means their start.
	InBody bool
	// Bytes is the number of bytes from that start.
	Bytes int
	// Chunked selects the chunked transfer coding instead of a Content-Length
	// for an HTTP/1.1 answer.
	Chunked bool
}

func (None) fault()      {}
func (Crash) fault()     {}
func (Stall) fault()     {}
func (Late) fault()      {}
func (Crossed) fault()   {}
func (CutShort) fault()  {}
func (FailFast) fault()  {}
func (Doubled) fault()   {}
func (Oversized) fault() {}
func (Draining) fault()  {}
