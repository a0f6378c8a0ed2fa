package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_revision"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu        sync.Mutex
	changed   chan struct{}
	revision  uint64
	items     map[string]item
	leases    map[uint64]*storeLease
	lastLease uint64
	history   []item
}

func newStore() *store {
	st := &store{
		changed:  make(chan struct{}),
		revision: 100,
		items:    map[string]item{},
		leases:   map[uint64]*storeLease{},
	}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			st.expire()
		}
	}()
	return st
}

func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) set(key string, value []byte, lease uint64) {
	it, ok := st.items[key]
	if !ok {
		it = item{Key: key, Created: st.revision}
	}
	it.Value, it.Revision, it.Lease = value, st.revision, lease
	st.items[key] = it
	st.history = append(st.history, it)
}

func (st *store) remove(key string) {
	if _, ok := st.items[key]; ok {
		delete(st.items, key)
		st.history = append(st.history, item{Key: key, Revision: st.revision, Removed: true})
	}
}

func (st *store) expire() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, ls := range st.leases {
		if time.Now().After(ls.expires) {
			st.endLease(id)
		}
	}
}

func (st *store) endLease(id uint64) {
	delete(st.leases, id)
	st.revision++
	for key, it := range st.items {
		if it.Lease == id {
			st.remove(key)
		}
	}
	st.notify()
}

// put writes a key as the operator or an executor does.
func (st *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.set(key, data, 0)
	st.notify()
}

func (st *store) delete(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.remove(key)
	st.notify()
}

// valueWithSuffix returns the value of the key with a suffix, or nil.
func (st *store) valueWithSuffix(suffix string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	for key, it := range st.items {
		if strings.HasSuffix(key, suffix) {
			return it.Value
		}
	}
	return nil
}

// lastCreated returns the revision at which the present key with a suffix was created, or
// zero.
func (st *store) lastCreated(suffix string) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	for key, it := range st.items {
		if strings.HasSuffix(key, suffix) {
			return it.Created
		}
	}
	return 0
}

func answer(rw http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (st *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", func(rw http.ResponseWriter, rq *http.Request) {
		st.mu.Lock()
		it, ok := st.items[rq.FormValue("key")]
		revision := st.revision
		st.mu.Unlock()
		if !ok {
			answer(rw, http.StatusNotFound, map[string]any{"store_revision": revision})
			return
		}
		answer(rw, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "create_revision": it.Created, "lease": it.Lease, "store_revision": revision})
	})
	mux.HandleFunc("GET /kv-range", func(rw http.ResponseWriter, rq *http.Request) {
		const pageItems = 500
		st.mu.Lock()
		items := []item{}
		for key, it := range st.items {
			if strings.HasPrefix(key, rq.FormValue("prefix")) && key > rq.FormValue("after") {
				items = append(items, it)
			}
		}
		revision := st.revision
		st.mu.Unlock()
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		isTruncated := len(items) > pageItems
		if isTruncated {
			items = items[:pageItems]
		}
		answer(rw, http.StatusOK, map[string]any{"items": items, "truncated": isTruncated, "store_revision": revision})
	})
	mux.HandleFunc("GET /kv-watch", st.watch)
	mux.HandleFunc("POST /kv-txn", st.transact)
	mux.HandleFunc("POST /kv-lease", func(rw http.ResponseWriter, rq *http.Request) {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(rq.Body).Decode(&body)
		st.mu.Lock()
		defer st.mu.Unlock()
		st.lastLease++
		ttl := time.Duration(body.TTL) * time.Millisecond
		st.leases[st.lastLease] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		answer(rw, http.StatusOK, map[string]any{"lease": st.lastLease, "ttl_ms": body.TTL})
	})
	mux.HandleFunc("POST /kv-keep/{id}", func(rw http.ResponseWriter, rq *http.Request) {
		id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
		st.mu.Lock()
		defer st.mu.Unlock()
		ls, ok := st.leases[id]
		if !ok {
			answer(rw, http.StatusNotFound, struct{}{})
			return
		}
		ls.expires = time.Now().Add(ls.ttl)
		answer(rw, http.StatusOK, map[string]any{"ttl_ms": ls.ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /kv-lease-end/{id}", func(rw http.ResponseWriter, rq *http.Request) {
		id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
		st.mu.Lock()
		defer st.mu.Unlock()
		if _, ok := st.leases[id]; !ok {
			answer(rw, http.StatusNotFound, struct{}{})
			return
		}
		st.endLease(id)
		answer(rw, http.StatusOK, struct{}{})
	})
	return mux
}

func (st *store) watch(rw http.ResponseWriter, rq *http.Request) {
	prefix := rq.FormValue("prefix")
	after, _ := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	waitMS, _ := strconv.Atoi(rq.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		st.mu.Lock()
		events := []item{}
		for _, ev := range st.history {
			if ev.Revision > after && strings.HasPrefix(ev.Key, prefix) {
				events = append(events, ev)
			}
		}
		revision, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(events) > 0 || isOver {
			answer(rw, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *store) transact(rw http.ResponseWriter, rq *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(rq.Body).Decode(&body) != nil || len(body.Expected)+len(body.Writes)+len(body.Remove) > 32 {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	items, isMet := []item{}, true
	for _, ex := range body.Expected {
		it, ok := st.items[ex.Key]
		if ok {
			items = append(items, it)
		}
		isMet = isMet && it.Revision == ex.Revision
	}
	if !isMet {
		answer(rw, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, wr := range body.Writes {
		if _, ok := st.leases[wr.Lease]; !ok && wr.Lease != 0 {
			answer(rw, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			answer(rw, http.StatusForbidden, struct{}{})
			return
		}
	}
	st.revision++
	for _, wr := range body.Writes {
		st.set(wr.Key, wr.Value, wr.Lease)
	}
	for _, key := range body.Remove {
		st.remove(key)
	}
	st.notify()
	answer(rw, http.StatusOK, map[string]any{"revision": st.revision})
}
