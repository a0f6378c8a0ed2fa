package rehearser

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
	"coltsfootwick.example/standin/internal/stager"
	"coltsfootwick.example/standin/internal/supervisor"
)

// The demo's size.
const (
	managers   = 3
	poolVMs    = 3
	standbyVMs = 2
	// routeTimeout bounds callers' requests.
	routeTimeout = 3 * time.Second
)

// pools are the pools with queues.
var pools = []string{"checks", "batches"}

// stage is a running demo.
type stage struct {
	*stager.Stage
	jobs      int
	nodes     []*node
	client    *http.Client
	submitted []submitted
	killed    string
}

// node is a manager with its process.
type node struct {
	*stager.Node
	child *supervisor.Child
	isUp  bool
}

// submitted is a job that a caller has submitted.
type submitted struct {
	path        string
	at          time.Time
	completedAt time.Time
	isLong      bool
}

func newStage(files, binaries string, jobs int, opts ...stager.Option) (*stage, error) {
	st, err := stager.New(files, binaries, opts...)
	if err != nil {
		return nil, err
	}
	se := &stage{
		Stage: st,
		jobs:  jobs,
		client: &http.Client{
			Timeout: 3 * time.Second,
		},
	}
	if err := se.addVMs(); err != nil {
		return nil, err
	}
	se.Provider().Put("op/config", configuration(1, routeTimeout))
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
		se.Provider().Put(key, []byte(value))
	}
}

func (se *stage) addVMs() error {
	capacity := modeller.Resources{
		MilliCores: 8000,
		MemoryMB:   32_000,
	}
	for _, pool := range pools {
		for number := range poolVMs {
			if err := se.AddVM(fmt.Sprintf("m-%s-%d", pool, number), pool, capacity, false); err != nil {
				return err
			}
		}
	}
	for number := range standbyVMs {
		if err := se.AddVM(fmt.Sprintf("m-standby-%d", number), provider.StandbyPool, capacity, true); err != nil {
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
	for number := range managers {
		sn, err := se.AddManager(fmt.Sprintf("z%d", number))
		if err != nil {
			return err
		}
		child, err := sn.Start()
		if err != nil {
			return err
		}
		se.nodes = append(se.nodes, &node{
			Node:  sn,
			child: child,
			isUp:  true,
		})
	}
	return nil
}
