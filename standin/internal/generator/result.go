package generator

import (
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/ledger"
	"coltsfootwick.example/standin/internal/sealer"
)

const problemType = "application/problem+json"

// wireProblem holds the members of a problem document that the ledger needs.
type wireProblem struct {
	Status    int                `json:"status"`
	Code      classifier.Code    `json:"code"`
	Outcome   classifier.Outcome `json:"outcome"`
	RequestID string             `json:"requestId"`
}

// resultOf returns what a complete HTTP message holds.
func resultOf(rsp *http.Response, body []byte) ledger.Result {
	media, _, _ := mime.ParseMediaType(rsp.Header.Get("Content-Type"))
	if media == problemType {
		return refusalOf(rsp, body)
	}
	identifier, err := sealer.Open(body)
	if err != nil && rsp.StatusCode != http.StatusOK {
		return ledger.Unclear{
			Status: rsp.StatusCode,
			Detail: err.Error(),
		}
	}
	return ledger.Answer{
		Status:     rsp.StatusCode,
		Whole:      err == nil,
		Identifier: identifier,
	}
}

func refusalOf(rsp *http.Response, body []byte) ledger.Result {
	var problem wireProblem
	err := json.Unmarshal(body, &problem)
	_, known := classifier.Describe(problem.Code)
	outcome := problem.Outcome
	sound := outcome == classifier.NotRun || outcome == classifier.Ran || outcome == classifier.Unknown
	if err != nil || !known || !sound || problem.Status != rsp.StatusCode {
		return ledger.Unclear{
			Status: rsp.StatusCode,
			Detail: fmt.Sprintf("problem document %.200q is not valid", body),
		}
	}
	seconds, _ := strconv.Atoi(rsp.Header.Get("Retry-After"))
	return ledger.Refusal{
		Status:     rsp.StatusCode,
		Code:       problem.Code,
		Outcome:    outcome,
		RequestID:  problem.RequestID,
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}
