package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	changed  chan struct{}
}

// item is an entry, or an event that says that a key was removed.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
}

const (
	minTTL        = time.Second
	pageItems     = 500
	leaseInterval = 10 * time.Millisecond
	callTime      = 4 * time.Millisecond
)

func newStore() *store {
	st := &store{
		revision: 1,
		items:    map[string]item{},
		leases:   map[uint64]*lease{},
		changed:  make(chan struct{}),
	}
	go st.expireLeases()
	return st
}

// put writes a key for the platform, the operator or an executor.
func (st *store) put(key string, body any) {
	value, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply([]item{{Key: key, Value: value}}, nil)
}

func (st *store) remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(nil, []string{key})
}

// value returns the value of a key, or an empty string.
func (st *store) value(key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return string(st.items[key].Value)
}

// apply makes changes under one revision. The mutex has to be held.
func (st *store) apply(writes []item, removed []string) {
	st.revision++
	for _, it := range writes {
		it.Revision = st.revision
		it.CreateRevision = st.revision
		if old, ok := st.items[it.Key]; ok {
			it.CreateRevision = old.CreateRevision
		}
		st.items[it.Key] = it
		st.events = append(st.events, it)
	}
	for _, key := range removed {
		if _, ok := st.items[key]; ok {
			delete(st.items, key)
			st.events = append(st.events, item{Key: key, Revision: st.revision, Removed: true})
		}
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) expireLeases() {
	for range time.Tick(leaseInterval) {
		st.mu.Lock()
		for id, le := range st.leases {
			if time.Now().After(le.deadline) {
				st.endLease(id)
			}
		}
		st.mu.Unlock()
	}
}

func (st *store) endLease(id uint64) {
	delete(st.leases, id)
	var removed []string
	for key, it := range st.items {
		if it.Lease == id {
			removed = append(removed, key)
		}
	}
	if len(removed) > 0 {
		st.apply(nil, removed)
	}
}

func (st *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", st.serveKey)
	mux.HandleFunc("GET /kv-range", st.serveRange)
	mux.HandleFunc("GET /kv-watch", st.serveWatch)
	mux.HandleFunc("POST /kv-txn", st.serveTransaction)
	mux.HandleFunc("POST /kv-lease", st.serveGrant)
	mux.HandleFunc("POST /kv-keep/{id}", st.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", st.serveLeaseEnd)
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		time.Sleep(callTime)
		mux.ServeHTTP(rw, rq)
	})
}

func (st *store) serveKey(rw http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[rq.URL.Query().Get("key")]
	if !ok {
		writeJSON(rw, http.StatusNotFound, map[string]any{"store_revision": st.revision})
		return
	}
	writeJSON(rw, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{it, st.revision})
}

func (st *store) serveRange(rw http.ResponseWriter, rq *http.Request) {
	prefix, after := rq.URL.Query().Get("prefix"), rq.URL.Query().Get("after")
	st.mu.Lock()
	defer st.mu.Unlock()
	items := []item{}
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	isTruncated := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	writeJSON(rw, http.StatusOK, map[string]any{"items": items, "truncated": isTruncated, "store_revision": st.revision})
}

func (st *store) serveWatch(rw http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		st.mu.Lock()
		first := sort.Search(len(st.events), func(i int) bool { return st.events[i].Revision > after })
		events := slices.DeleteFunc(slices.Clone(st.events[first:]), func(it item) bool { return !strings.HasPrefix(it.Key, query.Get("prefix")) })
		revision, changed := st.revision, st.changed
		st.mu.Unlock()
		isOver := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-rq.Context().Done():
				return
			case <-timeout:
				isOver = true
			}
		}
		if len(events) > 0 || isOver {
			writeJSON(rw, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (st *store) serveTransaction(rw http.ResponseWriter, rq *http.Request) {
	var tx struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(rq.Body).Decode(&tx) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	isHeld := true
	items := []item{}
	for _, ex := range tx.Expected {
		it := st.items[ex.Key]
		it.Key = ex.Key
		items = append(items, it)
		isHeld = isHeld && it.Revision == ex.Revision
	}
	if !isHeld {
		writeJSON(rw, http.StatusPreconditionFailed, map[string]any{"items": items, "store_revision": st.revision})
		return
	}
	for _, wr := range tx.Writes {
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			rw.WriteHeader(http.StatusForbidden)
			return
		}
		if wr.Lease != 0 && st.leases[wr.Lease] == nil {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
	}
	st.apply(tx.Writes, tx.Remove)
	writeJSON(rw, http.StatusOK, map[string]any{"revision": st.revision})
}

func (st *store) serveGrant(rw http.ResponseWriter, rq *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(rq.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(body.TTLMS)*time.Millisecond, minTTL)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.leases[st.revision] = &lease{ttl: ttl, deadline: time.Now().Add(ttl)}
	writeJSON(rw, http.StatusOK, map[string]any{"lease": st.revision, "ttl_ms": ttl.Milliseconds()})
}

func (st *store) serveKeep(rw http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	le := st.leases[id]
	if le == nil {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	le.deadline = time.Now().Add(le.ttl)
	writeJSON(rw, http.StatusOK, map[string]any{"ttl_ms": le.ttl.Milliseconds()})
}

func (st *store) serveLeaseEnd(rw http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.leases[id] == nil {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	st.endLease(id)
	writeJSON(rw, http.StatusOK, map[string]any{})
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// An error means that the caller has closed the channel.
	_ = json.NewEncoder(rw).Encode(body)
}
