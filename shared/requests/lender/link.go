package lender

import "time"

const (
	// rememberedSends is the number of messages whose time of sending is known.
	rememberedSends = 64
	// linkMemory is how long the link with a former member is kept, so that late
	// messages are known for such.
	linkMemory = time.Minute
)

// link is what an entry knows of the traffic with one peer.
type link struct {
	peer Entry
	// listed is true if the peer is one of the members given, inView while it
	// is heard, and member if it is either.
	listed, inView, member bool
	// leftAt is when it last ceased to be a member.
	leftAt time.Time
	// seen is true once it has been in view.
	seen bool
	// sent are the last messages sent.
	sent [rememberedSends]sending
	next int
	// received is the highest sequence received, at receivedAt.
	received   uint64
	receivedAt time.Time

	// request is the sequence of the last Request, sent at requestedAt;
	// answered is true once a Grant came for it.
	request     uint64
	requestedAt time.Time
	answered    bool
	// unconfirmed is true if the last Request could echo nothing.
	unconfirmed bool

	// granted is the sequence of the peer's last Grant, asked that of its last
	// Request.
	granted   uint64
	asked     uint64
	grantedAt time.Time
	// grantDue is true if the peer has to hear of changed allowances.
	grantDue bool
}

// sending tells when a message was sent.
type sending struct {
	sequence uint64
	at       time.Time
}

func (li *link) remember(now time.Time, sequence uint64) {
	li.sent[li.next] = sending{
		sequence: sequence,
		at:       now,
	}
	li.next = (li.next + 1) % rememberedSends
}

// timeOf returns when a message was sent; zero if that is not known.
func (li *link) timeOf(sequence uint64) time.Time {
	for _, se := range li.sent {
		if sequence > 0 && se.sequence == sequence {
			return se.at
		}
	}
	return time.Time{}
}

// hear notes the sequence of a message received; false if it is not news.
func (li *link) hear(now time.Time, sequence uint64) bool {
	if sequence <= li.received {
		return false
	}
	li.received = sequence
	li.receivedAt = now
	return true
}

// acceptRequest reports whether a Request is later than all before it.
func (li *link) acceptRequest(re Request) bool {
	if re.Sequence <= li.asked {
		return false
	}
	li.asked = re.Sequence
	return true
}

// acceptGrant reports whether a Grant is later than all before it.
func (li *link) acceptGrant(gr Grant) bool {
	if gr.Sequence <= li.granted {
		return false
	}
	li.granted = gr.Sequence
	return true
}
