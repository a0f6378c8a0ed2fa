package rehearser

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/standin/internal/stager"
)

// longTimeout is a timeout of requests beyond the grace periods of the tests.
const longTimeout = 20 * time.Second

// Guards against connections that a stop closes while their requests wait for the store.
func TestStopLeavesNoRequestWithoutAnswer(t *testing.T) {
	binaries := buildForProcesses(t)
	for _, grace := range []time.Duration{3 * time.Second, 6 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			stopKeeperAndHolder(t, binaries, grace, func(se *stage, nd *node, number int) {
				must.NoError(t, se.Provider().Keeper().SetFaults(keeper.Partition{
					Scope: keeper.Scope{
						Zone:  nd.Zone,
						Share: 1,
					},
				}))
				answers := make(chan error, 1)
				go func() {
					_, err := se.submitOnce(nd, number)
					answers <- err
				}()
				time.Sleep(100 * time.Millisecond)
				must.NoError(t, nd.child.Stop(grace))
				must.NoError(t, <-answers, must.Sprintf("a request that %s had read", nd.Name))
				must.NoError(t, se.Provider().Keeper().SetFaults())
			})
		})
	}
}

// Guards against errors at a stop although the store answers within the grace period.
func TestStopLetsRequestsComplete(t *testing.T) {
	const grace = 6 * time.Second
	stopKeeperAndHolder(t, buildForProcesses(t), grace, func(se *stage, nd *node, number int) {
		must.NoError(t, se.Provider().Keeper().SetFaults(keeper.Partition{
			Scope: keeper.Scope{
				Zone:  nd.Zone,
				Share: 1,
			},
		}))
		statuses := make(chan int, 1)
		go func() {
			status, _ := se.submitOnce(nd, number)
			statuses <- status
		}()
		time.Sleep(100 * time.Millisecond)
		must.NoError(t, nd.child.Terminate())
		time.Sleep(grace / 2)
		must.NoError(t, se.Provider().Keeper().SetFaults())
		must.Eq(t, http.StatusOK, <-statuses)
		must.NoError(t, nd.child.Stop(grace))
	})
}

// Guards against managers that turn callers away before the platform does.
func TestStoppingManagerAcceptsJobs(t *testing.T) {
	const grace = 6 * time.Second
	stopKeeperAndHolder(t, buildForProcesses(t), grace, func(se *stage, nd *node, number int) {
		must.NoError(t, nd.child.Terminate())
		time.Sleep(100 * time.Millisecond)
		status, err := se.submitOnce(nd, number)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
		must.NoError(t, nd.child.Stop(grace))
	})
}

func buildForProcesses(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	return build(t)
}

// stopKeeperAndHolder starts managers with a grace period, and calls stop for a keeper
// and for the holder of the scheduler's duty.
func stopKeeperAndHolder(t *testing.T, binaries string, grace time.Duration, stop func(se *stage, nd *node, number int)) {
	t.Helper()
	se, err := newStage(t.TempDir(), binaries, 0, stager.WithGrace(grace))
	must.NoError(t, err)
	t.Cleanup(se.Close)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	must.NoError(t, awaitReady(ctx, se))
	se.Provider().Put("op/config", configuration(2, longTimeout))
	se.client.Timeout = longTimeout
	for number, find := range []func(ctx context.Context) (*node, error){se.keeper, se.holder} {
		var nd *node
		must.NoError(t, poll(ctx, func() (err error) {
			nd, err = find(ctx)
			return err
		}))
		nd.isUp = false
		stop(se, nd, number)
	}
}

// submitOnce submits a job with a long timeout. The error is nil if there is a complete
// answer.
func (se *stage) submitOnce(nd *node, number int) (status int, err error) {
	body := []byte(`{"spec":"{}","steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":100}]}`)
	rq, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/%016x", nd.Front, pools[0], number), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	rq.Host = "jobs.example"
	rq.Header.Set("Deadline-Ms", fmt.Sprint(longTimeout.Milliseconds()))
	rs, err := se.client.Do(rq)
	if err != nil {
		return 0, err
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.ReadAll(rs.Body)
	return rs.StatusCode, err
}
