package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// cloudHandler serves the VM interface.
func (fl *fleet) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", fl.listMachines)
	mux.HandleFunc("POST /machine-move", fl.machineMove)
	mux.HandleFunc("POST /machine-upkeep", fl.machineUpkeep)
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		fl.mu.Lock()
		isSilent := time.Now().Before(fl.cloudSilentUntil)
		fl.mu.Unlock()
		if isSilent {
			// The call is not carried out and its channel stays without an answer.
			fl.rec.log("platform: %s %s of %s gets no answer", rq.Method, rq.URL.Path, rq.Header.Get("Holder"))
			<-rq.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(fl.cloudTime)
		mux.ServeHTTP(rw, rq)
	})
}

func (fl *fleet) listMachines(rw http.ResponseWriter, _ *http.Request) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	entries := []map[string]any{}
	for _, m := range fl.machines {
		id, labels := "", []string{}
		if m.boot != nil {
			id, labels = m.boot.id, m.boot.labels
		}
		entries = append(entries, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": labels,
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 131072, "gpu": 0}, "id": id,
		})
	}
	sort.Slice(entries, func(a, b int) bool { return fmt.Sprint(entries[a]["machine"]) < fmt.Sprint(entries[b]["machine"]) })
	answer(rw, http.StatusOK, map[string]any{"machines": entries, "next_token": nil})
}

type vmOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (fl *fleet) machineMove(rw http.ResponseWriter, rq *http.Request) {
	var od vmOrder
	_ = json.NewDecoder(rq.Body).Decode(&od)
	fl.takeDown(rw, rq, od, "move to "+od.Pool, func(m *machine) string {
		switch {
		case m.pool == od.Pool:
			return "done"
		case m.state != "up":
			return "busy"
		}
		m.pool, m.state = od.Pool, "moving"
		return ""
	}, fl.moveTime)
}

func (fl *fleet) machineUpkeep(rw http.ResponseWriter, rq *http.Request) {
	var od vmOrder
	_ = json.NewDecoder(rq.Body).Decode(&od)
	fl.takeDown(rw, rq, od, fmt.Sprintf("upkeep of wave %d", od.Wave), func(m *machine) string {
		done, ok := fl.waves[od.Wave]
		_, isOfWave := done[m.name]
		switch {
		case !ok || !isOfWave:
			return "wave"
		case done[m.name]:
			return "done"
		case m.state != "up":
			return "busy"
		}
		done[m.name] = true
		m.state = "upkeep"
		return ""
	}, fl.upkeepTime)
}

// takeDown carries out an order that takes a machine down. begin returns an empty text,
// "done", or the reason of a refusal.
func (fl *fleet) takeDown(rw http.ResponseWriter, rq *http.Request, od vmOrder, name string, begin func(m *machine) string, away time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	m := fl.machines[od.Machine]
	if m == nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	holder := rq.Header.Get("Holder")
	fence, _ := strconv.ParseUint(rq.Header.Get("Fencing-Token"), 10, 64)
	reason := "fence"
	if fence >= m.fence {
		m.fence = fence
		reason = begin(m)
	}
	status := http.StatusOK
	if reason != "" && reason != "done" {
		status = http.StatusConflict
	}
	fl.rec.log("platform: %s orders the %s of %s, fence %d: %d %s", holder, name, m.name, fence, status, reason)
	if reason == "" {
		fl.hooks.ordered(m, holder, name, status)
		labels := []string{"a", "r1"}
		if b := m.boot; b != nil {
			labels = b.labels
			fl.store.delete("servers/" + b.id)
			fl.crash(m)
		}
		time.AfterFunc(away, func() {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			m.state = "up"
			if !fl.standby[m.pool] {
				fl.start(m, fmt.Sprintf("i-%s-%d", m.name, m.lives), labels, false)
			}
		})
	}
	if status == http.StatusConflict {
		answer(rw, status, map[string]string{"reason": reason})
		return
	}
	answer(rw, status, struct{}{})
}
