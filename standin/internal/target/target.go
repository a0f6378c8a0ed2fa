// Package target provides a stand-in of a back-end VM: an HTTP server with a
// limited number of slots and connections, service times drawn from
// distributions, injectable faults and an exact record of every execution.
package target

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"coltsfootwick.example/shared/store/storer"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/sampler"
)

// Target is one stand-in of a back-end VM. It is safe for concurrent use.
type Target struct {
	name          string
	zone          string
	rack          string
	address       netip.AddrPort
	adminAddress  netip.AddrPort
	slots         int
	connections   int
	longFrom      int
	answerBytes   int
	rebootTime    time.Duration
	runner        Runner
	recorder      *recorder
	answerSwapper *answerSwapper
	ctx           context.Context
	cancel        context.CancelFunc

	mu              sync.Mutex
	fault           Fault
	remainingFaults int
	incarnation     *incarnation
	admin           *http.Server
}

// New returns a target that listens on no address until Start.
func New(opts ...Option) *Target {
	tt := &Target{
		name:          "target",
		address:       loopback,
		adminAddress:  loopback,
		slots:         DefaultSlots,
		connections:   DefaultConnections,
		longFrom:      DefaultLongFrom,
		answerBytes:   DefaultAnswerBytes,
		rebootTime:    DefaultRebootTime,
		fault:         None{},
		answerSwapper: newAnswerSwapper(),
		runner: NewSampling(1,
			sampler.Exponential{Mean: DefaultUrgentMean},
			sampler.Exponential{Mean: DefaultLongMean},
		),
	}
	for _, opt := range opts {
		opt(tt)
	}
	tt.ctx, tt.cancel = context.WithCancel(context.Background())
	tt.recorder = newRecorder(tt.name, tt.slots)
	return tt
}

// Name returns the VM's name.
func (tt *Target) Name() string { return tt.name }

// Zone returns the availability zone.
func (tt *Target) Zone() string { return tt.zone }

// Address returns the address for requests. Its port is known after Start.
func (tt *Target) Address() netip.AddrPort {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.address
}

// AdminAddress returns the address of the admin port, which accepts faults and
// serves the record. Its port is known after Start.
func (tt *Target) AdminAddress() netip.AddrPort {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.adminAddress
}

// Start listens on both addresses and serves. Errors carry the code ListenFailed.
func (tt *Target) Start() error {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if err := tt.startAdmin(); err != nil {
		return err
	}
	if err := tt.open(); err != nil {
		_ = tt.admin.Close()
		return err
	}
	return nil
}

// Run starts the target, serves until ctx ends and closes it.
func (tt *Target) Run(ctx context.Context) error {
	if err := tt.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	tt.Close()
	return nil
}

// Close immediately closes the listeners and connections and cancels the executions.
func (tt *Target) Close() {
	tt.cancel()
	tt.mu.Lock()
	admin := tt.admin
	tt.admin = nil
	tt.mu.Unlock()
	tt.crash()
	if admin != nil {
		_ = admin.Close()
	}
}

// Report returns the record of all executions so far.
func (tt *Target) Report() Report { return tt.recorder.report() }

// SetFault injects a fault into the next count answers, or until the next call
// if count is zero. Crash takes effect immediately and ignores count. Any other
// fault reopens a crashed target. Errors carry the code ListenFailed.
func (tt *Target) SetFault(ft Fault, count int) error {
	if _, crashing := ft.(Crash); crashing {
		tt.setFault(ft, 0)
		tt.crash()
		return nil
	}
	tt.setFault(ft, count)
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if tt.incarnation == nil {
		return tt.open()
	}
	return nil
}

// Reboot crashes the target and reopens it without a fault after its reboot
// time. Errors carry the code ListenFailed, also if the target is closed meanwhile.
func (tt *Target) Reboot() error {
	if err := tt.SetFault(Crash{}, 0); err != nil {
		return err
	}
	if err := storer.Pause(tt.ctx, tt.rebootTime); err != nil {
		return classifier.Wrap(err, classifier.ListenFailed, "target %s was closed during its reboot", tt.name)
	}
	return tt.SetFault(None{}, 0)
}

// Fault returns the fault that applies to the next answer.
func (tt *Target) Fault() Fault {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.fault
}

func (tt *Target) setFault(ft Fault, count int) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.fault = ft
	tt.remainingFaults = count
}

// nextFault returns the fault for one request and decrements the remaining count.
func (tt *Target) nextFault() Fault {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	ft := tt.fault
	if tt.remainingFaults > 0 {
		tt.remainingFaults--
		if tt.remainingFaults == 0 {
			tt.fault = None{}
		}
	}
	return ft
}

// open listens on the target's address. The lock must be held.
func (tt *Target) open() error {
	if tt.ctx.Err() != nil {
		return classifier.New(classifier.ListenFailed, "target %s is closed", tt.name)
	}
	ln, err := net.Listen("tcp", tt.address.String())
	if err != nil {
		return classifier.Wrap(err, classifier.ListenFailed, "listen for requests to target %s", tt.name)
	}
	tt.address = addressOf(ln)
	tt.incarnation = newIncarnation(ln, tt.connections, tt.recorder, tt)
	return nil
}

func (tt *Target) crash() {
	tt.mu.Lock()
	in := tt.incarnation
	tt.incarnation = nil
	tt.mu.Unlock()
	if in != nil {
		in.crash()
	}
}

func (tt *Target) startAdmin() error {
	ln, err := net.Listen("tcp", tt.adminAddress.String())
	if err != nil {
		return classifier.Wrap(err, classifier.ListenFailed, "listen on admin port of target %s", tt.name)
	}
	tt.adminAddress = addressOf(ln)
	tt.admin = &http.Server{
		Handler:           newAdmin(tt),
		ReadHeaderTimeout: headerTimeout,
	}
	go func(server *http.Server) { _ = server.Serve(ln) }(tt.admin)
	return nil
}

func addressOf(ln net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(ln.Addr().String())
}

const headerTimeout = 10 * time.Second
