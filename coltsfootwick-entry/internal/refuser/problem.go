// Package refuser writes problem documents (RFC 9457) for refused requests.
package refuser

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

const (
	contentType = "application/problem+json"
	typePrefix  = "urn:coltsfootwick:result:"
)

// Problem explains to a caller why its request got no answer from a target.
type Problem struct {
	// Code is the result code.
	Code classifier.Code
	// Detail explains this occurrence of the problem.
	Detail string
	// Outcome states whether the request ran, as far as the entry knows.
	Outcome classifier.Outcome
	// RequestID identifies the request in logs.
	RequestID string
	// RetryAfter is the suggested delay before a retry; zero for none.
	RetryAfter time.Duration
}

type wireProblem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Code      int    `json:"code"`
	CodeName  string `json:"codeName"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId"`
}

// Status returns the HTTP status of the problem.
func (pm Problem) Status() int { return statusOf(pm.Code) }

// Write writes the problem as the answer to a request.
func (pm Problem) Write(w http.ResponseWriter) {
	dn, _ := classifier.Describe(pm.Code)
	status := pm.Status()
	data, err := json.Marshal(wireProblem{
		Type:      typePrefix + dn.Name,
		Title:     dn.Summary,
		Status:    status,
		Detail:    pm.Detail,
		Code:      int(pm.Code),
		CodeName:  dn.Name,
		Outcome:   string(pm.Outcome),
		RequestID: pm.RequestID,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(data)))
	header.Set("X-Request-Id", pm.RequestID)
	if pm.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(pm.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
