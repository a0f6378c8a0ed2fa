// Package peer is what the managers of a region say to each other: they tell
// whoever holds the scheduler's duty of new jobs, and ask it for states.
package peer

import (
	"bytes"
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
	// maxMessageBytes is the largest message that is read; a job with many steps
	// is the largest there is.
	maxMessageBytes = 512 << 10
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

// Announce tells the holder of a job that is stored, so that it need not wait
// for its watch.
func (cl *Client) Announce(ctx context.Context, holder netip.AddrPort, record []byte) error {
	_, err := cl.call(ctx, http.MethodPost, holder, announcePath, bytes.NewReader(record))
	return err
}

// announcePath is where jobs are announced.
const announcePath = "/jobs"

func (cl *Client) ask(ctx context.Context, holder netip.AddrPort, path string, into any) error {
	data, err := cl.call(ctx, http.MethodGet, holder, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "%s at %s", path, holder)
	}
	return nil
}

func (cl *Client) call(ctx context.Context, method string, holder netip.AddrPort, path string, body io.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+holder.String()+path, body)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "%s", path)
	}
	rs, err := cl.http.Do(rq)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.JobUnavailable, "%s at %s", path, holder)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxMessageBytes))
	switch {
	case err != nil:
		return nil, classifier.Wrap(err, classifier.JobUnavailable, "%s at %s", path, holder)
	case rs.StatusCode == http.StatusNotFound:
		return nil, classifier.New(classifier.JobUnknown, "%s at %s", path, holder)
	case rs.StatusCode != http.StatusOK:
		return nil, classifier.New(classifier.JobUnavailable, "%s at %s: status %d", path, holder, rs.StatusCode)
	}
	return data, nil
}
