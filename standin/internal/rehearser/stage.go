package rehearser

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/allocator"
	"coltsfootwick.example/standin/internal/provider"
	"coltsfootwick.example/standin/internal/supervisor"
)

// The demo's size.
const (
	managers   = 3
	poolVMs    = 3
	standbyVMs = 2
	// routeTimeout bounds callers' requests.
	routeTimeout = 3 * time.Second
	// headerTimeout bounds the headers of calls to the stand-ins.
	headerTimeout = 5 * time.Second
)

// pools are the pools with queues.
var pools = []string{"checks", "batches"}

// stage is a running demo.
type stage struct {
	files, binaries string
	jobs            int
	provider        *provider.Provider
	servers         []*http.Server
	nodes           []*node
	client          *http.Client
	submitted       []submitted
	killed          string
}

// node is a manager.
type node struct {
	name, zone      string
	front, internal netip.AddrPort
	ready           netip.AddrPort
	supervisor      *supervisor.Supervisor
	child           *supervisor.Child
	isUp            bool
}

// submitted is a job that a caller has submitted.
type submitted struct {
	path        string
	at          time.Time
	completedAt time.Time
	isLong      bool
}

func newStage(files, binaries string, jobs int) (*stage, error) {
	se := &stage{
		files:    files,
		binaries: binaries,
		jobs:     jobs,
		provider: provider.New(),
		client: &http.Client{
			Timeout: 3 * time.Second,
		},
	}
	if err := se.addVMs(); err != nil {
		return nil, err
	}
	se.provider.Put("op/config", configuration(1, routeTimeout))
	se.putOddEntries()
	return se, se.startManagers()
}

// oddDepth is a depth that JSON decoders don't accept.
const oddDepth = 100_000

// putOddEntries leaves entries of another writer beside those of the workers and the
// operators. No process may end or stop following the others because of them.
func (se *stage) putOddEntries() {
	deep := strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth)
	worker := func(address, cpu string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","state":"ready","capacity":{"cpu":%s,"mem_mb":32000},"machine":"m-odd","born":1}`, pools[0], address, cpu)
	}
	for key, value := range map[string]string{
		"servers/odd-bytes":    "\x00\xff",
		"servers/odd-depth":    `{"labels":` + deep + `}`,
		"servers/odd-number":   worker("127.0.0.1:9", "1e400"),
		"servers/odd-capacity": worker("127.0.0.1:9", "9223372036854775807"),
		"servers/odd-port":     worker("127.0.0.1:99999", "8000"),
		"servers/odd-nobody":   worker("127.0.0.1:9", "8000"),
		"op/wave/odd":          deep,
		"op/wave/7":            `{"wave":7,"machines":` + deep + `,"duration_s":1e400,"cap":1}`,
	} {
		se.provider.Put(key, []byte(value))
	}
}

// serve serves a handler on a loopback address.
func (se *stage) serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, classifier.Wrap(err, classifier.ListenFailed, "stand-in")
	}
	sr := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
	}
	se.servers = append(se.servers, sr)
	// The server ends with the demo.
	go func() { _ = sr.Serve(listener) }()
	return netip.ParseAddrPort(listener.Addr().String())
}

func (se *stage) addVMs() error {
	capacity := modeller.Resources{
		MilliCores: 8000,
		MemoryMB:   32_000,
	}
	add := func(name, pool string, isStandby bool) error {
		address, err := se.serve(se.provider.WorkerHandler(name))
		if err == nil {
			se.provider.AddVM(name, pool, "a", address, capacity, isStandby)
		}
		return err
	}
	for _, pool := range pools {
		for number := range poolVMs {
			if err := add(fmt.Sprintf("m-%s-%d", pool, number), pool, false); err != nil {
				return err
			}
		}
	}
	for number := range standbyVMs {
		if err := add(fmt.Sprintf("m-standby-%d", number), provider.StandbyPool, true); err != nil {
			return err
		}
	}
	return nil
}

// configuration returns a version of the operators' configuration.
func configuration(version int, timeout time.Duration) []byte {
	var routes, services []map[string]any
	for _, pool := range pools {
		routes = append(routes, map[string]any{"name": "r-" + pool, "host": "jobs.example", "prefix": "/" + pool + "/", "service": pool,
			"timeout_ms": timeout.Milliseconds(), "slo_ms": 600, "priority": 0, "max_attempts": 3, "stretch": 1.6})
		services = append(services, map[string]any{"name": pool})
	}
	services = append(services, map[string]any{"name": provider.StandbyPool, "standby": true})
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]int{"max_body_bytes": 262_144}})
	if err != nil {
		panic("rehearser: " + err.Error())
	}
	return value
}

func (se *stage) startManagers() error {
	ports := allocator.New()
	vms, err := se.serve(se.provider.VMHandler())
	if err != nil {
		return err
	}
	advice, err := se.serve(se.provider.AdviceHandler())
	if err != nil {
		return err
	}
	for number := range managers {
		zone := fmt.Sprintf("z%d", number)
		store, err := se.serve(se.provider.StoreHandler(zone))
		if err != nil {
			return err
		}
		nd := &node{
			name:     "manager-" + zone,
			zone:     zone,
			front:    ports.Find(1, 1),
			internal: ports.Find(1, 1),
			ready:    ports.Find(1, 1),
		}
		if err := ports.Err(); err != nil {
			return err
		}
		if err := se.start(nd, store, vms, advice); err != nil {
			return err
		}
		se.nodes = append(se.nodes, nd)
	}
	return nil
}

// start writes a manager's settings file and starts it.
func (se *stage) start(nd *node, store, vms, advice netip.AddrPort) error {
	text := fmt.Sprintf(`node = %q
ip = %q
zone = %q
region = "demo"
port_range = [%d, %d]
orders = "rpc"
advice = %q
[listen]
front = %q
ready = %q
[limits]
memory_mb = 284
[bounds]
stop_grace_ms = 200
hold_max_ms = 10000
[platform]
address = %q
ttl_min_ms = 1000
[cloud_api]
address = %q
`, nd.name, nd.internal.Addr(), nd.zone, nd.internal.Port(), nd.internal.Port(), advice, nd.front, nd.ready, store, vms)
	path := filepath.Join(se.files, nd.name+".toml")
	const mode = 0o644
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		return classifier.Wrap(err, classifier.Internal, "%s", path)
	}
	nd.supervisor = supervisor.New(se.files, supervisor.WithVariables("COLTSFOOTWICK_BOOT="+path))
	child, err := nd.supervisor.Start(nd.name, filepath.Join(se.binaries, "coltsfootwick-manager"), "run")
	nd.child = child
	nd.isUp = err == nil
	return err
}

func (se *stage) close() {
	for _, nd := range se.nodes {
		nd.supervisor.KillAll()
	}
	for _, sr := range se.servers {
		_ = sr.Close()
	}
	se.provider.Close()
}
