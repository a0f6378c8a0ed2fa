package provider

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// StoreHandler returns the handler of the metadata store for callers in a zone.
func (pv *Provider) StoreHandler(zone string) http.Handler {
	sh := &storeHandler{
		store: pv.keeper.Zone(zone, keeper.WithCallTimeout(0)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", sh.get)
	mux.HandleFunc("GET /kv-range", sh.list)
	mux.HandleFunc("GET /kv-watch", sh.watch)
	mux.HandleFunc("POST /kv-txn", sh.commit)
	mux.HandleFunc("POST /kv-lease", sh.grant)
	mux.HandleFunc("POST /kv-keep/{id}", sh.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", sh.revoke)
	return mux
}

type storeHandler struct {
	store storer.TransactionStore
}

// storeItem is the wire form of a store entry.
type storeItem struct {
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	Revision      uint64 `json:"revision"`
	Lease         uint64 `json:"lease"`
	StoreRevision uint64 `json:"store_revision,omitempty"`
	Removed       bool   `json:"removed,omitempty"`
}

func itemOf(et storer.Entry) storeItem {
	return storeItem{
		Key:      et.Key,
		Value:    et.Value,
		Revision: uint64(et.Revision),
		Lease:    uint64(et.Lease),
	}
}

func (sh *storeHandler) get(rw http.ResponseWriter, rq *http.Request) {
	et, err := sh.store.Get(rq.Context(), rq.URL.Query().Get("key"))
	if err != nil {
		writeStoreError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, itemOf(et))
}

func (sh *storeHandler) list(rw http.ResponseWriter, rq *http.Request) {
	entries, revision, err := sh.store.List(rq.Context(), rq.URL.Query().Get("prefix"))
	if err != nil {
		writeStoreError(rw, err)
		return
	}
	const pageItems = 500
	after := rq.URL.Query().Get("after")
	items := []storeItem{}
	isTruncated := false
	for _, et := range entries {
		if et.Key <= after {
			continue
		}
		if len(items) == pageItems {
			isTruncated = true
			break
		}
		items = append(items, itemOf(et))
	}
	writeJSON(rw, http.StatusOK, map[string]any{"items": items, "truncated": isTruncated, "store_revision": uint64(revision)})
}

func (sh *storeHandler) watch(rw http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	events, revision, err := sh.store.Watch(rq.Context(), query.Get("prefix"), storer.Revision(after), time.Duration(wait)*time.Millisecond)
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		rw.WriteHeader(http.StatusGone)
		return
	}
	if err != nil {
		writeStoreError(rw, err)
		return
	}
	items := []storeItem{}
	for _, ev := range events {
		it := itemOf(ev.Entry)
		it.Removed = ev.Deleted
		items = append(items, it)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"events": items, "store_revision": uint64(revision)})
}

func (sh *storeHandler) commit(rw http.ResponseWriter, rq *http.Request) {
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
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	tx := storer.Transaction{
		Deletes: body.Remove,
	}
	for _, ex := range body.Expected {
		tx.Preconditions = append(tx.Preconditions, storer.Precondition{
			Key:      ex.Key,
			Revision: storer.Revision(ex.Revision),
		})
	}
	for _, wr := range body.Writes {
		tx.Writes = append(tx.Writes, storer.Write{
			Key:   wr.Key,
			Value: wr.Value,
			Lease: storer.LeaseID(wr.Lease),
		})
	}
	revision, err := sh.store.Commit(rq.Context(), tx)
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		items := []storeItem{}
		for _, ex := range tx.Preconditions {
			it := itemOf(conflict.Entries[ex.Key])
			it.Key = ex.Key
			items = append(items, it)
		}
		writeJSON(rw, http.StatusPreconditionFailed, map[string]any{"items": items})
	case err != nil:
		writeStoreError(rw, err)
	default:
		writeJSON(rw, http.StatusOK, map[string]any{"revision": uint64(revision)})
	}
}

func (sh *storeHandler) grant(rw http.ResponseWriter, rq *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	lease, err := sh.store.Grant(rq.Context(), time.Duration(body.TTLMS)*time.Millisecond)
	if err != nil {
		writeStoreError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"lease": uint64(lease), "ttl_ms": body.TTLMS})
}

func (sh *storeHandler) renew(rw http.ResponseWriter, rq *http.Request) {
	sh.changeLease(rw, rq, sh.store.Renew)
}

func (sh *storeHandler) revoke(rw http.ResponseWriter, rq *http.Request) {
	sh.changeLease(rw, rq, sh.store.Revoke)
}

func (sh *storeHandler) changeLease(rw http.ResponseWriter, rq *http.Request, change func(ctx context.Context, lease storer.LeaseID) error) {
	id, err := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	if err == nil {
		err = change(rq.Context(), storer.LeaseID(id))
	}
	if err != nil {
		writeStoreError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"ttl_ms": 0})
}

// writeStoreError responds with the status that corresponds to an error. For an
// ambiguous error it closes the connection without a response.
func writeStoreError(rw http.ResponseWriter, err error) {
	switch classifier.CodeOf(err) {
	case classifier.PlatformNotFound, classifier.LeaseLost:
		rw.WriteHeader(http.StatusNotFound)
	case classifier.PlatformRateLimited:
		rw.WriteHeader(http.StatusTooManyRequests)
	case classifier.PlatformAmbiguous:
		panic(http.ErrAbortHandler)
	default:
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}
