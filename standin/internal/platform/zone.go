package platform

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// maxWait bounds the wait of a watch and the TTL of a lease.
const maxWait = 5 * time.Minute

// zoneHandler serves the callers in one availability zone.
type zoneHandler struct {
	zone *keeper.Zone
}

func (zh *zoneHandler) get(rq *http.Request) (response, error) {
	et, err := zh.zone.Get(rq.Context(), rq.PathValue("key"))
	if err != nil {
		return response{}, err
	}
	header := revisionHeader(et.Revision)
	header.Set(storer.LeaseHeader, strconv.FormatUint(uint64(et.Lease), 10))
	return response{
		header: header,
		body:   et.Value,
	}, nil
}

func (zh *zoneHandler) list(rq *http.Request) (response, error) {
	entries, revision, err := zh.zone.List(rq.Context(), rq.URL.Query().Get("prefix"))
	if err != nil {
		return response{}, err
	}
	return jsonResponse(storer.EncodeListing(storer.Listing{
		Entries:  entries,
		Revision: revision,
	}))
}

func (zh *zoneHandler) put(rq *http.Request) (response, error) {
	expected, err := parseNumber(storer.ExpectedRevisionHeader, rq.Header.Get(storer.ExpectedRevisionHeader))
	if err != nil {
		return response{}, err
	}
	var lease uint64
	if text := rq.Header.Get(storer.LeaseHeader); text != "" {
		lease, err = parseNumber(storer.LeaseHeader, text)
		if err != nil {
			return response{}, err
		}
	}
	value, err := io.ReadAll(io.LimitReader(rq.Body, storer.MaxValueBytes+1))
	if err != nil {
		return response{}, classifier.Wrap(err, classifier.MalformedRequest, "read value")
	}
	revision, err := zh.zone.Put(rq.Context(), rq.PathValue("key"), value, storer.Revision(expected), storer.LeaseID(lease))
	return response{
		header: revisionHeader(revision),
	}, err
}

func (zh *zoneHandler) remove(rq *http.Request) (response, error) {
	expected, err := parseNumber(storer.ExpectedRevisionHeader, rq.Header.Get(storer.ExpectedRevisionHeader))
	if err != nil {
		return response{}, err
	}
	return response{}, zh.zone.Delete(rq.Context(), rq.PathValue("key"), storer.Revision(expected))
}

func (zh *zoneHandler) grant(rq *http.Request) (response, error) {
	ttl, err := parseDuration("ttl", rq.URL.Query().Get("ttl"))
	if err != nil {
		return response{}, err
	}
	id, err := zh.zone.Grant(rq.Context(), ttl)
	if err != nil {
		return response{}, err
	}
	return jsonResponse(storer.EncodeLease(id))
}

func (zh *zoneHandler) renew(rq *http.Request) (response, error) {
	id, err := parseNumber("lease", rq.PathValue("id"))
	if err != nil {
		return response{}, err
	}
	return response{}, zh.zone.Renew(rq.Context(), storer.LeaseID(id))
}

func (zh *zoneHandler) revoke(rq *http.Request) (response, error) {
	id, err := parseNumber("lease", rq.PathValue("id"))
	if err != nil {
		return response{}, err
	}
	return response{}, zh.zone.Revoke(rq.Context(), storer.LeaseID(id))
}

func (zh *zoneHandler) watch(rq *http.Request) (response, error) {
	query := rq.URL.Query()
	after, err := parseNumber("after", query.Get("after"))
	if err != nil {
		return response{}, err
	}
	wait, err := parseDuration("wait", query.Get("wait"))
	if err != nil {
		return response{}, err
	}
	events, revision, err := zh.zone.Watch(rq.Context(), query.Get("prefix"), storer.Revision(after), wait)
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return response{status: http.StatusGone}, nil
	}
	if err != nil {
		return response{}, err
	}
	return jsonResponse(storer.EncodeChanges(storer.Changes{
		Events:   events,
		Revision: revision,
	}))
}

func (zh *zoneHandler) vms(rq *http.Request) (response, error) {
	vms, err := zh.zone.VMs(rq.Context())
	if err != nil {
		return response{}, err
	}
	if zone := rq.URL.Query().Get("zone"); zone != "" {
		vms = slices.DeleteFunc(slices.Clone(vms), func(vm storer.VM) bool { return vm.Zone != zone })
	}
	an, err := jsonResponse(storer.EncodeVMs(vms))
	if err != nil {
		return response{}, err
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(an.body), 16))
	an.header.Set("ETag", tag)
	if rq.Header.Get("If-None-Match") == tag {
		an.status = http.StatusNotModified
		an.body = nil
	}
	return an, nil
}

func (zh *zoneHandler) reboot(rq *http.Request) (response, error) {
	return response{
		status: http.StatusAccepted,
	}, zh.zone.Reboot(rq.Context(), rq.PathValue("name"))
}

func revisionHeader(revision storer.Revision) http.Header {
	header := http.Header{}
	header.Set(storer.RevisionHeader, formatRevision(revision))
	return header
}

func jsonResponse(body []byte, err error) (response, error) {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	return response{
		header: header,
		body:   body,
	}, err
}

func parseNumber(name, text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, classifier.Wrap(err, classifier.MalformedRequest, "%s", name)
	}
	return number, nil
}

// parseDuration parses a duration that must be above zero and at most maxWait.
func parseDuration(name, text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, classifier.Wrap(err, classifier.MalformedRequest, "%s", name)
	}
	if duration <= 0 || duration > maxWait {
		return 0, classifier.New(classifier.MalformedRequest, "%s %s is out of range: must be above 0 and at most %s", name, duration, maxWait)
	}
	return duration, nil
}
