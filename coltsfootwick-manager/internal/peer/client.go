// Package peer implements the protocol between the managers of a region. Every
// manager announces new jobs to the holder of the scheduler's duty and queries
// it for the states of jobs.
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
	"coltsfootwick.example/shared/process/packer"
)

const (
	// requestTimeout bounds a request; the slowest network path takes some
	// milliseconds.
	requestTimeout = 250 * time.Millisecond
	// connectionsPerPeer is the maximum number of requests in flight to a peer.
	connectionsPerPeer = 4
	// maxMessageBytes limits the size of a request or response; the largest are
	// announcements of jobs with many steps.
	maxMessageBytes = 512 << 10
)

// Client sends requests to the holder of the scheduler's duty.
type Client struct {
	http *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{
		http: &http.Client{
			Transport: adapter.NewTransport(adapter.NewDialer(), connectionsPerPeer),
		},
	}
}

// statusResponse is the response to a query for the status of a job. Managers of
// earlier versions leave out all but the state.
type statusResponse struct {
	State  string `json:"state"`
	Queue  string `json:"queue,omitempty"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Team is absent if the job has none.
	Team string `json:"team,omitempty"`
}

// pendingResponse is the response to a query for a queue's pending jobs.
type pendingResponse struct {
	Pending int `json:"pending"`
}

// Status returns the status of a job. The error is JobUnknown if the holder has no
// such job, and JobUnavailable if it cannot be reached or cannot answer.
func (cl *Client) Status(ctx context.Context, holder netip.AddrPort, id modeller.JobID) (modeller.JobStatus, error) {
	var response statusResponse
	err := cl.get(ctx, holder, "/jobs/"+url.PathEscape(string(id)), &response)
	return modeller.JobStatus{
		State:  modeller.JobState(response.State),
		Queue:  response.Queue,
		Host:   response.Host,
		Prefix: response.Prefix,
		Team:   response.Team,
	}, err
}

// Pending returns the number of a queue's jobs of which no task has started.
func (cl *Client) Pending(ctx context.Context, holder netip.AddrPort, queue modeller.Queue) (int, error) {
	var response pendingResponse
	address := url.Values{hostField: {queue.Host}, prefixField: {queue.Prefix}}
	err := cl.get(ctx, holder, "/queues/"+url.PathEscape(queue.Name)+"?"+address.Encode(), &response)
	return response.Pending, err
}

// announceResponse is the response to an announcement. Managers of earlier versions leave
// out the intake.
type announceResponse struct {
	Intake int `json:"intake,omitempty"`
}

// Announce sends the record and the payload of a stored job to the holder, so
// that the holder receives the job before its watch on the store delivers it. It
// returns which further jobs may be submitted.
func (cl *Client) Announce(ctx context.Context, holder netip.AddrPort, record []byte, payload string) (modeller.Intake, error) {
	body := packer.AppendString(packer.AppendString(nil, payload), string(record))
	data, err := cl.call(ctx, http.MethodPost, holder, announcePath, bytes.NewReader(body))
	if err != nil {
		return modeller.IntakeOpen, err
	}
	var response announceResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return modeller.IntakeOpen, classifier.Wrap(err, classifier.JobUnavailable, "announcement to manager %s", holder)
	}
	return modeller.Intake(response.Intake), nil
}

// RequestYield asks the holder of the scheduler's duty to yield it.
func (cl *Client) RequestYield(ctx context.Context, holder netip.AddrPort) error {
	_, err := cl.call(ctx, http.MethodPost, holder, yieldPath, nil)
	return err
}

// The fields of a query for a queue's pending jobs.
const (
	hostField   = "host"
	prefixField = "prefix"
)

// yieldPath is the path of requests to yield the duty.
const yieldPath = "/duty/yield"

// announcePath is the path of job announcements.
const announcePath = "/jobs"

func (cl *Client) get(ctx context.Context, holder netip.AddrPort, path string, result any) error {
	data, err := cl.call(ctx, http.MethodGet, holder, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, result); err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "request %s to manager %s", path, holder)
	}
	return nil
}

func (cl *Client) call(ctx context.Context, method string, holder netip.AddrPort, path string, body io.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+holder.String()+path, body)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "%s", path)
	}
	rs, err := cl.http.Do(rq)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.JobUnavailable, "request %s to manager %s", path, holder)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxMessageBytes))
	switch {
	case err != nil:
		return nil, classifier.Wrap(err, classifier.JobUnavailable, "request %s to manager %s", path, holder)
	case rs.StatusCode == http.StatusNotFound:
		return nil, classifier.New(classifier.JobUnknown, "request %s to manager %s", path, holder)
	case rs.StatusCode != http.StatusOK:
		return nil, classifier.New(classifier.JobUnavailable, "request %s to manager %s: status %d", path, holder, rs.StatusCode)
	}
	return data, nil
}
