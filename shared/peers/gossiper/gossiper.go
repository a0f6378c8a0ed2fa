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

// leaveFlushTime is the time that a planned stop waits for the leave messages to
// be sent.
const leaveFlushTime = 100 * time.Millisecond

// Delegate is the other user of a Gossiper's transport: it supplies the topic
// versions for pings and acknowledgements, and handles received messages. Its
// methods must not block.
type Delegate interface {
	// TopicVersions returns the settings revision and the topic versions
	// that the node holds.
	TopicVersions() (revision uint64, versions []messenger.TopicVersion)
	// Receive handles a received message, after the Gossiper has processed it.
	Receive(dy messenger.Delivery)
	// MemberChanged is called when the state of a member has changed.
	MemberChanged(change Change)
}

// Option is an option of New.
type Option func(*Gossiper)

// WithTuning sets the tuning. The default is DefaultTuning.
func WithTuning(tuning Tuning) Option {
	return func(gr *Gossiper) { gr.tuning = tuning }
}

// WithSeeds sets peer addresses through which the node joins.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(gr *Gossiper) { gr.seeds = seeds }
}

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return func(gr *Gossiper) { gr.logger = logger }
}

// Gossiper runs a Machine over a Transport. It is safe for concurrent use.
type Gossiper struct {
	transport messenger.Transport
	tuning    Tuning
	seeds     []netip.AddrPort
	logger    *zap.Logger

	mutex   sync.Mutex
	machine *Machine
}

// New returns a Gossiper for the node. The node's incarnation must be higher
// than at its earlier starts, such as the Unix time in milliseconds.
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

// AddSeeds adds peer addresses through which the node joins.
func (gr *Gossiper) AddSeeds(seeds ...netip.AddrPort) {
	gr.mutex.Lock()
	defer gr.mutex.Unlock()
	gr.machine.AddSeeds(seeds...)
}

// Run executes the protocol until the context is done, then announces to
// members that the node leaves and returns the context's error.
func (gr *Gossiper) Run(ctx context.Context, delegate Delegate) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case dy := <-gr.transport.Deliveries():
			gr.receive(delegate, dy)
		case <-timer.C:
			gr.step(delegate, func(now time.Time) []Envelope { return gr.machine.Tick(now) })
		case <-ctx.Done():
			gr.step(delegate, func(time.Time) []Envelope { return gr.machine.Leave() })
			time.Sleep(leaveFlushTime)
			return ctx.Err()
		}
		timer.Reset(gr.untilNextTick())
	}
}

// receive passes a message first to the machine and then to the delegate.
func (gr *Gossiper) receive(delegate Delegate, dy messenger.Delivery) {
	gr.step(delegate, func(now time.Time) []Envelope {
		return gr.machine.Receive(now, dy.From, dy.Message)
	})
	delegate.Receive(dy)
}

// step calls act on the machine, sends the resulting messages and reports
// changes of members to the delegate.
func (gr *Gossiper) step(delegate Delegate, act func(now time.Time) []Envelope) {
	revision, versions := delegate.TopicVersions()
	gr.mutex.Lock()
	gr.machine.SetTopicVersions(revision, versions)
	envelopes := act(time.Now())
	changes := gr.machine.Changes()
	gr.mutex.Unlock()
	for _, ee := range envelopes {
		gr.transport.Send(ee.To, ee.Message)
	}
	for _, change := range changes {
		gr.logChange(change)
		delegate.MemberChanged(change)
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

// untilNextTick returns the time until the machine's next tick.
func (gr *Gossiper) untilNextTick() time.Duration {
	gr.mutex.Lock()
	defer gr.mutex.Unlock()
	return time.Until(gr.machine.NextTick())
}
