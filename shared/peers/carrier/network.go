package carrier

import (
	"net/netip"
	"sync"
	"time"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/messenger"
)

const deliveriesCapacity = 1024

// Network joins nodes in one process. Each message is encoded and decoded as on
// the wire.
type Network struct {
	faults *Faults

	mutex     sync.Mutex
	endpoints map[netip.AddrPort]*Endpoint
}

// NewNetwork returns a network without nodes.
func NewNetwork(faults *Faults) *Network {
	return &Network{
		faults:    faults,
		endpoints: map[netip.AddrPort]*Endpoint{},
	}
}

// Faults returns what decides on the messages.
func (nk *Network) Faults() *Faults { return nk.faults }

// Open returns the messenger.Transport of the node at an address. It takes the
// place of an earlier one there.
func (nk *Network) Open(address netip.AddrPort) *Endpoint {
	nk.mutex.Lock()
	defer nk.mutex.Unlock()
	pt := &Endpoint{
		network:    nk,
		address:    address,
		deliveries: make(chan messenger.Delivery, deliveriesCapacity),
	}
	nk.endpoints[address] = pt
	return pt
}

func (nk *Network) endpoint(address netip.AddrPort) *Endpoint {
	nk.mutex.Lock()
	defer nk.mutex.Unlock()
	return nk.endpoints[address]
}

// Endpoint is the messenger.Transport of one node of a Network.
type Endpoint struct {
	network    *Network
	address    netip.AddrPort
	deliveries chan messenger.Delivery

	mutex sync.Mutex
	sent  Traffic
}

// Traffic counts messages.
type Traffic struct {
	// Messages is their number.
	Messages int
	// Bytes is their length.
	Bytes int
}

// Address implements messenger.Transport.
func (pt *Endpoint) Address() netip.AddrPort { return pt.address }

// Deliveries implements messenger.Transport.
func (pt *Endpoint) Deliveries() <-chan messenger.Delivery { return pt.deliveries }

// Sent returns what the node has sent.
func (pt *Endpoint) Sent() Traffic {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	return pt.sent
}

// Close makes the node deaf and dumb, as after a kill.
func (pt *Endpoint) Close() {
	pt.network.mutex.Lock()
	defer pt.network.mutex.Unlock()
	if pt.network.endpoints[pt.address] == pt {
		delete(pt.network.endpoints, pt.address)
	}
}

// Send implements messenger.Transport.
func (pt *Endpoint) Send(to netip.AddrPort, ms messenger.Message) {
	data, err := messenger.Encode(ms)
	if err != nil || pt.network.endpoint(pt.address) != pt {
		return
	}
	pt.mutex.Lock()
	pt.sent.Messages++
	pt.sent.Bytes += len(data)
	pt.mutex.Unlock()
	for _, delay := range pt.network.faults.Delays(pt.address, to) {
		time.AfterFunc(delay, func() {
			if receiver := pt.network.endpoint(to); receiver != nil {
				receiver.deliver(pt.address, data)
			}
		})
	}
}

func (pt *Endpoint) deliver(from netip.AddrPort, data []byte) {
	ms, err := messenger.Decode(data)
	if err != nil {
		return
	}
	select {
	case pt.deliveries <- messenger.Delivery{
		From: from,
		Identity: certifier.Identity{
			Name: ms.Sender.Name,
			Role: ms.Sender.Role,
			Zone: ms.Sender.Zone,
		},
		Message: ms,
	}:
	default:
	}
}
