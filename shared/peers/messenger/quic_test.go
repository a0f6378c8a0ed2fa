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

// patience bounds waits for what must come; it decides nothing else.
const patience = 30 * time.Second

func newAuthority(t *testing.T) certifier.KeyPair {
	pr, err := certifier.NewAuthority("example", time.Now(), time.Hour)
	must.NoError(t, err)
	return pr
}

// node is a transport with what it calls itself.
type node struct {
	*messenger.QUIC
	member messenger.Member
	end    func()
}

func startNode(t *testing.T, by certifier.KeyPair, name, address string) *node {
	id := certifier.Identity{Name: name, Role: reporter.Entry, Zone: "a"}
	pr, err := certifier.Issue(by, id, time.Now(), time.Hour)
	must.NoError(t, err)
	cr, err := certifier.NewChecker(by.Certificate, pr)
	must.NoError(t, err)
	return startWith(t, cr, address)
}

func startWith(t *testing.T, cr *certifier.Checker, address string) *node {
	qc, err := messenger.NewQUIC(netip.MustParseAddrPort(address), cr, zap.NewNop())
	must.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- qc.Execute() }()
	nd := &node{
		QUIC: qc,
		member: messenger.Member{
			Name:        cr.Identity().Name,
			Role:        reporter.Entry,
			Zone:        "a",
			PeerAddress: qc.Address(),
		},
		end: func() {
			qc.Interrupt(nil)
			must.NoError(t, <-ended)
		},
	}
	return nd
}

func (nd *node) say(to *node, body messenger.Body) {
	nd.Send(to.Address(), messenger.Message{Sender: nd.member, Body: body})
}

// tell repeats a message until it is delivered, as messages are best effort.
func tell(t *testing.T, from, to *node, body messenger.Body) messenger.Delivery {
	t.Helper()
	deadline := time.After(patience)
	for {
		from.say(to, body)
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

func TestMessagesGoBothWaysOverOneConnection(t *testing.T) {
	by := newAuthority(t)
	left, right := startNode(t, by, "left", "127.0.0.1:0"), startNode(t, by, "right", "127.0.0.1:0")
	defer left.end()
	defer right.end()
	dy := tell(t, left, right, messenger.Ping{Sequence: 7})
	must.Eq(t, left.Address(), dy.From)
	must.Eq(t, messenger.Body(messenger.Ping{Sequence: 7}), dy.Message.Body)
	tell(t, right, left, messenger.Ack{Sequence: 7})
	long := messenger.Snapshot{TopicVersion: holdings[0], Data: make([]byte, storer.MaxValueBytes)}
	for {
		dy = tell(t, left, right, long)
		if news, ok := dy.Message.Body.(messenger.Snapshot); ok {
			must.Eq(t, len(long.Data), len(news.Data))
			return
		}
	}
}

func TestRestartedPeerIsReachedAgain(t *testing.T) {
	by := newAuthority(t)
	left, right := startNode(t, by, "left", "127.0.0.1:0"), startNode(t, by, "right", "127.0.0.1:0")
	defer left.end()
	tell(t, left, right, messenger.Ping{})
	address := right.Address().String()
	right.end()
	left.say(right, messenger.Ping{})
	right = startNode(t, by, "right", address)
	defer right.end()
	tell(t, left, right, messenger.Ping{})
}

func TestStrangersGetNothing(t *testing.T) {
	by := newAuthority(t)
	known, friend := startNode(t, by, "known", "127.0.0.1:0"), startNode(t, by, "friend", "127.0.0.1:0")
	stranger := startNode(t, newAuthority(t), "friend", "127.0.0.1:0")
	liar := startNode(t, by, "liar", "127.0.0.1:0")
	liar.member.Name = "friend"
	defer known.end()
	defer friend.end()
	defer stranger.end()
	defer liar.end()
	for range 5 {
		stranger.say(known, messenger.Ping{Sequence: 1})
		known.say(stranger, messenger.Ping{Sequence: 1})
		liar.say(known, messenger.Ping{Sequence: 1})
	}
	dy := tell(t, friend, known, messenger.Ping{Sequence: 2})
	must.Eq(t, friend.Address(), dy.From)
	time.Sleep(200 * time.Millisecond)
	must.Eq(t, 0, len(stranger.Deliveries()))
	for len(known.Deliveries()) > 0 {
		must.Eq(t, friend.Address(), (<-known.Deliveries()).From)
	}
}
