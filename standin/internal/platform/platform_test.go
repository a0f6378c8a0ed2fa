package platform_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
	"coltsfootwick.example/standin/internal/platform"
)

// serve starts a Platform for one availability zone and returns it with a store
// client and a fleet client.
func serve(t *testing.T, opts ...keeper.Option) (*platform.Platform, storer.Store, storer.Fleet) {
	pm := platform.New(opts...)
	server := httptest.NewServer(pm.Handler("a"))
	t.Cleanup(server.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return pm, storer.New(server.URL, storer.WithTransport(transport)),
		storer.NewFleet(server.URL, storer.WithTransport(transport))
}

func everywhere() keeper.Scope {
	return keeper.Scope{
		Share: 1,
	}
}

func TestStoreOverHTTP(t *testing.T) {
	_, store, _ := serve(t)
	ctx := t.Context()
	lease, err := store.Grant(ctx, time.Minute)
	must.NoError(t, err)
	key := "members/a%2F/ä ?"
	first, err := store.Put(ctx, key, []byte("one"), 0, lease)
	must.NoError(t, err)
	et, err := store.Get(ctx, key)
	must.NoError(t, err)
	must.Eq(t, storer.Entry{
		Key:      key,
		Value:    []byte("one"),
		Revision: first,
		Lease:    lease,
	}, et)
	entries, at, err := store.List(ctx, "members/")
	must.NoError(t, err)
	must.Eq(t, []storer.Entry{et}, entries)
	must.Eq(t, first, at)
	must.NoError(t, store.Renew(ctx, lease))
	must.NoError(t, store.Revoke(ctx, lease))
	events, after, err := store.Watch(ctx, "members/", first, time.Second)
	must.NoError(t, err)
	must.Len(t, 1, events)
	must.True(t, events[0].Deleted)
	must.Eq(t, first+1, after)
	none, after, err := store.Watch(ctx, "members/", after, 10*time.Millisecond)
	must.NoError(t, err)
	must.Len(t, 0, none)
	must.Eq(t, first+1, after)
}

func TestErrorsOverHTTP(t *testing.T) {
	_, store, fleet := serve(t, keeper.WithHistory(1, 1<<20))
	ctx := t.Context()
	for number := range 3 {
		_, err := store.Put(ctx, "k", nil, storer.Revision(number), 0)
		must.NoError(t, err)
	}
	_, conflict := store.Put(ctx, "k", nil, 1, 0)
	_, absent := store.Get(ctx, "zz")
	_, large := store.Put(ctx, "k", make([]byte, storer.MaxValueBytes+1), 3, 0)
	_, gone := store.Put(ctx, "k", nil, 3, 99)
	_, _, compacted := store.Watch(ctx, "k", 0, time.Second)
	cases := []struct {
		name string
		err  error
		code classifier.Code
	}{
		{"conflict", conflict, classifier.PlatformConflict},
		{"delete conflict", store.Delete(ctx, "k", 1), classifier.PlatformConflict},
		{"absent", absent, classifier.PlatformNotFound},
		{"delete absent", store.Delete(ctx, "zz", 1), classifier.PlatformNotFound},
		{"large", large, classifier.PlatformTooLarge},
		{"lease gone", gone, classifier.LeaseLost},
		{"renew gone", store.Renew(ctx, 99), classifier.LeaseLost},
		{"revoke gone", store.Revoke(ctx, 99), classifier.LeaseLost},
		{"compacted", compacted, classifier.PlatformNotFound},
		{"unknown VM", fleet.Reboot(ctx, "zz"), classifier.PlatformNotFound},
	}
	for _, tc := range cases {
		must.Eq(t, tc.code, classifier.CodeOf(tc.err), must.Sprintf("%s: %v", tc.name, tc.err))
	}
	var ce *storer.ConflictError
	must.True(t, errors.As(conflict, &ce))
	must.Eq(t, storer.Revision(3), ce.Actual)
}

func TestFaultsOverHTTP(t *testing.T) {
	cases := []struct {
		name      string
		fault     keeper.Fault
		write     classifier.Code
		read      classifier.Code
		isApplied bool
	}{
		{"out", keeper.Outage{Scope: everywhere()}, classifier.PlatformUnavailable, classifier.PlatformUnavailable, false},
		{"answer lost", keeper.AnswerLost{Scope: everywhere()}, classifier.PlatformAmbiguous, classifier.OK, true},
		{"cut refused", keeper.Partition{Scope: everywhere(), Refuse: true}, classifier.PlatformAmbiguous, classifier.PlatformUnavailable, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pm, store, _ := serve(t)
			must.NoError(t, pm.Keeper().SetFaults(tc.fault))
			_, err := store.Put(t.Context(), "k", nil, 0, 0)
			must.Eq(t, tc.write, classifier.CodeOf(err))
			_, _, err = store.List(t.Context(), "k")
			must.Eq(t, tc.read, classifier.CodeOf(err))
			must.NoError(t, pm.Keeper().SetFaults())
			_, err = store.Get(t.Context(), "k")
			must.Eq(t, tc.isApplied, err == nil)
		})
	}
}

func TestCallsWithoutServer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	store := storer.New(server.URL)
	_, err := store.Put(t.Context(), "k", nil, 0, 0)
	must.Eq(t, classifier.PlatformUnavailable, classifier.CodeOf(err))
	_, err = store.Get(t.Context(), "k")
	must.Eq(t, classifier.PlatformUnavailable, classifier.CodeOf(err))
}

func TestServerErrorsAreAmbiguousForWrites(t *testing.T) {
	for status, code := range map[int]classifier.Code{
		http.StatusInternalServerError: classifier.PlatformAmbiguous,
		http.StatusBadGateway:          classifier.PlatformAmbiguous,
		http.StatusOK:                  classifier.PlatformAmbiguous,
		http.StatusTeapot:              classifier.Internal,
		http.StatusTemporaryRedirect:   classifier.Internal,
		http.StatusTooManyRequests:     classifier.PlatformRateLimited,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(status)
		}))
		_, err := storer.New(server.URL).Put(t.Context(), "k", nil, 0, 0)
		must.Eq(t, code, classifier.CodeOf(err), must.Sprintf("status %d: %v", status, err))
		server.Close()
	}
}

func TestVMsOverHTTP(t *testing.T) {
	vm := storer.VM{
		Name:    "a-01",
		Zone:    "a",
		Rack:    "a-r1",
		Address: netip.MustParseAddrPort("127.0.1.1:9000"),
		Pool:    "claims",
		State:   storer.Live,
		Boot:    1,
	}
	rebooted := make(chan storer.VM, 1)
	_, _, fleet := serve(t, keeper.WithVMs(vm), keeper.WithRebootHook(func(vm storer.VM) { rebooted <- vm }))
	vms, err := fleet.VMs(t.Context())
	must.NoError(t, err)
	must.Eq(t, []storer.VM{vm}, vms)
	must.NoError(t, fleet.Reboot(t.Context(), "a-01"))
	must.Eq(t, "a-01", (<-rebooted).Name)
}

func TestAdminPort(t *testing.T) {
	pm, store, _ := serve(t)
	admin := pm.Admin()
	ask := func(method, target, body string) (int, string) {
		rw := httptest.NewRecorder()
		admin.ServeHTTP(rw, httptest.NewRequest(method, target, strings.NewReader(body)))
		return rw.Code, rw.Body.String()
	}
	const faults = `{"faults":[{"kind":"slow","zone":"b","share":0.5,"seed":7,"delay":"200ms"},{"kind":"cut","share":1,"refuse":true}]}`
	status, _ := ask("POST", "/faults", faults)
	must.Eq(t, http.StatusOK, status)
	_, body := ask("GET", "/faults", "")
	must.Eq(t, faults, body)
	for _, wrong := range []string{
		`{"faults":[{"kind":"zz"}]}`,
		`{"faults":[{"kind":"out","share":2}]}`,
		`{"faults":[{"kind":"slow"}]}`,
		`{"fault":[]}`,
		`[`,
	} {
		status, _ = ask("POST", "/faults", wrong)
		must.Eq(t, http.StatusBadRequest, status, must.Sprint(wrong))
	}
	must.Len(t, 2, pm.Keeper().Faults())
	status, _ = ask("POST", "/faults", `{"faults":[]}`)
	must.Eq(t, http.StatusOK, status)
	_, err := store.Get(t.Context(), "k")
	must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err))
	_, body = ask("GET", "/counts", "")
	must.Eq(t, `{"total":1,"zones":{"a":{"calls":{"get":1},"limited":0}}}`, body)
	const vm = `{"vms":[{"name":"a-01","zone":"a","rack":"a-r1","address":"127.0.1.1:9000","state":"live","boot":1}]}`
	status, _ = ask("PUT", "/vms/a-01", vm)
	must.Eq(t, http.StatusOK, status)
	status, _ = ask("POST", "/vms/a-01/state?state=leaving", "")
	must.Eq(t, http.StatusOK, status)
	_, body = ask("GET", "/vms", "")
	must.Eq(t, strings.Replace(vm, "live", "leaving", 1), body)
	status, _ = ask("DELETE", "/vms/zz", "")
	must.Eq(t, http.StatusNotFound, status)
}

func TestVMListOfOneZone(t *testing.T) {
	vm := func(name, zone string) storer.VM {
		return storer.VM{
			Name:    name,
			Zone:    zone,
			Address: netip.MustParseAddrPort("127.0.0.1:9000"),
			State:   storer.Live,
		}
	}
	pm := platform.New(keeper.WithListLag(0), keeper.WithVMs(vm("a-01", "a"), vm("b-01", "b")))
	server := httptest.NewServer(pm.Handler("a"))
	t.Cleanup(server.Close)
	fleet := storer.NewFleet(server.URL, storer.WithVMZone("b"))
	want := vm("b-01", "b")
	want.Boot = 1
	for range 2 {
		vms, err := fleet.VMs(t.Context())
		must.NoError(t, err)
		must.Eq(t, []storer.VM{want}, vms)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/v1/vms?zone=b", nil)
	must.NoError(t, err)
	first, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	must.NoError(t, first.Body.Close())
	request.Header.Set("If-None-Match", first.Header.Get("ETag"))
	second, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	must.NoError(t, second.Body.Close())
	must.Eq(t, http.StatusNotModified, second.StatusCode)
	must.NoError(t, pm.Keeper().RemoveVM("b-01"))
	vms, err := fleet.VMs(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, vms)
}
