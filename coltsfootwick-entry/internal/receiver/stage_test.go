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

const stageSettings = `
[organisation]
name = "Test"

[services.claims]
pathPrefix = "/claims/"
pool = "claims"
notRepeatable = true

[pools.claims]
`

// stage is a region in virtual time: a platform, targets and entries.
type stage struct {
	context context.Context
	keeper  *keeper.Keeper
	targets []*fakeTarget
	// directory is the directory as it was put last.
	directory registrar.Directory

	mutex sync.Mutex
	// runs counts the executions by key or, without one, by request.
	runs map[string]int
	// requests counts the executions by request.
	requests map[string]int
}

func newStage(ctx context.Context, targets int) *stage {
	sg := &stage{
		context:  ctx,
		keeper:   keeper.New(),
		runs:     map[string]int{},
		requests: map[string]int{},
	}
	sg.directory = registrar.Directory{Zone: "a", Epoch: 1, Version: 1}
	for index := range targets {
		sg.targets = append(sg.targets, &fakeTarget{stage: sg})
		sg.directory.Targets = append(sg.directory.Targets, registrar.Target{
			VM:      fmt.Sprintf("a-%02d", index),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(index+1)),
			Pool:    "claims",
			Rack:    "a-r1",
			State:   registrar.InService,
		})
	}
	settings, _ := configurer.EncodeRecord(configurer.Record{Revision: 1, ChangeID: "c1", Source: stageSettings})
	sg.put(storer.SettingsHeadKey, settings)
	sg.putDirectory()
	return sg
}

func (sg *stage) put(key string, value []byte) {
	store := sg.keeper.Zone("z")
	ey, _ := store.Get(sg.context, key)
	if _, err := store.Put(sg.context, key, value, ey.Revision, 0); err != nil {
		panic(err)
	}
}

func (sg *stage) putDirectory() {
	directory, _ := registrar.Encode(sg.directory)
	sg.put(storer.DirectoryPrefix+"a", directory)
}

func (sg *stage) ran(name string) int {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	return sg.runs[name]
}

func (sg *stage) requestRan(id string) int {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	return sg.requests[id]
}

// behaviour is what a target does with a request.
type behaviour int

const (
	sound behaviour = iota
	crashBefore
	crashAfter
	cutShort
	drain
	refuseConnection
	behaviours
)

// fakeTarget runs requests that reach it over pipes.
type fakeTarget struct {
	stage *stage
	mutex sync.Mutex
	next  []behaviour
	count int
}

// served counts the requests that reached the target.
func (ft *fakeTarget) served() int {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	return ft.count
}

// behave returns what to do with the next connection or request.
func (ft *fakeTarget) behave(dial bool) behaviour {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	if !dial {
		ft.count++
	}
	if len(ft.next) == 0 || dial != (ft.next[0] == refuseConnection) {
		return sound
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
	doing := ft.behave(false)
	switch doing {
	case crashBefore:
		return
	case drain:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nColtsfootwick-Draining: true\r\nColtsfootwick-Attempt: %s\r\nContent-Length: 0\r\n\r\n", attempt)
		return
	}
	ft.run(hr.Header.Get("Idempotency-Key"), id)
	time.Sleep(20 * time.Millisecond)
	answer := fmt.Sprintf("HTTP/1.1 201 Created\r\nColtsfootwick-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(id), id)
	switch doing {
	case crashAfter:
	case cutShort:
		_, _ = io.WriteString(conn, answer[:len(answer)-1])
	default:
		_, _ = io.WriteString(conn, answer)
	}
}

func (ft *fakeTarget) run(key, id string) {
	sg := ft.stage
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	if key == "" {
		key = id
	}
	sg.runs[key]++
	sg.requests[id]++
}

// gate is what an entry's calls pass on their way out; it freezes and kills the
// entry.
type gate struct {
	mutex  sync.Mutex
	thaw   time.Time
	killed bool
}

var errKilled = classifier.Wrap(errors.New("killed"), classifier.PlatformUnavailable, "the entry is dead")

func (ge *gate) pass() error {
	for {
		ge.mutex.Lock()
		wait, killed := time.Until(ge.thaw), ge.killed
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
	ge.thaw = time.Now().Add(length)
}

func (ge *gate) kill() {
	ge.mutex.Lock()
	defer ge.mutex.Unlock()
	ge.killed = true
}

// gatedStore passes the gate before and after each call that matters to a journal.
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

// gatedConn passes the gate before each write.
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

// entry is an entry of the stage.
type entry struct {
	*receiver.Receiver
	gate *gate
	stop context.CancelFunc
}

func (sg *stage) start(name, zone string) *entry {
	ctx, cancel := context.WithCancel(sg.context)
	ge := &gate{}
	store := gatedStore{Store: sg.keeper.Zone(zone), gate: ge}
	logger := zap.NewNop()
	fr := follower.New(store, "a", logger)
	dial := dispatcher.WithDial(func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
		ft := sg.targets[address.Port()-1]
		if err := ge.pass(); err != nil || ft.behave(true) == refuseConnection {
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

// answer is what a caller got; its status is zero if the entry died.
type answer struct {
	status int
	body   string
}

func (ar answer) says(text string) bool { return strings.Contains(ar.body, text) }

// callerSide is the connection of a caller.
type callerSide struct {
	*httptest.ResponseRecorder
}

func (callerSide) SetReadDeadline(time.Time) error { return nil }

// ask sends a request to the entry. If the entry dies meanwhile the caller gets
// no answer.
func (ey *entry) ask(ctx context.Context, id, key, body string) (got answer) {
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
	cs := callerSide{ResponseRecorder: httptest.NewRecorder()}
	ey.ServeHTTP(cs, hr)
	if ey.gate.pass() != nil {
		return answer{}
	}
	return answer{
		status: cs.Code,
		body:   cs.Body.String(),
	}
}
