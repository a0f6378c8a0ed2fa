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

// The limits and defaults of a StatusCollector.
const (
	defaultNodeTimeout  = time.Second
	maxParallelRequests = 32
	maxStatusBytes      = 64 << 10
)

// StatusCollector fetches the status of nodes. It is safe for concurrent use.
type StatusCollector struct {
	store   storer.Store
	client  *http.Client
	timeout time.Duration
}

// StatusCollectorOption is an option of NewStatusCollector.
type StatusCollectorOption func(*StatusCollector)

// WithNodeTimeout sets the timeout for the answer of each node.
func WithNodeTimeout(timeout time.Duration) StatusCollectorOption {
	return func(sc *StatusCollector) { sc.timeout = timeout }
}

// NewStatusCollector returns a StatusCollector that reads the member records of the
// nodes from the store.
func NewStatusCollector(store storer.Store, opts ...StatusCollectorOption) *StatusCollector {
	sc := &StatusCollector{
		store:   store,
		client:  &http.Client{},
		timeout: defaultNodeTimeout,
	}
	for _, opt := range opts {
		opt(sc)
	}
	return sc
}

// StatusResult is the result of fetching the status of one node.
type StatusResult struct {
	// Member is the node.
	Member Member
	// Status is the node's status if Err is nil.
	Status Status
	// Err is the error if the status could not be fetched.
	Err error
}

// Members returns the member records of all nodes, ordered by name. For a record that
// can't be decoded it returns a Member with only the name.
func (sc *StatusCollector) Members(ctx context.Context) ([]Member, error) {
	entries, _, err := sc.store.List(ctx, storer.MemberPrefix)
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

// Collect fetches the status of the nodes, with a limited number of parallel requests,
// and returns the results in the order of the members.
func (sc *StatusCollector) Collect(ctx context.Context, members []Member) []StatusResult {
	results := make([]StatusResult, len(members))
	slots := make(chan struct{}, maxParallelRequests)
	var requests sync.WaitGroup
	for idx, mb := range members {
		slots <- struct{}{}
		requests.Go(func() {
			defer func() { <-slots }()
			results[idx] = sc.collectOne(ctx, mb)
		})
	}
	requests.Wait()
	return results
}

func (sc *StatusCollector) collectOne(ctx context.Context, mb Member) StatusResult {
	status, err := sc.fetch(ctx, mb)
	return StatusResult{
		Member: mb,
		Status: status,
		Err:    err,
	}
}

func (sc *StatusCollector) fetch(ctx context.Context, mb Member) (Status, error) {
	if !mb.OperatorsAddress.IsValid() {
		return Status{}, classifier.New(classifier.RecordInvalid, "member record of node %s has no operators' address", mb.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, sc.timeout)
	defer cancel()
	url := "http://" + mb.OperatorsAddress.String() + StatusPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Status{}, classifier.Wrap(err, classifier.Internal, "fetch status of %s", mb.Name)
	}
	response, err := sc.client.Do(request)
	if err != nil {
		return Status{}, classifier.Wrap(err, classifier.PeerUnreachable, "fetch status of %s", mb.Name)
	}
	defer func() { _ = response.Body.Close() }()
	return readStatus(mb, response)
}

func readStatus(mb Member, response *http.Response) (Status, error) {
	if response.StatusCode != http.StatusOK {
		return Status{}, classifier.New(classifier.PeerMessageInvalid, "fetch status of %s: HTTP status %d", mb.Name, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return Status{}, classifier.Wrap(err, classifier.PeerUnreachable, "fetch status of %s", mb.Name)
	}
	status, err := DecodeStatus(data)
	if err != nil {
		return Status{}, err
	}
	if status.Name != mb.Name {
		return Status{}, classifier.New(classifier.PeerMessageInvalid, "status page at %s is served by node %s instead of %s", mb.OperatorsAddress, status.Name, mb.Name)
	}
	return status, nil
}
