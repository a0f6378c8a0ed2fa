package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Durations of the advice service, as the configuration gives them.
const (
	decisionTime = 100 * time.Millisecond
	adviceTime   = 10 * time.Millisecond
	ticketTime   = 5 * time.Second
)

// adviser is the advice service. It takes one call at a time, as there is one caller
// at a time.
type adviser struct {
	rec *record
	mu  sync.Mutex
	// allows tells whether the policy lets a step run on an executor.
	allows func(step, executor string) bool
	calls  int
}

// ticketOf returns the ticket of a step for a life of an executor.
func ticketOf(step, executor string) string { return "t-" + step + "-" + executor }

func (ad *adviser) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", func(rw http.ResponseWriter, rq *http.Request) {
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(rq.Body).Decode(&body) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		ad.mu.Lock()
		defer ad.mu.Unlock()
		time.Sleep(decisionTime + time.Duration(len(body.Workers))*adviceTime)
		good := [][]string{}
		for _, id := range body.Workers {
			if ad.allows(body.Step, id) {
				good = append(good, []string{id, ticketOf(body.Step, id)})
			}
		}
		ad.calls++
		ad.rec.log("advice on step %s for %d executors: %d may run it", body.Step, len(body.Workers), len(good))
		writeJSON(rw, http.StatusOK, map[string]any{"good": good})
	})
	return mux
}

// stepOf returns the step of a work unit.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }
