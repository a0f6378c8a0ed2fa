package gossiper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/messenger"
)

// leaveFlushTime is how long a planned stop leaves for the farewells to go out.
const leaveFlushTime = 100 * time.Millisecond

// Delegate shares the transport with a Gossiper: it says what the node holds
// and takes the messages that come in. Its methods must not block.
type Delegate interface {
	// TopicVersions returns the settings revision and what the node has.
	TopicVersions() (revision uint64, holdings []messenger.TopicVersion)
	// Receive takes a message.
	Receive(dy messenger.Delivery)
	// MemberChanged is told of changes of the members.
	MemberChanged(change Change)
}

// Option is an option of New.
type Option func(*Gossiper)

// WithTuning sets the tuning. The default is DefaultTuning.
func WithTuning(tuning Tuning) Option {
	return func(gr *Gossiper) { gr.tuning = tuning }
}

// WithSeeds sets peer addresses to begin with.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(gr *Gossiper) { gr.seeds = seeds }
}

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return func(gr *Gossiper) { gr.logger = logger }
}

// Gossiper keeps the live members over a Transport. It is safe for concurrent
// use.
type Gossiper struct {
	transport messenger.Transport
	tuning    Tuning
	seeds     []netip.AddrPort
	logger    *zap.Logger

	mutex   sync.Mutex
	machine *Machine
}

// New returns a Gossiper for the node. The node's incarnation must be higher
// than at its earlier starts; milliseconds since 1970 will do.
func New(transport messenger.Transport, self messenger.Member, opts ...Option) *Gossiper {
	gr := &Gossiper{
		transport: transport,
		tuning:    DefaultTuning(),
		logger:    zap.NewNop(),
	}
	for _, opt := range opts {
		opt(gr)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	gr.machine = NewMachine(self, time.Now(), random, gr.tuning, gr.seeds...)
	return gr
}

// Self returns the node itself.
func (gr *Gossiper) Self() messenger.Member {
	gr.mutex.Lock()
	defer gr.mutex.Unlock()
	return gr.machine.Self()
}

// Live returns the other members that are alive or suspected.
func (gr *Gossiper) Live() []messenger.Member {
	gr.mutex.Lock()
	defer gr.mutex.Unlock()
	updates := gr.machine.Live()
	members := make([]messenger.Member, 0, len(updates))
	for _, update := range updates {
		members = append(members, update.Member)
	}
	return members
}

// AddSeeds adds peer addresses to begin with.
func (gr *Gossiper) AddSeeds(seeds ...netip.AddrPort) {
	gr.mutex.Lock()
	defer gr.mutex.Unlock()
	gr.machine.AddSeeds(seeds...)
}

// Run takes part until the context is done, then tells members of the planned
// stop and returns the context's error.
func (gr *Gossiper) Run(ctx context.Context, companion Delegate) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case dy := <-gr.transport.Deliveries():
			gr.receive(companion, dy)
		case <-timer.C:
			gr.step(companion, func(now time.Time) []Envelope { return gr.machine.Tick(now) })
		case <-ctx.Done():
			gr.step(companion, func(time.Time) []Envelope { return gr.machine.Leave() })
			time.Sleep(leaveFlushTime)
			return ctx.Err()
		}
		timer.Reset(gr.untilNextTick())
	}
}

// receive takes in a message: first what it holds, then what it says of
// members.
func (gr *Gossiper) receive(companion Delegate, dy messenger.Delivery) {
	gr.step(companion, func(now time.Time) []Envelope {
		return gr.machine.Receive(now, dy.From, dy.Message)
	})
	companion.Receive(dy)
}

// step lets the machine act, sends its messages and tells of changes.
func (gr *Gossiper) step(companion Delegate, act func(now time.Time) []Envelope) {
	revision, holdings := companion.TopicVersions()
	gr.mutex.Lock()
	gr.machine.SetTopicVersions(revision, holdings)
	envelopes := act(time.Now())
	changes := gr.machine.Changes()
	gr.mutex.Unlock()
	for _, ee := range envelopes {
		gr.transport.Send(ee.To, ee.Message)
	}
	for _, change := range changes {
		gr.logChange(change)
		companion.MemberChanged(change)
	}
}

func (gr *Gossiper) logChange(change Change) {
	member := change.Update.Member
	gr.logger.Info("member "+change.Update.State.String(),
		zap.String("member", member.Name),
		zap.String("zone", member.Zone),
		zap.Uint64("incarnation", member.Incarnation),
	)
}

// untilNextTick returns the time until the machine is due.
func (gr *Gossiper) untilNextTick() time.Duration {
	gr.mutex.Lock()
	defer gr.mutex.Unlock()
	return time.Until(gr.machine.NextTick())
}
