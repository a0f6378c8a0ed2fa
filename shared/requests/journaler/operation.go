package journaler

import (
	"sync/atomic"
	"time"
)

// operation is what a writer is asked to do: demand, completion, release or flush.
type operation interface {
	operation()
}

// demand asks for a claim.
type demand struct {
	id      ID
	digest  Digest
	serial  uint64
	expires time.Time
	// phase settles the race between the writer, which grants the claim, and
	// the asker, which stops waiting.
	phase atomic.Int32
	// reply gets one Result, or an error, if the asker still waits.
	reply chan reply
}

// The phases of a demand.
const (
	waiting int32 = iota
	answered
	abandoned
)

type reply struct {
	result Result
	err    error
}

// answer tells the asker the result, and returns false if it no longer waits.
func (dd *demand) answer(result Result, err error) bool {
	if !dd.phase.CompareAndSwap(waiting, answered) {
		return false
	}
	dd.reply <- reply{
		result: result,
		err:    err,
	}
	return true
}

// abandon ends the wait. It returns false if the answer is there already.
func (dd *demand) abandon() bool { return dd.phase.CompareAndSwap(waiting, abandoned) }

// completion ends a claim with what is known of the request.
type completion struct {
	id     ID
	serial uint64
	state  State
	status int
	answer *Answer
	// expires is when the record may be removed.
	expires time.Time
}

// release ends a claim whose request was not and will not be sent.
type release struct {
	id     ID
	serial uint64
}

// flush asks to write what is not yet written.
type flush struct {
	done chan struct{}
}

func (*demand) operation()    {}
func (completion) operation() {}
func (release) operation()    {}
func (flush) operation()      {}
