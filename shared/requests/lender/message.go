package lender

import "time"

// Envelope carries a message between two entries.
type Envelope struct {
	// From and To are the sender and the receiver.
	From, To Entry
	// Message is a Request or a Grant.
	Message Message
}

// Message is a message between entries: Request or Grant. Sequences increase
// with each message of a sender. A Request older than the last Request, or a
// Grant older than the last Grant, is dropped.
type Message interface {
	message()
}

// Request requests slots from the owner of targets, returns slots that the
// sender no longer holds, and confirms that the sender considers the receiver
// to be the owner.
type Request struct {
	// Sequence is the sequence of the message.
	Sequence uint64
	// Echo is the highest sequence that the sender has received from the
	// receiver.
	Echo uint64
	// View is a digest of the entries in the sender's view, including the
	// sender.
	View uint64
	// ViewStable is false while the sender's view may lack entries because its
	// process has just started or resumed from a pause.
	ViewStable bool
	// Targets has an element for each target owned by the receiver.
	Targets []SlotRequest
}

// SlotRequest is the number of slots that an entry holds and wants of a target.
type SlotRequest struct {
	// VM is the target's VM.
	VM string
	// Held is the number of slots that the sender will not exceed until a grant
	// answers this request. Leased is the part covered by its lease.
	Held, Leased int
	// Reserved is the number of slots that entries outside the sender's view
	// may still use.
	Reserved int
	// Wanted is the number of slots for which the sender has requests.
	Wanted int
}

// Grant answers a Request. A later Grant that answers the same Request replaces
// it.
type Grant struct {
	// Sequence is the sequence of the message.
	Sequence uint64
	// Echo is the highest sequence that the sender has received from the
	// receiver.
	Echo uint64
	// Answers is the sequence of the answered Request.
	Answers uint64
	// Targets has an element for each requested target whose slots the sender
	// may lend.
	Targets []SlotGrant
}

// SlotGrant is the number of slots of a target that a borrower may use.
type SlotGrant struct {
	// VM is the target's VM.
	VM string
	// Slots is the number of slots lent.
	Slots int
	// Duration is the duration of the lease, counted from the sending of the
	// answered Request.
	Duration time.Duration
}

func (Request) message() {}
func (Grant) message()   {}
