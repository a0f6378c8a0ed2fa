// Package peer is what the managers of a region say to each other: whoever
// holds the scheduler's duty tells the others the states of jobs.
package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
)

const (
	// askTimeout bounds a question; the longest path takes some milliseconds.
	askTimeout = 250 * time.Millisecond
	// connectionsPerPeer is how many questions are open at once.
	connectionsPerPeer = 4
	// maxAnswerBytes is the largest answer that is read.
	maxAnswerBytes = 64 << 10
)

// Client asks the holder of the scheduler's duty.
type Client struct {
	http *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{
		http: &http.Client{
			Transport: adapter.NewTransport(connectionsPerPeer),
		},
	}
}

// stateMessage and pendingMessage are answers.
type stateMessage struct {
	State string `json:"state"`
}

type pendingMessage struct {
	Pending int `json:"pending"`
}

// State asks for the state of a job. The error is JobUnknown if the holder
// doesn't know the job, and JobUnavailable if it can't be asked.
func (cl *Client) State(ctx context.Context, holder netip.AddrPort, id modeller.JobID) (modeller.JobState, error) {
	var message stateMessage
	err := cl.ask(ctx, holder, "/jobs/"+url.PathEscape(string(id)), &message)
	return modeller.JobState(message.State), err
}

// Pending asks for the number of a queue's jobs that haven't begun.
func (cl *Client) Pending(ctx context.Context, holder netip.AddrPort, queue string) (int, error) {
	var message pendingMessage
	err := cl.ask(ctx, holder, "/queues/"+url.PathEscape(queue), &message)
	return message.Pending, err
}

func (cl *Client) ask(ctx context.Context, holder netip.AddrPort, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+holder.String()+path, nil)
	if err != nil {
		return classifier.Wrap(err, classifier.Internal, "%s", path)
	}
	rs, err := cl.http.Do(rq)
	if err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "%s at %s", path, holder)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return classifier.Wrap(err, classifier.JobUnavailable, "%s at %s", path, holder)
	case rs.StatusCode == http.StatusNotFound:
		return classifier.New(classifier.JobUnknown, "%s at %s", path, holder)
	case rs.StatusCode != http.StatusOK:
		return classifier.New(classifier.JobUnavailable, "%s at %s: status %d", path, holder, rs.StatusCode)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "%s at %s", path, holder)
	}
	return nil
}
