package sender

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"coltsfootwick.example/coltsfootwick-entry/internal/parser"
)

// viaValue is the entry's value of the Via header, see RFC 9110, section 7.6.3.
const viaValue = "1.1 coltsfootwick-entry"

// Request is a request with its complete body in memory.
type Request struct {
	// Method is the HTTP method.
	Method string
	// URL is the URL as the caller wrote it.
	URL *url.URL
	// Host is the Host header.
	Host string
	// Header holds the end-to-end headers. Send adds the headers of the attempt.
	Header http.Header
	// Concurrent is true if several attempts may send the request concurrently.
	Concurrent bool
	// Body is the complete body.
	Body []byte
	// Trailer holds the trailers that followed the body.
	Trailer http.Header
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// MaxAnswerBytes limits the answer's body.
	MaxAnswerBytes int64
	// MaxBufferedBytes limits the part of the answer's body that is buffered.
	// A longer body is streamed.
	MaxBufferedBytes int64
	// Memory is the budget from which the answer's buffer is reserved.
	Memory Memory
}

// Memory is a memory budget. It is safe for concurrent use.
type Memory interface {
	// Reserve reserves bytes, or returns false if too few are available.
	Reserve(bytes int64) bool
	// Release returns reserved bytes.
	Release(bytes int64)
}

// httpRequest returns the HTTP request that an attempt writes.
func (rt *Request) httpRequest(attempt string, now time.Time) *http.Request {
	header := rt.Header
	if rt.Concurrent {
		header = maps.Clone(header)
	}
	remaining := max(rt.Deadline.Sub(now).Milliseconds(), 1)
	header[parser.AttemptHeader] = []string{attempt}
	header[parser.DeadlineHeader] = []string{strconv.FormatInt(remaining, 10)}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	ms := &http.Request{
		Method:        rt.Method,
		URL:           rt.URL,
		Host:          rt.Host,
		Header:        header,
		ContentLength: int64(len(rt.Body)),
	}
	if len(rt.Body) > 0 {
		ms.Body = io.NopCloser(bytes.NewReader(rt.Body))
	}
	if len(rt.Trailer) > 0 {
		ms.Body = io.NopCloser(bytes.NewReader(rt.Body))
		ms.Trailer = rt.Trailer
		ms.ContentLength = -1
		ms.TransferEncoding = []string{"chunked"}
	}
	return ms
}

// requestURL returns the URL to write for a request URI. The URI is forwarded
// exactly as the caller wrote it where net/http allows that.
func requestURL(requestURI string, parsed *url.URL) *url.URL {
	if !strings.HasPrefix(requestURI, "/") || strings.HasPrefix(requestURI, "//") {
		return &url.URL{
			Path:     parsed.Path,
			RawPath:  parsed.RawPath,
			RawQuery: parsed.RawQuery,
		}
	}
	return &url.URL{Opaque: requestURI}
}

// NewRequest returns the caller's request with its body. It takes ownership of
// the headers of the caller's request and removes the hop-by-hop headers.
func NewRequest(caller *http.Request, body []byte) *Request {
	removeHopByHop(caller.Header)
	caller.Header["Via"] = append(caller.Header["Via"], viaValue)
	return &Request{
		Method:  caller.Method,
		URL:     requestURL(caller.RequestURI, caller.URL),
		Host:    caller.Host,
		Header:  caller.Header,
		Body:    body,
		Trailer: caller.Trailer,
	}
}
