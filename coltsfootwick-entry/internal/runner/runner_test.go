package runner_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-entry/internal/conductor"
	"coltsfootwick.example/coltsfootwick-entry/internal/initialiser"
	"coltsfootwick.example/coltsfootwick-entry/internal/runner"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

const testZone = "a"

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// testSettings returns settings with one service and additional lines for it.
func testSettings(lines string) string {
	return `
[organisation]
name = "Test"

[services.claims]
pathPrefix = "/claims/"
pool = "claims"
` + lines + `

[pools.claims]
`
}

// testPlatform returns a platform with settings and one target in service.
func testPlatform(t testing.TB, target string) *keeper.Keeper {
	t.Helper()
	kr := keeper.New()
	putSettings(t, kr, 1, "")
	putDirectory(t, kr, registrar.Directory{
		Zone:    testZone,
		Epoch:   1,
		Version: 1,
		Targets: []registrar.Target{{
			VM:      "a-01",
			Address: netip.MustParseAddrPort(target),
			Pool:    "claims",
			Rack:    "a-r1",
			State:   registrar.InService,
		}},
	})
	return kr
}

func put(t testing.TB, kr *keeper.Keeper, key string, value []byte) {
	t.Helper()
	store := kr.Zone(testZone)
	ey, _ := store.Get(t.Context(), key)
	_, err := store.Put(t.Context(), key, value, ey.Revision, 0)
	must.NoError(t, err)
}

func putSettings(t testing.TB, kr *keeper.Keeper, revision uint64, lines string) {
	t.Helper()
	data, err := configurer.EncodeRecord(configurer.Record{
		Revision: revision,
		ChangeID: "c1",
		Source:   testSettings(lines),
	})
	must.NoError(t, err)
	put(t, kr, storer.SettingsHeadKey, data)
}

func putDirectory(t testing.TB, kr *keeper.Keeper, dy registrar.Directory) {
	t.Helper()
	data, err := registrar.Encode(dy)
	must.NoError(t, err)
	put(t, kr, storer.DirectoryPrefix+dy.Zone, data)
}

// testEntry is an entry that runs in the test process.
type testEntry struct {
	*runner.Runner
	stop  context.CancelFunc
	ended chan error
}

func (te testEntry) url(path string) string {
	return fmt.Sprintf("http://%s%s", te.CallersAddress(), path)
}

func (te testEntry) operatorsURL(path string) string {
	return fmt.Sprintf("http://%s%s", te.OperatorsAddress(), path)
}

func startEntry(t testing.TB, kr *keeper.Keeper, name string) testEntry {
	t.Helper()
	return startEntryWith(t, kr, name, nil)
}

// startEntryWith starts an entry with peers.
func startEntryWith(t testing.TB, kr *keeper.Keeper, name string, peers *connector.Settings, options ...conductor.Option) testEntry {
	t.Helper()
	rr, err := runner.New(initialiser.Settings{
		Name:          name,
		Zone:          testZone,
		Listen:        loopback(),
		Operators:     loopback(),
		Platform:      &url.URL{},
		CheckInterval: 200 * time.Millisecond,
		DrainTimeout:  5 * time.Second,
		MemoryBytes:   64 << 20,
		Peers:         peers,
	}, kr.Zone(testZone), zap.NewNop(), options...)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	te := testEntry{
		Runner: rr,
		stop:   cancel,
		ended:  make(chan error, 1),
	}
	go func() { te.ended <- rr.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-te.ended)
	})
	return te
}

func awaitReady(t testing.TB, te testEntry) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.ErrorFunc(te.Ready),
		wait.Timeout(10*time.Second),
		wait.Gap(5*time.Millisecond),
	))
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	re, err := http.Get(url)
	must.NoError(t, err)
	defer func() { _ = re.Body.Close() }()
	body, err := io.ReadAll(re.Body)
	must.NoError(t, err)
	return re.StatusCode, string(body)
}

func TestRequestReachesTarget(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		body, _ := io.ReadAll(hr.Body)
		w.Header().Set("Coltsfootwick-Attempt", hr.Header.Get("Coltsfootwick-Attempt"))
		_, _ = fmt.Fprintf(w, "%s %s %s", hr.Method, hr.RequestURI, body)
	}))
	defer target.Close()
	te := startEntry(t, testPlatform(t, target.Listener.Addr().String()), "a-e1")
	awaitReady(t, te)

	for range 3 {
		re, err := http.Post(te.url("/claims/check?x=%20y"), "text/plain", strings.NewReader("declaration"))
		must.NoError(t, err)
		body, err := io.ReadAll(re.Body)
		must.NoError(t, err)
		must.NoError(t, re.Body.Close())
		must.Eq(t, http.StatusOK, re.StatusCode)
		must.Eq(t, "POST /claims/check?x=%20y declaration", string(body))
		must.NotEq(t, "", re.Header.Get("X-Request-Id"))
		must.Eq(t, "", re.Header.Get("Coltsfootwick-Attempt"))
	}

	status, body := get(t, te.url("/other"))
	must.Eq(t, http.StatusNotFound, status)
	must.StrContains(t, body, `"codeName":"unknownService","outcome":"notRun"`)

	status, body = get(t, te.operatorsURL("/status"))
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, `{"name":"a-e1","role":"entry","zone":"a","settingsRevision":1}`+"\n", body)
	_, body = get(t, te.operatorsURL("/metrics"))
	must.StrContains(t, body, `coltsfootwick_entry_requests_total{codeName="ok",service="claims",urgencyClass="urgent"} 3`)
	must.StrContains(t, body, `coltsfootwick_entry_slots{service="claims"} 8`)
}

func TestNotReadyWithoutSettings(t *testing.T) {
	te := startEntry(t, keeper.New(), "a-e1")
	status, _ := get(t, te.operatorsURL("/readyz"))
	must.Eq(t, http.StatusServiceUnavailable, status)
	status, body := get(t, te.url("/claims/check"))
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.StrContains(t, body, `"code":205`)
	status, _ = get(t, te.operatorsURL("/healthz"))
	must.Eq(t, http.StatusOK, status)
}
