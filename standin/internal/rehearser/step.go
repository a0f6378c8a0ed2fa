package rehearser

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// step is one step of the demo.
type step struct {
	name string
	run  func(ctx context.Context, se *stage) error
}

// pollInterval is how often callers ask for a state.
const pollInterval = 40 * time.Millisecond

// submitInterval is the time between two jobs.
const submitInterval = 120 * time.Millisecond

// demoSteps returns the demo's steps in order.
func demoSteps() []step {
	return []step{{
		name: "managers are ready",
		run:  awaitReady,
	}, {
		name: "a long-running job is accepted",
		run:  func(ctx context.Context, se *stage) error { return se.submit(ctx, 0, pools[0], true) },
	}, {
		name: "a third of the jobs is accepted",
		run:  func(ctx context.Context, se *stage) error { return se.submitMany(ctx, se.jobs/3) },
	}, {
		name: "the scheduler's node is killed",
		run:  killHolder,
	}, {
		name: "operators ask for a maintenance wave",
		run:  orderWave,
	}, {
		name: "a worker crashes and comes back",
		run: func(_ context.Context, se *stage) error {
			se.Provider().Crash("m-batches-1", time.Second)
			return nil
		},
	}, {
		name: "the other jobs are accepted",
		run:  func(ctx context.Context, se *stage) error { return se.submitMany(ctx, se.jobs-se.jobs/3) },
	}, {
		name: "all jobs are shown as completed",
		run:  awaitCompleted,
	}, {
		name: "a submission that is repeated stays one job",
		run:  submitAgain,
	}, {
		name: "the long-running job is cancelled and ends",
		run:  cancelLong,
	}, {
		name: "the wave is completed",
		run:  awaitWave,
	}, {
		name: "VMs have moved to the pool with the demand",
		run:  checkMoves,
	}, {
		name: "no task ran twice, and no worker was over its capacity",
		run:  checkPromises,
	}, {
		name: "managers end gracefully",
		run:  stopManagers,
	}}
}

// poll repeats a check until it succeeds or the context is done.
func poll(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

func (se *stage) call(ctx context.Context, nd *node, method, path string, body []byte) (int, []byte, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+nd.Front.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	rq.Host = "jobs.example"
	rs, err := se.client.Do(rq)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return rs.StatusCode, data, err
}

func awaitReady(ctx context.Context, se *stage) error {
	for _, nd := range se.nodes {
		err := poll(ctx, func() error {
			rs, err := se.client.Get("http://" + nd.Ready.String() + "/ready")
			if err != nil {
				return err
			}
			defer func() { _ = rs.Body.Close() }()
			if rs.StatusCode != http.StatusOK {
				return classifier.New(classifier.Internal, "%s answers %d", nd.Name, rs.StatusCode)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// up returns the managers that run.
func (se *stage) up() []*node {
	return slices.DeleteFunc(slices.Clone(se.nodes), func(nd *node) bool { return !nd.isUp })
}

// submit has a caller submit a job, again and again until it is accepted.
func (se *stage) submit(ctx context.Context, number int, pool string, isLong bool) error {
	work := map[string]any{"workMs": 300 + 20*(number%20), "cpu": 1500, "memMb": 500, "isLong": isLong}
	spec, err := json.Marshal(work)
	if err != nil {
		return err
	}
	first := map[string]any{"count": 4, "cpu": 1500, "mem_mb": 500, "estimate_ms": 500}
	steps := []map[string]any{first}
	if isLong {
		first["count"], first["long_running"], first["may_miss"], first["anti_affinity"] = 2, true, 1, 1
	} else {
		steps = append(steps, map[string]any{"count": 3, "cpu": 1500, "mem_mb": 500, "estimate_ms": 500, "after": []int{0}})
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	if err != nil {
		return err
	}
	sb := submitted{
		path:   fmt.Sprintf("/%s/%016x", pool, len(se.submitted)+1),
		at:     time.Now(),
		isLong: isLong,
	}
	attempt := number
	err = poll(ctx, func() error {
		nodes := se.up()
		attempt++
		status, data, err := se.call(ctx, nodes[attempt%len(nodes)], http.MethodPost, sb.path, body)
		if err == nil && status != http.StatusOK {
			err = classifier.New(classifier.Internal, "%s: status %d: %s", sb.path, status, data)
		}
		return err
	})
	se.submitted = append(se.submitted, sb)
	return err
}

// submitMany submits jobs, most of them to one pool, so that VMs follow.
func (se *stage) submitMany(ctx context.Context, count int) error {
	for number := range count {
		pool := pools[0]
		if number%5 == 0 {
			pool = pools[1]
		}
		if err := se.submit(ctx, number, pool, false); err != nil {
			return err
		}
		time.Sleep(submitInterval)
	}
	return nil
}

// killHolder kills the manager that holds the scheduler's duty.
func killHolder(ctx context.Context, se *stage) error {
	nd, err := se.holder(ctx)
	if err != nil {
		return err
	}
	se.killed = nd.Name
	nd.isUp = false
	return nd.child.Kill()
}

// wavePath is the key of the demo's wave, and waveVMs are its VMs.
const wavePath = "wave/1"

func orderWave(_ context.Context, se *stage) error {
	value, err := json.Marshal(map[string]any{"wave": 1, "machines": []string{"m-checks-0", "m-batches-0", "m-standby-0"}, "duration_s": 20, "cap": 1})
	if err != nil {
		return err
	}
	se.Provider().Put("op/"+wavePath, value)
	return nil
}

func awaitWave(ctx context.Context, se *stage) error {
	return poll(ctx, func() error {
		et, err := se.Provider().Keeper().Zone("demo").Get(ctx, "status/"+wavePath)
		if err != nil {
			return err
		}
		var status struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(et.Value, &status); err != nil {
			return err
		}
		if status.State != "completed" {
			return classifier.New(classifier.Internal, "the wave is %q", status.State)
		}
		return nil
	})
}

// state asks for the state of a job.
func (se *stage) state(ctx context.Context, number int, path string) (string, error) {
	nodes := se.up()
	status, data, err := se.call(ctx, nodes[number%len(nodes)], http.MethodGet, path, nil)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", classifier.New(classifier.Internal, "%s: status %d", path, status)
	}
	var answer struct {
		State string `json:"state"`
	}
	err = json.Unmarshal(data, &answer)
	return answer.State, err
}

func awaitCompleted(ctx context.Context, se *stage) error {
	for number := range se.submitted {
		sb := &se.submitted[number]
		if sb.isLong {
			continue
		}
		err := poll(ctx, func() error {
			state, err := se.state(ctx, number, sb.path)
			if err == nil && state != "completed" {
				err = classifier.New(classifier.Internal, "%s is %q", sb.path, state)
			}
			return err
		})
		if err != nil {
			return err
		}
		sb.completedAt = time.Now()
	}
	return nil
}

// settleTime is how long a repeated job would need to start.
const settleTime = 300 * time.Millisecond

// submitAgain repeats a submission of a job that has ended.
func submitAgain(ctx context.Context, se *stage) error {
	last := se.submitted[len(se.submitted)-1]
	before := se.Provider().Counts().Starts
	body := []byte(`{"spec":"{\"workMs\":1}","steps":[{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":1}]}`)
	status, _, err := se.call(ctx, se.up()[0], http.MethodPost, last.path, body)
	if err != nil || status != http.StatusOK {
		return classifier.New(classifier.Internal, "status %d, %v", status, err)
	}
	time.Sleep(settleTime)
	if after := se.Provider().Counts().Starts; after != before {
		return classifier.New(classifier.Internal, "%d tasks were started again", after-before)
	}
	return nil
}

func cancelLong(ctx context.Context, se *stage) error {
	long := se.submitted[0]
	status, _, err := se.call(ctx, se.up()[0], http.MethodDelete, long.path, nil)
	if err != nil || status != http.StatusOK {
		return classifier.New(classifier.Internal, "status %d, %v", status, err)
	}
	return poll(ctx, func() error {
		state, err := se.state(ctx, 0, long.path)
		if err == nil && state != "cancelled" {
			err = classifier.New(classifier.Internal, "it is %q", state)
		}
		return err
	})
}

func checkMoves(_ context.Context, se *stage) error {
	if se.Provider().Counts().Moves == 0 {
		return classifier.New(classifier.Internal, "none has")
	}
	return nil
}

func checkPromises(_ context.Context, se *stage) error {
	if broken := se.Provider().Violations(); len(broken) > 0 {
		return classifier.New(classifier.Internal, "%d promises were broken, first: %s", len(broken), broken[0])
	}
	return nil
}

// stopGrace is how long a manager may take to end.
const stopGrace = 6 * time.Second

func stopManagers(_ context.Context, se *stage) error {
	for _, nd := range se.up() {
		nd.isUp = false
		if err := nd.child.Stop(stopGrace); err != nil {
			return classifier.Wrap(err, classifier.Internal, "%s", nd.Name)
		}
	}
	return nil
}

// printReport prints what callers saw.
func (se *stage) printReport(out io.Writer) {
	completed := 0
	var slowest time.Duration
	for _, sb := range se.submitted {
		if !sb.completedAt.IsZero() {
			completed++
			slowest = max(slowest, sb.completedAt.Sub(sb.at))
		}
	}
	counts := se.Provider().Counts()
	_, _ = fmt.Fprintf(out, "callers: %d jobs accepted, %d shown as completed, the slowest after at most %.1f s\n", len(se.submitted), completed, slowest.Seconds())
	_, _ = fmt.Fprintf(out, "workers: %d runs started, %d tasks done, %d VMs moved; killed: %s\n", counts.Starts, counts.Done, counts.Moves, se.killed)
}
