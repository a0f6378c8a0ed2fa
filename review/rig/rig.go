package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	region        = "addis"
	host          = "jobs.example"
	program       = "target/coltsfootwick-manager"
	readyTimeout  = 15 * time.Second
	requestTime   = 3 * time.Second
	retryInterval = 500 * time.Millisecond
	pollInterval  = 20 * time.Millisecond
	// firstPort and portCount are the range of the managers' ports.
	firstPort    = 20000
	portCount    = 10000
	portAttempts = 1000
)

// zones are the zones of the managers, one in each.
var zones = []string{"bole", "arada", "kirkos"}

// rig is a running deployment with its stand-ins.
type rig struct {
	rec        *record
	hasTrouble bool
	folder     string
	store      *store
	fleet      *fleet
	adviser    *adviser
	managers   []*manager
	client     *http.Client
}

// manager is a process of the project.
type manager struct {
	name, zone, front, ready, internal string
	settings                           string
	command                            *exec.Cmd
	// storeCut is true while the manager is cut off from the store.
	storeCut atomic.Bool
}

// storeHandler is the store as a manager sees it. Behind a cut no call is answered, and
// none is carried out.
func (ma *manager) storeHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if ma.storeCut.Load() {
			<-rq.Context().Done()
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(&cutWriter{ResponseWriter: rw, isCut: &ma.storeCut}, rq)
	})
}

// cutWriter loses answers while there is a cut.
type cutWriter struct {
	http.ResponseWriter
	isCut *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (cw *cutWriter) WriteHeader(status int) {
	if cw.isCut.Load() {
		panic(http.ErrAbortHandler)
	}
	cw.ResponseWriter.WriteHeader(status)
}

func newRig(rec *record, hasTrouble bool) (*rig, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	st := newStore()
	rg := &rig{
		rec: rec, hasTrouble: hasTrouble, folder: folder, store: st, fleet: newFleet(rec, st), adviser: &adviser{rec: rec},
		client: &http.Client{Timeout: requestTime},
	}
	return rg, nil
}

// start starts the managers and waits until they are ready and one holds the duty.
func (rg *rig) start() error {
	addresses, err := serveAll(rg.fleet.machinesHandler(), rg.adviser.handler())
	if err != nil {
		return err
	}
	for _, zone := range zones {
		ports, err := freeAddresses(3)
		if err != nil {
			return err
		}
		ma := &manager{name: "edge-" + zone + "-1", zone: zone, front: ports[0], ready: ports[1], internal: ports[2]}
		storeAddress, err := serveAll(ma.storeHandler(rg.store.handler()))
		if err != nil {
			return err
		}
		ma.settings = filepath.Join(rg.folder, ma.name+".toml")
		if err := os.WriteFile(ma.settings, settings(ma, append(storeAddress, addresses...)), 0o600); err != nil {
			return err
		}
		if err := rg.startManager(ma); err != nil {
			return err
		}
		rg.managers = append(rg.managers, ma)
	}
	return rg.await("the managers are ready", readyTimeout, func() bool {
		for _, ma := range rg.managers {
			response, err := rg.client.Get("http://" + ma.ready + "/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return rg.holder() != nil
	})
}

// startManager starts a process as the deploy file does.
func (rg *rig) startManager(ma *manager) error {
	output, err := os.Create(filepath.Join(rg.folder, ma.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	ma.command = exec.Command(program, "run")
	ma.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + rg.folder, "COLTSFOOTWICK_BOOT=" + ma.settings}
	ma.command.Stdout, ma.command.Stderr = output, output
	ma.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	rg.rec.log("%s starts, front %s, internal %s", ma.name, ma.front, ma.internal)
	return ma.command.Start()
}

// kill ends a manager with SIGKILL.
func (rg *rig) kill(ma *manager) {
	rg.rec.log("%s is killed", ma.name)
	_ = ma.command.Process.Kill()
	_ = ma.command.Wait()
	ma.command = nil
}

// holder returns the manager that holds the scheduler's duty, or nil.
func (rg *rig) holder() *manager {
	address := rg.store.value("duties/" + region + "/scheduler")
	for _, ma := range rg.managers {
		if ma.internal == address {
			return ma
		}
	}
	return nil
}

// named returns the manager with a name, or nil.
func (rg *rig) named(name string) *manager {
	for _, ma := range rg.managers {
		if ma.name == name {
			return ma
		}
	}
	return nil
}

func (rg *rig) close() {
	for _, ma := range rg.managers {
		if ma.command != nil {
			_ = ma.command.Process.Kill()
			_ = ma.command.Wait()
		}
	}
	if os.Getenv("KEEP") != "" {
		rg.rec.log("the logs are in %s", rg.folder)
		return
	}
	_ = os.RemoveAll(rg.folder)
}

// await waits until a condition holds.
func (rg *rig) await(what string, timeout time.Duration, condition func() bool) error {
	until := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(until) {
			return fmt.Errorf("not within %s: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
	rg.rec.log("%s", what)
	return nil
}

// step is a step of a job on the wire.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem_mb"`
	EstimateMS  int    `json:"estimate_ms"`
	After       []int  `json:"after,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`
}

// submit hands in a job, as a requester that repeats a request without an answer at
// another node.
func (rg *rig) submit(path, id string, wo work, steps ...step) error {
	for attempt := range 2 * len(rg.managers) {
		ma := rg.managers[attempt%len(rg.managers)]
		if ma.command == nil {
			continue
		}
		if status, _ := rg.submitAt(ma, path, id, wo, steps...); status == http.StatusOK {
			return nil
		}
		time.Sleep(retryInterval)
	}
	return errors.New("job " + id + " was not accepted")
}

// submitAt hands in a job at one manager.
func (rg *rig) submitAt(ma *manager, path, id string, wo work, steps ...step) (status int, text string) {
	spec, err := json.Marshal(wo)
	if err != nil {
		return 0, err.Error()
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	if err != nil {
		return 0, err.Error()
	}
	status, text = rg.request(ma, http.MethodPost, path+id, body)
	rg.rec.log("POST %s%s at %s: %d %s", path, id, ma.name, status, text)
	return status, text
}

// request sends a request to a manager. The status is 0 without an answer.
func (rg *rig) request(ma *manager, method, path string, body []byte) (status int, text string) {
	rq, err := http.NewRequest(method, "http://"+ma.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	rq.Host = host
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Deadline-Ms", "3000")
	response, err := rg.client.Do(rq)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(bytes.TrimSpace(data))
}

// show records a job's state as each manager answers it.
func (rg *rig) show(path, id string) {
	for _, ma := range rg.managers {
		if ma.command == nil {
			continue
		}
		status, text := rg.request(ma, http.MethodGet, path+id, nil)
		rg.rec.log("GET %s%s at %s: %d %s", path, id, ma.name, status, text)
	}
}

// serveAll serves handlers on loopback addresses.
func serveAll(handlers ...http.Handler) ([]string, error) {
	var addresses []string
	for _, handler := range handlers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(listener, handler) }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// freeAddresses returns free loopback addresses. Their ports are below those that the
// kernel gives to outgoing channels, which could take one before its manager listens.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for attempt := 0; len(addresses) < count && attempt < portAttempts; attempt++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if slices.Contains(addresses, address) {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < count {
		return nil, errors.New("there are no free ports")
	}
	return addresses, nil
}

// settings returns the settings file of a manager, in the layout of DEPLOY.md.
func settings(ma *manager, addresses []string) []byte {
	_, port, _ := net.SplitHostPort(ma.internal)
	return fmt.Appendf(nil, `node = %q
role = "manager"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = %q
region = %q
port_range = [%s, %s]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
orders = "rpc"
advice = %q
[zones]
bole = "addis"
arada = "addis"
kirkos = "addis"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 10000
stop_grace_ms = 900
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fencing = true
lease_ms = 3000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud_api]
address = %q
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`, ma.name, ma.zone, region, port, port, addresses[2], ma.front, ma.ready, addresses[0], addresses[1])
}

// route is a queue in the configuration.
func route(name, prefix, service string, timeoutMS int) map[string]any {
	return map[string]any{"name": name, "host": host, "prefix": prefix, "type": "non_idempotent", "timeout_ms": timeoutMS, "slo_ms": 600,
		"priority": 0, "service": service, "max_attempts": 3, "stretch": 1.6}
}

// configure writes a configuration, as the operator does.
func (rg *rig) configure(version int, services []string, routes ...map[string]any) {
	var entries []map[string]any
	for _, name := range services {
		entries = append(entries, map[string]any{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"rejects_overload": false, "standby": false})
	}
	rg.store.put("op/config", map[string]any{"version": version, "routes": routes, "services": entries,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	var names []any
	for _, rt := range routes {
		names = append(names, rt["name"])
	}
	rg.rec.log("the operator writes version %d with the routes %v; the store acknowledges it", version, names)
}
