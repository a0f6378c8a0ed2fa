package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-entry/internal/budgeter"
	"coltsfootwick.example/coltsfootwick-entry/internal/conductor"
	"coltsfootwick.example/coltsfootwick-entry/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-entry/internal/follower"
	"coltsfootwick.example/coltsfootwick-entry/internal/meter"
	"coltsfootwick.example/coltsfootwick-entry/internal/receiver"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/peers/announcer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/requests/journaler"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

const regionSettings = `
[organisation]
name = "Test"

[services.claims]
pathPrefix = "/claims/"
pool = "claims"
notRepeatable = true

[pools.claims]
`

// testRegion is a region in virtual time: a platform, targets and entries.
type testRegion struct {
	context context.Context
	keeper  *keeper.Keeper
	targets []*fakeTarget
	// directory is the directory that was stored last.
	directory registrar.Directory

	mutex sync.Mutex
	// runs counts the executions by key, or by request ID if there is no key.
	runs map[string]int
	// requests counts the executions by request ID.
	requests map[string]int
}

func newTestRegion(ctx context.Context, targets int) *testRegion {
	rn := &testRegion{
		context:  ctx,
		keeper:   keeper.New(),
		runs:     map[string]int{},
		requests: map[string]int{},
	}
	rn.directory = registrar.Directory{Zone: "a", Epoch: 1, Version: 1}
	for index := range targets {
		rn.targets = append(rn.targets, &fakeTarget{region: rn})
		rn.directory.Targets = append(rn.directory.Targets, registrar.Target{
			VM:      fmt.Sprintf("a-%02d", index),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(index+1)),
			Pool:    "claims",
			Rack:    "a-r1",
			State:   registrar.InService,
		})
	}
	settings, _ := configurer.EncodeRecord(configurer.Record{Revision: 1, ChangeID: "c1", Source: regionSettings})
	rn.put(storer.SettingsHeadKey, settings)
	rn.putDirectory()
	return rn
}

func (rn *testRegion) put(key string, value []byte) {
	store := rn.keeper.Zone("z")
	ey, _ := store.Get(rn.context, key)
	if _, err := store.Put(rn.context, key, value, ey.Revision, 0); err != nil {
		panic(err)
	}
}

func (rn *testRegion) putDirectory() {
	directory, _ := registrar.Encode(rn.directory)
	rn.put(storer.DirectoryPrefix+"a", directory)
}

func (rn *testRegion) keyRuns(name string) int {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.runs[name]
}

func (rn *testRegion) requestRuns(id string) int {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.requests[id]
}

// behaviour is how a target handles a connection or request.
type behaviour int

const (
	answerNormally behaviour = iota
	crashBeforeRun
	crashAfterRun
	truncateAnswer
	refuseDraining
	refuseConnection
	behaviourCount
)

// fakeTarget is a target that receives requests over pipes.
type fakeTarget struct {
	region *testRegion
	mutex  sync.Mutex
	next   []behaviour
	count  int
}

// served returns the number of requests that reached the target.
func (ft *fakeTarget) served() int {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	return ft.count
}

// nextBehaviour returns the behaviour for the next connection (dial) or request.
func (ft *fakeTarget) nextBehaviour(dial bool) behaviour {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	if !dial {
		ft.count++
	}
	if len(ft.next) == 0 || dial != (ft.next[0] == refuseConnection) {
		return answerNormally
	}
	first := ft.next[0]
	ft.next = ft.next[1:]
	return first
}

func (ft *fakeTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	hr, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, hr.Body); err != nil {
		return
	}
	attempt := hr.Header.Get("Coltsfootwick-Attempt")
	id := hr.Header.Get("X-Request-Id")
	action := ft.nextBehaviour(false)
	switch action {
	case crashBeforeRun:
		return
	case refuseDraining:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nColtsfootwick-Draining: true\r\nColtsfootwick-Attempt: %s\r\nContent-Length: 0\r\n\r\n", attempt)
		return
	}
	ft.run(hr.Header.Get("Idempotency-Key"), id)
	time.Sleep(20 * time.Millisecond)
	answer := fmt.Sprintf("HTTP/1.1 201 Created\r\nColtsfootwick-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(id), id)
	switch action {
	case crashAfterRun:
	case truncateAnswer:
		_, _ = io.WriteString(conn, answer[:len(answer)-1])
	default:
		_, _ = io.WriteString(conn, answer)
	}
}

func (ft *fakeTarget) run(key, id string) {
	rn := ft.region
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if key == "" {
		key = id
	}
	rn.runs[key]++
	rn.requests[id]++
}

// gate simulates a frozen or killed entry: each outgoing call of the entry passes
// it, waits while it is frozen, and fails once it is killed.
type gate struct {
	mutex       sync.Mutex
	frozenUntil time.Time
	killed      bool
}

var errKilled = classifier.Wrap(errors.New("killed"), classifier.PlatformUnavailable, "call of an entry that the test has killed")

func (ge *gate) pass() error {
	for {
		ge.mutex.Lock()
		wait, killed := time.Until(ge.frozenUntil), ge.killed
		ge.mutex.Unlock()
		if killed {
			return errKilled
		}
		if wait <= 0 {
			return nil
		}
		time.Sleep(wait)
	}
}

func (ge *gate) freeze(length time.Duration) {
	ge.mutex.Lock()
	defer ge.mutex.Unlock()
	ge.frozenUntil = time.Now().Add(length)
}

func (ge *gate) kill() {
	ge.mutex.Lock()
	defer ge.mutex.Unlock()
	ge.killed = true
}

// gatedStore is a Store whose calls that the journal depends on pass the gate.
type gatedStore struct {
	storer.Store
	gate *gate
}

func (gs gatedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := gs.gate.pass(); err != nil {
		return storer.Entry{}, err
	}
	ey, err := gs.Store.Get(ctx, key)
	return ey, errors.Join(err, gs.gate.pass())
}

func (gs gatedStore) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	if err := gs.gate.pass(); err != nil {
		return 0, err
	}
	revision, err := gs.Store.Put(ctx, key, value, expected, lease)
	return revision, errors.Join(err, gs.gate.pass())
}

func (gs gatedStore) Renew(ctx context.Context, lease storer.LeaseID) error {
	if err := gs.gate.pass(); err != nil {
		return err
	}
	return gs.Store.Renew(ctx, lease)
}

// gatedConn is a connection whose writes pass the gate.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (gc gatedConn) Write(data []byte) (int, error) {
	if err := gc.gate.pass(); err != nil {
		return 0, err
	}
	return gc.Conn.Write(data)
}

// entry is an entry of a testRegion.
type entry struct {
	*receiver.Receiver
	gate *gate
	stop context.CancelFunc
}

func (rn *testRegion) startEntry(name, zone string) *entry {
	ctx, cancel := context.WithCancel(rn.context)
	ge := &gate{}
	store := gatedStore{Store: rn.keeper.Zone(zone), gate: ge}
	logger := zap.NewNop()
	fr := follower.New(store, "a", logger)
	dial := dispatcher.WithDial(func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
		ft := rn.targets[address.Port()-1]
		if err := ge.pass(); err != nil || ft.nextBehaviour(true) == refuseConnection {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		go ft.serve(far)
		return gatedConn{Conn: near, gate: ge}, nil
	})
	mr := meter.New()
	cr := conductor.New(name, fr.Updates(), budgeter.New(64<<20), mr, logger, conductor.WithDispatcherOptions(dial))
	jl := journaler.New(store, name, journaler.WithShards(2))
	ar := announcer.New(store, reporter.Member{Name: name, Role: reporter.Entry, Zone: "a", Incarnation: name}, logger, announcer.WithTTL(5*time.Second))
	for _, duty := range []func(context.Context) error{fr.Run, cr.Run, jl.Run, ar.Run} {
		go func() { _ = duty(ctx) }()
	}
	return &entry{
		Receiver: receiver.New(name, cr, jl, cr, mr, logger),
		gate:     ge,
		stop:     cancel,
	}
}

// answer is the answer to a caller; its status is zero if the entry was killed.
type answer struct {
	status int
	body   string
}

func (ar answer) contains(text string) bool { return strings.Contains(ar.body, text) }

// callerRecorder records the answer to a caller.
type callerRecorder struct {
	*httptest.ResponseRecorder
}

func (callerRecorder) SetReadDeadline(time.Time) error { return nil }

// send sends a request to the entry. It returns a zero answer if the entry is
// killed in the meantime.
func (ey *entry) send(ctx context.Context, id, key, body string) (got answer) {
	defer func() {
		if recover() != nil {
			got = answer{}
		}
	}()
	hr := httptest.NewRequestWithContext(ctx, http.MethodPost, "/claims/file", strings.NewReader(body))
	hr.Header.Set("X-Request-Id", id)
	if key != "" {
		hr.Header.Set("Idempotency-Key", key)
	}
	cs := callerRecorder{ResponseRecorder: httptest.NewRecorder()}
	ey.ServeHTTP(cs, hr)
	if ey.gate.pass() != nil {
		return answer{}
	}
	return answer{
		status: cs.Code,
		body:   cs.Body.String(),
	}
}
