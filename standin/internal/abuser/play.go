package abuser

import (
	"context"
	"io"
	"net/http"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/supervisor"
)

// playCrowd plays a crowd against a process for a time, and then until an ordinary request is
// answered beside it.
func playCrowd(ctx context.Context, child *supervisor.Child, crowd *Crowd, length time.Duration, ask func(ctx context.Context) error) (Observation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		crowd.Run(ctx)
	}()
	type result struct {
		observation Observation
		err         error
	}
	observed := make(chan result, 1)
	go func() {
		on, err := Observe(ctx, child.Identifier())
		observed <- result{observation: on, err: err}
	}()
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
	err := ask(ctx)
	cancel()
	<-ended
	rs := <-observed
	rs.observation.Connections = crowd.Connections()
	if rs.err != nil {
		return rs.observation, rs.err
	}
	return rs.observation, err
}

// askUntilAnswered makes a request on new connections until it is answered with 200.
func askUntilAnswered(ctx context.Context, url string) error {
	return repeat200(ctx, func(ctx context.Context) (int, error) {
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return 0, err
		}
		return send(rq)
	})
}

// send sends a request on a connection of its own and returns the status of the response.
func send(rq *http.Request) (int, error) {
	rq.Close = true
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0, err
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode, err
}

// repeat200 makes a request until its status is 200. It gives up after giveUpAfter.
func repeat200(ctx context.Context, request func(ctx context.Context) (int, error)) error {
	ctx, cancel := context.WithTimeout(ctx, giveUpAfter)
	defer cancel()
	for {
		limited, release := context.WithTimeout(ctx, askTimeout)
		status, err := request(limited)
		release()
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return classifier.Wrap(err, classifier.PeerUnreachable, "an ordinary request was not answered; the last try: status %d", status)
		case <-time.After(askInterval):
		}
	}
}
