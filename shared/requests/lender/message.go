package lender

import "time"

// Envelope carries a message between two entries.
type Envelope struct {
	// From and To are the sender and the receiver.
	From, To Entry
	// Message is a Request or a Grant.
	Message Message
}

// Message is what entries tell each other: Request or Grant. Sequences grow
// with each message of a sender; a Request older than the last Request, or a
// Grant older than the last Grant, is dropped.
type Message interface {
	message()
}

// Request asks the owner of targets for slots, returns those that the sender no
// longer holds, and confirms that the sender takes the receiver for the owner.
type Request struct {
	// Sequence numbers the message.
	Sequence uint64
	// Echo is the highest sequence received from the receiver.
	Echo uint64
	// View is a digest of the entries that the sender sees, itself included.
	View uint64
	// Settled is false while the sender, newly started or woken from a pause,
	// may not know of all entries.
	Settled bool
	// Lines has one line for each target of the receiver.
	Lines []Need
}

// Need is what an entry holds and wants of a target.
type Need struct {
	// VM is the target's VM.
	VM string
	// Holds is the number of slots the sender will not exceed until a grant
	// answers this request; Keeps is the part that its lease covers.
	Holds, Keeps int
	// Reserved is the number of slots that entries out of the sender's view may
	// still use.
	Reserved int
	// Wants is the number of slots that the sender has work for.
	Wants int
}

// Grant answers a request. A later grant with the same answer replaces it.
type Grant struct {
	// Sequence numbers the message.
	Sequence uint64
	// Echo is the highest sequence received from the receiver.
	Echo uint64
	// Answers is the sequence of the request answered.
	Answers uint64
	// Lines has one line for each target asked for that the sender may lend.
	Lines []Allowance
}

// Allowance is what a borrower may use of a target.
type Allowance struct {
	// VM is the target's VM.
	VM string
	// Slots is the number of slots lent.
	Slots int
	// Lease is how long they are lent, counted from the sending of the
	// request answered.
	Lease time.Duration
}

func (Request) message() {}
func (Grant) message()   {}
