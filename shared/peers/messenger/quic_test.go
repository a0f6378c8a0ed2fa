package messenger_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/storer"
)

// deliveryTimeout bounds the wait for a message that must be delivered.
const deliveryTimeout = 30 * time.Second

func newAuthority(t *testing.T) certifier.KeyPair {
	pr, err := certifier.NewAuthority("example", time.Now(), time.Hour)
	must.NoError(t, err)
	return pr
}

// node is a transport with its member.
type node struct {
	*messenger.QUIC
	member messenger.Member
	stop   func()
}

func startNode(t *testing.T, authority certifier.KeyPair, name, address string) *node {
	id := certifier.Identity{Name: name, Role: reporter.Entry, Zone: "a"}
	pr, err := certifier.Issue(authority, id, time.Now(), time.Hour)
	must.NoError(t, err)
	cr, err := certifier.NewChecker(authority.Certificate, pr)
	must.NoError(t, err)
	return startNodeWith(t, cr, address)
}

func startNodeWith(t *testing.T, cr *certifier.Checker, address string) *node {
	qc, err := messenger.NewQUIC(netip.MustParseAddrPort(address), cr, zap.NewNop())
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- qc.Execute() }()
	nd := &node{
		QUIC: qc,
		member: messenger.Member{
			Name:        cr.Identity().Name,
			Role:        reporter.Entry,
			Zone:        "a",
			PeerAddress: qc.Address(),
		},
		stop: func() {
			qc.Interrupt(nil)
			must.NoError(t, <-done)
		},
	}
	return nd
}

func (nd *node) send(to *node, body messenger.Body) {
	nd.Send(to.Address(), messenger.Message{Sender: nd.member, Body: body})
}

// sendUntilDelivered sends a message repeatedly until it is delivered, since
// delivery is best effort.
func sendUntilDelivered(t *testing.T, from, to *node, body messenger.Body) messenger.Delivery {
	t.Helper()
	deadline := time.After(deliveryTimeout)
	for {
		from.send(to, body)
		select {
		case dy := <-to.Deliveries():
			if dy.Identity.Name == from.member.Name {
				return dy
			}
		case <-time.After(100 * time.Millisecond):
		case <-deadline:
			t.Fatal("message not delivered")
		}
	}
}

func TestMessagesFlowBothWaysOverOneConnection(t *testing.T) {
	authority := newAuthority(t)
	left, right := startNode(t, authority, "left", "127.0.0.1:0"), startNode(t, authority, "right", "127.0.0.1:0")
	defer left.stop()
	defer right.stop()
	dy := sendUntilDelivered(t, left, right, messenger.Ping{Sequence: 7})
	must.Eq(t, left.Address(), dy.From)
	must.Eq(t, messenger.Body(messenger.Ping{Sequence: 7}), dy.Message.Body)
	sendUntilDelivered(t, right, left, messenger.Ack{Sequence: 7})
	long := messenger.Snapshot{TopicVersion: topicVersions[0], Data: make([]byte, storer.MaxValueBytes)}
	for {
		dy = sendUntilDelivered(t, left, right, long)
		if snapshot, ok := dy.Message.Body.(messenger.Snapshot); ok {
			must.Eq(t, len(long.Data), len(snapshot.Data))
			return
		}
	}
}

func TestPeerIsReachableAfterRestart(t *testing.T) {
	authority := newAuthority(t)
	left, right := startNode(t, authority, "left", "127.0.0.1:0"), startNode(t, authority, "right", "127.0.0.1:0")
	defer left.stop()
	sendUntilDelivered(t, left, right, messenger.Ping{})
	address := right.Address().String()
	right.stop()
	left.send(right, messenger.Ping{})
	right = startNode(t, authority, "right", address)
	defer right.stop()
	sendUntilDelivered(t, left, right, messenger.Ping{})
}

func TestMessagesOfUnauthorisedPeersAreDropped(t *testing.T) {
	authority := newAuthority(t)
	receiver, peer := startNode(t, authority, "known", "127.0.0.1:0"), startNode(t, authority, "friend", "127.0.0.1:0")
	untrusted := startNode(t, newAuthority(t), "friend", "127.0.0.1:0")
	impostor := startNode(t, authority, "liar", "127.0.0.1:0")
	impostor.member.Name = "friend"
	defer receiver.stop()
	defer peer.stop()
	defer untrusted.stop()
	defer impostor.stop()
	for range 5 {
		untrusted.send(receiver, messenger.Ping{Sequence: 1})
		receiver.send(untrusted, messenger.Ping{Sequence: 1})
		impostor.send(receiver, messenger.Ping{Sequence: 1})
	}
	dy := sendUntilDelivered(t, peer, receiver, messenger.Ping{Sequence: 2})
	must.Eq(t, peer.Address(), dy.From)
	time.Sleep(200 * time.Millisecond)
	must.Eq(t, 0, len(untrusted.Deliveries()))
	for len(receiver.Deliveries()) > 0 {
		must.Eq(t, peer.Address(), (<-receiver.Deliveries()).From)
	}
}
