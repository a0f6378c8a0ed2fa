// Package stager runs managers as processes against the stand-in of the users'
// platform, with the workers, the store and the other interfaces on loopback
// addresses.
package stager

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/allocator"
	"coltsfootwick.example/standin/internal/provider"
)

const (
	// headerTimeout bounds the headers of calls to the stand-ins.
	headerTimeout = 5 * time.Second
	// defaultGrace is the time from SIGTERM to SIGKILL.
	defaultGrace = 6 * time.Second
	// defaultMemoryMB is the memory of a manager's VM.
	defaultMemoryMB = 284
)

// Link returns the address at which one side of the stage reaches another, for
// example that of a proxy.
type Link func(target netip.AddrPort) (netip.AddrPort, error)

// Option changes one property of a new Stage.
type Option func(*Stage)

// WithProvider passes options to the platform's stand-in.
func WithProvider(opts ...provider.Option) Option {
	return func(se *Stage) { se.providerOptions = opts }
}

// WithWorkerLink sets the link between the managers and the worker of a VM.
func WithWorkerLink(link func(vm string) Link) Option {
	return func(se *Stage) { se.workerLink = link }
}

// WithStoreLink sets the link between the manager of an availability zone and the
// store.
func WithStoreLink(link func(zone string) Link) Option {
	return func(se *Stage) { se.storeLink = link }
}

// WithFrontLink sets the link between the callers and the manager of an availability
// zone.
func WithFrontLink(link func(zone string) Link) Option {
	return func(se *Stage) { se.frontLink = link }
}

// WithGrace sets the managers' time from SIGTERM to SIGKILL.
func WithGrace(grace time.Duration) Option {
	return func(se *Stage) { se.grace = grace }
}

// Limits are the limits of a manager's VM.
type Limits struct {
	// MemoryMB is the memory in MB.
	MemoryMB int
	// MaxFDs is the greatest number of open descriptors; zero leaves it out of the settings.
	MaxFDs int
}

// WithLimits sets the limits of the managers' VMs.
func WithLimits(limits Limits) Option {
	return func(se *Stage) { se.limits = limits }
}

// Stage is the platform's stand-in and the managers that use it.
type Stage struct {
	files, binaries       string
	providerOptions       []provider.Option
	provider              *provider.Provider
	ports                 *allocator.Allocator
	servers               []*http.Server
	nodes                 []*Node
	vms                   netip.AddrPort
	workerLink, storeLink func(name string) Link
	frontLink             func(name string) Link
	grace                 time.Duration
	limits                Limits
}

// New returns a stage without VMs and managers. Settings files and logs are written
// to the directory files; binaries is the directory of the programs.
func New(files, binaries string, opts ...Option) (*Stage, error) {
	se := &Stage{
		files:      files,
		binaries:   binaries,
		ports:      allocator.New(),
		workerLink: direct,
		storeLink:  direct,
		frontLink:  direct,
		grace:      defaultGrace,
		limits: Limits{
			MemoryMB: defaultMemoryMB,
		},
	}
	for _, opt := range opts {
		opt(se)
	}
	se.provider = provider.New(se.providerOptions...)
	var err error
	se.vms, err = se.serve(se.provider.VMHandler())
	return se, err
}

// direct links to the target itself.
func direct(string) Link {
	return func(target netip.AddrPort) (netip.AddrPort, error) { return target, nil }
}

// Provider returns the stand-in of the platform.
func (se *Stage) Provider() *provider.Provider { return se.provider }

// Nodes returns the managers.
func (se *Stage) Nodes() []*Node { return se.nodes }

// AddVM adds a VM to a pool.
func (se *Stage) AddVM(name, pool string, capacity modeller.Resources, isStandby bool, opts ...provider.VMOption) error {
	address, err := se.serve(se.provider.WorkerHandler(name), func(sr *http.Server) {
		sr.ConnState = se.provider.WorkerConnState(name)
		sr.ConnContext = se.provider.WorkerConnContext(name)
	})
	if err != nil {
		return err
	}
	if address, err = se.workerLink(name)(address); err != nil {
		return err
	}
	se.provider.AddVM(name, pool, "a", address, capacity, isStandby, opts...)
	return nil
}

// AddManager adds a manager in an availability zone of its own, which isn't started.
func (se *Stage) AddManager(zone string) (*Node, error) {
	store, err := se.serve(se.provider.StoreHandler(zone))
	if err != nil {
		return nil, err
	}
	if store, err = se.storeLink(zone)(store); err != nil {
		return nil, err
	}
	advice, err := se.serve(se.provider.AdviceHandler())
	if err != nil {
		return nil, err
	}
	nd := newNode(se, zone)
	if err := se.ports.Err(); err != nil {
		return nil, err
	}
	if nd.Entrance, err = se.frontLink(zone)(nd.Front); err != nil {
		return nil, err
	}
	se.nodes = append(se.nodes, nd)
	return nd, nd.writeSettings(store, advice)
}

// serve serves a handler on a loopback address until Close is called.
func (se *Stage) serve(handler http.Handler, opts ...func(sr *http.Server)) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, classifier.Wrap(err, classifier.ListenFailed, "stand-in")
	}
	sr := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
	}
	for _, opt := range opts {
		opt(sr)
	}
	se.servers = append(se.servers, sr)
	// The server ends with the stage.
	go func() { _ = sr.Serve(listener) }()
	return netip.ParseAddrPort(listener.Addr().String())
}

// Close ends all managers and the stand-ins.
func (se *Stage) Close() {
	for _, nd := range se.nodes {
		nd.supervisor.KillAll()
	}
	for _, sr := range se.servers {
		_ = sr.Close()
	}
	se.provider.Close()
	se.ports.Close()
}
