package runner_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-steward/internal/initialiser"
	"coltsfootwick.example/coltsfootwick-steward/internal/runner"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

func get(t *testing.T, rr *runner.Runner, path string) (int, string) {
	t.Helper()
	rs, err := http.Get(fmt.Sprintf("http://%s%s", rr.OperatorsAddress(), path))
	must.NoError(t, err)
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	must.NoError(t, err)
	return rs.StatusCode, string(body)
}

func TestStewardServesDutyAndOperatorsPort(t *testing.T) {
	kr := keeper.New(keeper.WithVMs(storer.VM{
		Name:    "a-01",
		Zone:    "a",
		Rack:    "a-r1",
		Address: netip.MustParseAddrPort("127.0.1.1:9000"),
		Pool:    "claims",
		State:   storer.Live,
	}))
	rr, err := runner.New(initialiser.Settings{
		Name:         "a-s1",
		Zone:         "a",
		Operators:    netip.MustParseAddrPort("127.0.0.1:0"),
		LeaseTTL:     5 * time.Second,
		ListInterval: 50 * time.Millisecond,
	}, kr.Zone("a"), kr.Zone("a"), zap.NewNop())
	must.NoError(t, err)
	must.Error(t, rr.Ready())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- rr.Run(ctx) }()
	must.Wait(t, wait.InitialSuccess(
		wait.ErrorFunc(func() error {
			for _, key := range []string{"directory/a", "members/a-s1"} {
				if _, err := kr.Zone("a").Get(ctx, key); err != nil {
					return err
				}
			}
			return rr.Ready()
		}),
		wait.Timeout(20*time.Second),
		wait.Gap(5*time.Millisecond),
	))
	status, _ := get(t, rr, "/healthz")
	must.Eq(t, http.StatusOK, status)
	status, _ = get(t, rr, "/readyz")
	must.Eq(t, http.StatusOK, status)
	_, body := get(t, rr, "/status")
	must.StrContains(t, body, `{"name":"a-s1","role":"steward","zone":"a","duties":[{"duty":"directory","state":"held","epoch":`)
	_, body = get(t, rr, "/metrics")
	must.StrContains(t, body, `coltsfootwick_steward_duty_held{duty="directory"} 1`)
	must.StrContains(t, body, `coltsfootwick_steward_platform_calls_total{call="grant",codeName="ok"} 3`)
	cancel()
	must.NoError(t, <-done)
	_, err = kr.Zone("a").Get(t.Context(), "duties/a/directory")
	must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err))
}
