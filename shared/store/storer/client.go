package storer

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The defaults of a client.
const (
	defaultTimeout = 2 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 60 * time.Second
	// maxIdleConnections is the number of unused connections kept open.
	maxIdleConnections = 8
	// maxAnswerBytes is the size of the largest answer accepted.
	maxAnswerBytes = 64 << 20
)

// Option is an option of New and NewFleet.
type Option func(*client)

// WithTimeout sets the timeout of a call. A watch may take that much longer than
// its wait.
func WithTimeout(timeout time.Duration) Option {
	return func(cl *client) { cl.timeout = timeout }
}

// WithTransport sets the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(cl *client) { cl.http.Transport = transport }
}

// WithVMZone limits the list that VMs returns to one availability zone.
func WithVMZone(zone string) Option {
	return func(cl *client) { cl.vmZone = zone }
}

// client is an HTTP client of the platform's service. It doesn't retry.
type client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	vmZone  string

	mu sync.Mutex
	// cachedTag and cachedVMs are the last VM list with its entity tag.
	cachedTag string
	cachedVMs []VM
}

// New returns a client of the key-value service at a base URL, such as
// http://127.0.0.1:7000.
func New(baseURL string, opts ...Option) Store {
	return newClient(baseURL, opts)
}

// NewFleet returns a client of the platform's VM list at a base URL.
func NewFleet(baseURL string, opts ...Option) Fleet {
	return newClient(baseURL, opts)
}

func newClient(baseURL string, opts []Option) *client {
	cl := &client{
		base:    strings.TrimSuffix(baseURL, "/"),
		timeout: defaultTimeout,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConnections,
				IdleConnTimeout:     idleTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Get implements Store.
func (cl *client) Get(ctx context.Context, key string) (Entry, error) {
	an, err := cl.do(ctx, call{
		method: http.MethodGet,
		path:   keyPath(key),
		gone:   goneMeansNotFound,
	})
	if err != nil {
		return Entry{}, err
	}
	revision, err := an.revision()
	if err != nil {
		return Entry{}, err
	}
	return Entry{
		Key:      key,
		Value:    an.body,
		Revision: revision,
		Lease:    an.lease(),
	}, nil
}

// List implements Store.
func (cl *client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	an, err := cl.do(ctx, call{
		method: http.MethodGet,
		path:   "/v1/kv?prefix=" + url.QueryEscape(prefix),
		gone:   goneMeansNotFound,
	})
	if err != nil {
		return nil, 0, err
	}
	ls, err := DecodeListing(an.body)
	return ls.Entries, ls.Revision, err
}

// Put implements Store.
func (cl *client) Put(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error) {
	if err := checkSize(key, value); err != nil {
		return 0, err
	}
	header := expectedHeader(expected)
	if lease != 0 {
		header.Set(LeaseHeader, strconv.FormatUint(uint64(lease), 10))
	}
	an, err := cl.do(ctx, call{
		method:  http.MethodPut,
		path:    keyPath(key),
		header:  header,
		body:    value,
		isWrite: true,
	})
	if err != nil {
		return 0, err
	}
	return an.revision()
}

// Delete implements Store.
func (cl *client) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := cl.do(ctx, call{
		method:  http.MethodDelete,
		path:    keyPath(key),
		header:  expectedHeader(expected),
		isWrite: true,
	})
	return err
}

// Grant implements Store.
func (cl *client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	an, err := cl.do(ctx, call{
		method:  http.MethodPost,
		path:    "/v1/leases?ttl=" + url.QueryEscape(ttl.String()),
		isWrite: true,
	})
	if err != nil {
		return 0, err
	}
	id, err := DecodeLease(an.body)
	if err != nil {
		return 0, an.decodeError(err)
	}
	return id, nil
}

// Renew implements Store.
func (cl *client) Renew(ctx context.Context, lease LeaseID) error {
	_, err := cl.do(ctx, call{
		method:  http.MethodPut,
		path:    leasePath(lease),
		isWrite: true,
	})
	return err
}

// Revoke implements Store.
func (cl *client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := cl.do(ctx, call{
		method:  http.MethodDelete,
		path:    leasePath(lease),
		isWrite: true,
	})
	return err
}

// Watch implements Store.
func (cl *client) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.String()},
	}
	an, err := cl.do(ctx, call{
		method: http.MethodGet,
		path:   "/v1/watch?" + query.Encode(),
		wait:   wait,
		gone:   goneMeansNotFound,
	})
	if err != nil {
		return nil, 0, err
	}
	cs, err := DecodeChanges(an.body)
	return cs.Events, cs.Revision, err
}

// VMs implements Fleet. If the service supports entity tags, it does not send an
// unchanged list again.
func (cl *client) VMs(ctx context.Context) ([]VM, error) {
	path := "/v1/vms"
	if cl.vmZone != "" {
		path += "?" + url.Values{"zone": {cl.vmZone}}.Encode()
	}
	tag, list := cl.cachedList()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	an, err := cl.do(ctx, call{
		method: http.MethodGet,
		path:   path,
		header: header,
		gone:   goneMeansNotFound,
	})
	if err != nil {
		return nil, err
	}
	if an.status == http.StatusNotModified {
		return slices.Clone(list), nil
	}
	vms, err := DecodeVMs(an.body)
	if err == nil {
		cl.cacheList(an.header.Get("ETag"), vms)
	}
	return vms, err
}

func (cl *client) cachedList() (string, []VM) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.cachedTag, cl.cachedVMs
}

// cacheList stores the list with its entity tag. An empty tag disables the cache.
func (cl *client) cacheList(tag string, vms []VM) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.cachedTag = tag
	cl.cachedVMs = slices.Clone(vms)
}

// Reboot implements Fleet.
func (cl *client) Reboot(ctx context.Context, name string) error {
	_, err := cl.do(ctx, call{
		method:  http.MethodPost,
		path:    "/v1/vms/" + url.PathEscape(name) + "/reboot",
		isWrite: true,
		gone:    goneMeansNotFound,
	})
	return err
}

// keyPath returns the path of a key with its segments escaped.
func keyPath(key string) string {
	segments := strings.Split(key, "/")
	for idx, segment := range segments {
		segments[idx] = url.PathEscape(segment)
	}
	return "/v1/kv/" + strings.Join(segments, "/")
}

func leasePath(lease LeaseID) string {
	return "/v1/leases/" + strconv.FormatUint(uint64(lease), 10)
}

func expectedHeader(expected Revision) http.Header {
	header := http.Header{}
	header.Set(ExpectedRevisionHeader, strconv.FormatUint(uint64(expected), 10))
	return header
}
