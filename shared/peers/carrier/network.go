package carrier

import (
	"net/netip"
	"sync"
	"time"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/messenger"
)

const deliveriesCapacity = 1024

// Network connects nodes within one process. Each message is encoded and decoded
// as on the wire.
type Network struct {
	faults *Faults

	mutex     sync.Mutex
	endpoints map[netip.AddrPort]*Endpoint
}

// NewNetwork returns a Network without nodes.
func NewNetwork(faults *Faults) *Network {
	return &Network{
		faults:    faults,
		endpoints: map[netip.AddrPort]*Endpoint{},
	}
}

// Faults returns the faults of the network.
func (nk *Network) Faults() *Faults { return nk.faults }

// Open returns the messenger.Transport of the node at an address. It replaces an
// earlier transport at the address.
func (nk *Network) Open(address netip.AddrPort) *Endpoint {
	nk.mutex.Lock()
	defer nk.mutex.Unlock()
	et := &Endpoint{
		network:    nk,
		address:    address,
		deliveries: make(chan messenger.Delivery, deliveriesCapacity),
	}
	nk.endpoints[address] = et
	return et
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

// Traffic counts messages and their bytes.
type Traffic struct {
	// Messages is the number of messages.
	Messages int
	// Bytes is the total length of messages.
	Bytes int
}

// Address implements messenger.Transport.
func (et *Endpoint) Address() netip.AddrPort { return et.address }

// Deliveries implements messenger.Transport.
func (et *Endpoint) Deliveries() <-chan messenger.Delivery { return et.deliveries }

// Sent returns the traffic that the node has sent.
func (et *Endpoint) Sent() Traffic {
	et.mutex.Lock()
	defer et.mutex.Unlock()
	return et.sent
}

// Close stops all messages from and to the node, as after a crash.
func (et *Endpoint) Close() {
	et.network.mutex.Lock()
	defer et.network.mutex.Unlock()
	if et.network.endpoints[et.address] == et {
		delete(et.network.endpoints, et.address)
	}
}

// Send implements messenger.Transport.
func (et *Endpoint) Send(to netip.AddrPort, ms messenger.Message) {
	data, err := messenger.Encode(ms)
	if err != nil || et.network.endpoint(et.address) != et {
		return
	}
	et.mutex.Lock()
	et.sent.Messages++
	et.sent.Bytes += len(data)
	et.mutex.Unlock()
	for _, delay := range et.network.faults.Delays(et.address, to) {
		time.AfterFunc(delay, func() {
			if receiver := et.network.endpoint(to); receiver != nil {
				receiver.deliver(et.address, data)
			}
		})
	}
}

func (et *Endpoint) deliver(from netip.AddrPort, data []byte) {
	ms, err := messenger.Decode(data)
	if err != nil {
		return
	}
	select {
	case et.deliveries <- messenger.Delivery{
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
