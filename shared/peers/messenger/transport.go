package messenger

import (
	"net/netip"

	"coltsfootwick.example/shared/peers/certifier"
)

// Transport sends and receives the messages of one node. Implementations are
// safe for concurrent use.
type Transport interface {
	// Address returns the address that peers send to.
	Address() netip.AddrPort
	// Send takes a message for the peer at an address, without waiting. The
	// message is dropped when the peer isn't reached or is too slow.
	Send(to netip.AddrPort, ms Message)
	// Deliveries returns the channel of received messages. Messages that come
	// while it is full are dropped.
	Deliveries() <-chan Delivery
}

// Delivery is a received message.
type Delivery struct {
	// From is the address that it came from.
	From netip.AddrPort
	// Identity is the sender's identity by its certificate. It is the one that
	// the message's Sender claims.
	Identity certifier.Identity
	// Message is the message.
	Message Message
}
