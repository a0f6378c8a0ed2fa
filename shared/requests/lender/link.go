package lender

import "time"

const (
	// sentHistory is the number of sent messages whose time of sending is kept.
	sentHistory = 64
	// linkRetention is how long the link with a former member is kept, so that
	// late messages from it are recognised as old.
	linkRetention = time.Minute
)

// link is the state of the message exchange with one peer.
type link struct {
	peer Entry
	// listed is true if the peer is in the list of members, inView while its
	// messages are received, and member if either holds.
	listed, inView, member bool
	// leftAt is when the peer last ceased to be a member.
	leftAt time.Time
	// wasInView is true once the peer has been in view.
	wasInView bool
	// sent is a ring buffer of the last sent messages.
	sent     [sentHistory]sentMessage
	nextSent int
	// received is the highest received sequence, received at receivedAt.
	received   uint64
	receivedAt time.Time

	// request is the sequence of the last Request, sent at requestedAt.
	// answered is true once it has been answered by a Grant.
	request     uint64
	requestedAt time.Time
	answered    bool
	// unconfirmed is true if the last Request was sent before any message was
	// received, so that it had no sequence to echo.
	unconfirmed bool

	// granted is the sequence of the peer's last Grant, requested that of its
	// last Request.
	granted   uint64
	requested uint64
	grantedAt time.Time
	// grantDue is true if the peer must be sent a Grant because its slots have
	// changed.
	grantDue bool
}

// sentMessage is the sequence of a message and when it was sent.
type sentMessage struct {
	sequence uint64
	at       time.Time
}

func (li *link) recordSent(now time.Time, sequence uint64) {
	li.sent[li.nextSent] = sentMessage{
		sequence: sequence,
		at:       now,
	}
	li.nextSent = (li.nextSent + 1) % sentHistory
}

// sendTime returns when a message was sent, or zero if it is no longer known.
func (li *link) sendTime(sequence uint64) time.Time {
	for _, se := range li.sent {
		if sequence > 0 && se.sequence == sequence {
			return se.at
		}
	}
	return time.Time{}
}

// acceptSequence records the sequence of a received message. It returns false
// for a duplicate or an outdated message.
func (li *link) acceptSequence(now time.Time, sequence uint64) bool {
	if sequence <= li.received {
		return false
	}
	li.received = sequence
	li.receivedAt = now
	return true
}

// acceptRequest reports whether a Request is newer than all earlier ones.
func (li *link) acceptRequest(re Request) bool {
	if re.Sequence <= li.requested {
		return false
	}
	li.requested = re.Sequence
	return true
}

// acceptGrant reports whether a Grant is newer than all earlier ones.
func (li *link) acceptGrant(gr Grant) bool {
	if gr.Sequence <= li.granted {
		return false
	}
	li.granted = gr.Sequence
	return true
}
