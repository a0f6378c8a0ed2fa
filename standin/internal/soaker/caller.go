package soaker

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// host is the host of all queues.
	host = "jobs.example"
	// callersPerManager and meanPause give the rate of the requests.
	callersPerManager = 8
	meanPause         = 200 * time.Millisecond
	// maxTries bounds the tries of a request.
	maxTries = 6
	maxRetry = 300 * time.Millisecond
	// maxRequests bounds the requests of a play.
	maxRequests = 100_000
	// maxConnections bounds the connections of a caller.
	maxConnections = 3
)

// The shares of the callers' requests beside submissions, in percent.
const (
	stateShare   = 70
	cancelShare  = 6
	repeatShare  = 6
	pendingShare = 100 - stateShare - cancelShare - repeatShare
)

// caller sends requests on connections of its own, one at a time.
type caller struct {
	play        *play
	random      *rand.Rand
	connections []*connection
	// submitShare is the share of the requests that submit a job.
	submitShare float64
}

func newCaller(pl *play, number int) *caller {
	rate := float64(len(pl.managers)*callersPerManager) / meanPause.Seconds()
	return &caller{
		play:        pl,
		random:      rand.New(rand.NewPCG(pl.plan.Seed, uint64(number+1))),
		submitShare: min(pl.plan.JobRate/rate, 1),
	}
}

// run sends requests until the context is done. A request that was begun is ended.
func (cl *caller) run(ctx context.Context) {
	defer cl.close()
	for pause(ctx, time.Duration(cl.random.Int64N(2*int64(meanPause)))) {
		if cl.random.Float64() < cl.submitShare {
			cl.submit(ctx)
			continue
		}
		if cl.play.plan.HasKeys && cl.random.IntN(100) < probeShare {
			cl.probe(ctx)
			continue
		}
		jb := cl.play.drawJob(cl.random)
		if jb == nil {
			continue
		}
		switch share := cl.random.IntN(100); {
		case share < stateShare:
			cl.send(ctx, jb, http.MethodGet)
		case share < stateShare+cancelShare:
			if jb.isLong() || cl.random.IntN(3) == 0 {
				cl.send(ctx, jb, http.MethodDelete)
			}
		case share < stateShare+cancelShare+repeatShare:
			if _, ok := jb.accepted(); ok {
				cl.send(ctx, jb, http.MethodPost)
			}
		default:
			cl.exchange(ctx, http.MethodGet, jb.prefix(), jb.key(), nil, nil)
		}
	}
}

// pause waits, and reports whether the context isn't done.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// submit submits a new job, and often again after a refusal.
func (cl *caller) submit(ctx context.Context) {
	plan := cl.play.plan
	route := plan.Routes[cl.random.IntN(len(plan.Routes))]
	jb := newJob(cl.random, time.Now(), plan.queue(route), cl.play.hasRoomForLong(), plan.LongShare)
	if plan.HasKeys {
		jb.Team = teams[cl.random.IntN(len(teams))]
	}
	cl.play.addJob(jb)
	for range maxTries {
		as, ok := cl.send(ctx, jb, http.MethodPost)
		if !ok || !as.isRefusal() || cl.random.IntN(2) == 0 || !pause(ctx, maxRetry) {
			return
		}
	}
}

// send sends a request on a job until it is answered, at another manager after each
// try without an answer. It returns the last answer, and false if none was sent.
func (cl *caller) send(ctx context.Context, jb *job, method string) (answer, bool) {
	var body []byte
	switch method {
	case http.MethodPost:
		body = jb.body
	case http.MethodDelete:
		cl.play.stage.Provider().ExpectCancel(jb.ID)
	}
	avoid := map[int]bool{}
	for try := range maxTries {
		if try > 0 && !pause(ctx, time.Duration(cl.random.Int64N(int64(maxRetry)))) {
			break
		}
		as, ok := cl.exchange(ctx, method, jb.path, jb.key(), body, avoid)
		if !ok {
			break
		}
		jb.record(as)
		if !as.isAmbiguous() {
			return as, true
		}
		avoid[as.manager] = true
	}
	return answer{}, false
}

// exchange sends one request, with a key unless it is empty. It returns false if it sent
// nothing.
func (cl *caller) exchange(ctx context.Context, method, path, key string, body []byte, avoid map[int]bool) (answer, bool) {
	if cl.play.counts.requests.Add(1) > maxRequests {
		return answer{}, false
	}
	as := answer{
		method: method,
		sentAt: time.Now(),
	}
	cn, err := cl.connect(ctx, avoid)
	if err != nil {
		return answer{}, false
	}
	ex := cn.exchange(method, path, key, body)
	if !ex.isKept {
		cl.forget(cn)
	}
	as.at = ex.endedAt
	as.manager = cn.manager.number
	as.status = ex.status
	as.isUnanswered = ex.err != nil
	as.isTimedOut = ex.isTimedOut()
	cl.play.recordExchange(cn.manager, method, path, ex)
	if as.status == http.StatusUnauthorized && cl.play.isAlwaysValid(key) {
		cl.play.report("KEY", "%s %s with a key of each configuration is answered with 401 by manager %d", method, path, as.manager)
	}
	var state struct {
		State string `json:"state"`
	}
	if method == http.MethodGet && as.isSuccess() && json.Unmarshal(ex.body, &state) == nil {
		as.state = modeller.JobState(state.State)
	}
	return as, true
}

// connect returns an open connection or opens one. It avoids the given managers as far
// as possible.
func (cl *caller) connect(ctx context.Context, avoid map[int]bool) (*connection, error) {
	var open []*connection
	for _, cn := range cl.connections {
		if !avoid[cn.manager.number] {
			open = append(open, cn)
		}
	}
	if len(open) > 0 && (len(cl.connections) >= maxConnections || cl.random.IntN(8) > 0) {
		return open[cl.random.IntN(len(open))], nil
	}
	cn, err := dial(ctx, cl.play.rotation.pick(cl.random, avoid))
	if err != nil {
		return nil, err
	}
	cl.connections = append(cl.connections, cn)
	return cn, nil
}

func (cl *caller) forget(cn *connection) {
	for idx, other := range cl.connections {
		if other == cn {
			cl.connections = append(cl.connections[:idx], cl.connections[idx+1:]...)
			return
		}
	}
}

func (cl *caller) close() {
	for _, cn := range cl.connections {
		_ = cn.conn.Close()
	}
}
