package rehearser

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/store/keeper"
)

const (
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 6 * time.Second
	// longTimeout is a timeout of requests beyond the grace period.
	longTimeout = 3 * gracePeriod
)

// TestStopLeavesNoRequestWithoutAnswer guards against connections that are closed at a
// stop while their requests wait for the store.
func TestStopLeavesNoRequestWithoutAnswer(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	se, err := newStage(t.TempDir(), build(t), 0)
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
		must.NoError(t, se.Provider().Keeper().SetFaults(keeper.Partition{
			Scope: keeper.Scope{
				Zone:  nd.Zone,
				Share: 1,
			},
		}))
		answers := make(chan error, 1)
		go func() { answers <- se.submitOnce(nd, number) }()
		time.Sleep(100 * time.Millisecond)
		nd.isUp = false
		must.NoError(t, nd.child.Stop(gracePeriod))
		must.NoError(t, <-answers, must.Sprintf("a request that %s had read", nd.Name))
		must.NoError(t, se.Provider().Keeper().SetFaults())
	}
}

// submitOnce submits a job with a long timeout. The error is nil if there is a complete
// answer.
func (se *stage) submitOnce(nd *node, number int) error {
	body := []byte(`{"spec":"{}","steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":100}]}`)
	rq, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/%016x", nd.Front, pools[0], number), bytes.NewReader(body))
	if err != nil {
		return err
	}
	rq.Host = "jobs.example"
	rq.Header.Set("Deadline-Ms", fmt.Sprint(longTimeout.Milliseconds()))
	rs, err := se.client.Do(rq)
	if err != nil {
		return err
	}
	return rs.Body.Close()
}
