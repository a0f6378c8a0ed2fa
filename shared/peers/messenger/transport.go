package messenger

import (
	"net/netip"

	"coltsfootwick.example/shared/peers/certifier"
)

// Transport sends and receives the messages of one node. Implementations are
// safe for concurrent use.
type Transport interface {
	// Address returns the address for peers.
	Address() netip.AddrPort
	// Send queues a message for the peer at an address without blocking. The
	// message is dropped if the peer is unreachable or too slow.
	Send(to netip.AddrPort, ms Message)
	// Deliveries returns the channel of received messages. Messages that arrive
	// while it is full are dropped.
	Deliveries() <-chan Delivery
}

// Delivery is a received message.
type Delivery struct {
	// From is the address of the sender.
	From netip.AddrPort
	// Identity is the sender's identity from its certificate. It matches the
	// message's Sender.
	Identity certifier.Identity
	// Message is the message.
	Message Message
}
