package reporter

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// The defaults of a Surveyor.
const (
	defaultAskTimeout = time.Second
	maxParallelAsks   = 32
	maxStatusBytes    = 64 << 10
)

// StatusCollector asks nodes for their status. It is safe for concurrent use.
type StatusCollector struct {
	store   storer.Store
	client  *http.Client
	timeout time.Duration
}

// SurveyorOption is an option of NewSurveyor.
type SurveyorOption func(*StatusCollector)

// WithNodeTimeout sets how long a node has for its answer.
func WithNodeTimeout(timeout time.Duration) SurveyorOption {
	return func(sr *StatusCollector) { sr.timeout = timeout }
}

// NewStatusCollector returns a Surveyor that finds the nodes in the platform's service.
func NewStatusCollector(store storer.Store, opts ...SurveyorOption) *StatusCollector {
	sr := &StatusCollector{
		store:   store,
		client:  &http.Client{},
		timeout: defaultAskTimeout,
	}
	for _, opt := range opts {
		opt(sr)
	}
	return sr
}

// StatusResult is what came of asking one node.
type StatusResult struct {
	// Member is the node.
	Member Member
	// Status is the node's answer, if Err is nil.
	Status Status
	// Err tells why the node was not heard.
	Err error
}

// Members returns the nodes that the platform's service lists, ordered by name.
// A record that can't be decoded stands for a node of which only the name is
// known.
func (sr *StatusCollector) Members(ctx context.Context) ([]Member, error) {
	entries, _, err := sr.store.List(ctx, storer.MemberPrefix)
	if err != nil {
		return nil, err
	}
	members := make([]Member, 0, len(entries))
	for _, et := range entries {
		mb, err := DecodeMember(et.Value)
		if err != nil {
			mb = Member{
				Name: strings.TrimPrefix(et.Key, storer.MemberPrefix),
			}
		}
		members = append(members, mb)
	}
	return members, nil
}

// Ask asks the nodes for their status, a bounded number at once, and returns
// the answers in the order of the nodes.
func (sr *StatusCollector) Ask(ctx context.Context, members []Member) []StatusResult {
	answers := make([]StatusResult, len(members))
	turns := make(chan struct{}, maxParallelAsks)
	var asks sync.WaitGroup
	for index, mb := range members {
		turns <- struct{}{}
		asks.Go(func() {
			defer func() { <-turns }()
			answers[index] = sr.askOne(ctx, mb)
		})
	}
	asks.Wait()
	return answers
}

func (sr *StatusCollector) askOne(ctx context.Context, mb Member) StatusResult {
	status, err := sr.fetch(ctx, mb)
	return StatusResult{
		Member: mb,
		Status: status,
		Err:    err,
	}
}

func (sr *StatusCollector) fetch(ctx context.Context, mb Member) (Status, error) {
	if !mb.OperatorsAddress.IsValid() {
		return Status{}, classifier.New(classifier.RecordInvalid, "node %s names no operators' address", mb.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, sr.timeout)
	defer cancel()
	url := "http://" + mb.OperatorsAddress.String() + StatusPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Status{}, classifier.Wrap(err, classifier.Internal, "status of %s", mb.Name)
	}
	response, err := sr.client.Do(request)
	if err != nil {
		return Status{}, classifier.Wrap(err, classifier.PeerUnreachable, "status of %s", mb.Name)
	}
	defer func() { _ = response.Body.Close() }()
	return readStatus(mb, response)
}

func readStatus(mb Member, response *http.Response) (Status, error) {
	if response.StatusCode != http.StatusOK {
		return Status{}, classifier.New(classifier.PeerMessageInvalid, "status of %s: HTTP status %d", mb.Name, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return Status{}, classifier.Wrap(err, classifier.PeerUnreachable, "status of %s", mb.Name)
	}
	status, err := DecodeStatus(data)
	if err != nil {
		return Status{}, err
	}
	if status.Name != mb.Name {
		return Status{}, classifier.New(classifier.PeerMessageInvalid, "%s is answered by node %s and not by %s", mb.OperatorsAddress, status.Name, mb.Name)
	}
	return status, nil
}
