package journaler

import (
	"sync/atomic"
	"time"
)

// operation is an operation sent to a writer: *claimRequest, completion,
// release or flush.
type operation interface {
	operation()
}

// claimRequest requests a claim.
type claimRequest struct {
	id      ID
	digest  Digest
	serial  uint64
	expires time.Time
	// phase resolves the race between the writer, which grants the claim, and
	// Journal.Claim, which may stop waiting.
	phase atomic.Int32
	// reply receives one result or error unless the request is abandoned.
	reply chan reply
}

// The phases of a claimRequest.
const (
	phaseWaiting int32 = iota
	phaseResolved
	phaseAbandoned
)

type reply struct {
	result Result
	err    error
}

// resolve sends the result to the waiting Journal.Claim. It returns false if
// the request has been abandoned.
func (cr *claimRequest) resolve(result Result, err error) bool {
	if !cr.phase.CompareAndSwap(phaseWaiting, phaseResolved) {
		return false
	}
	cr.reply <- reply{
		result: result,
		err:    err,
	}
	return true
}

// abandon cancels the request. It returns false if the request has already been
// resolved.
func (cr *claimRequest) abandon() bool { return cr.phase.CompareAndSwap(phaseWaiting, phaseAbandoned) }

// completion ends a claim and sets the final state of its record.
type completion struct {
	id     ID
	serial uint64
	state  State
	status int
	answer *Answer
	// expires is when the record may be removed.
	expires time.Time
}

// release ends a claim whose request has not been and will not be sent.
type release struct {
	id     ID
	serial uint64
}

// flush requests that all unwritten changes be written.
type flush struct {
	done chan struct{}
}

func (*claimRequest) operation() {}
func (completion) operation()    {}
func (release) operation()       {}
func (flush) operation()         {}
