package provider

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// VMHandler returns the handler of the VM interface.
func (pv *Provider) VMHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", pv.listVMs)
	mux.HandleFunc("POST /machine-move", pv.moveVM)
	mux.HandleFunc("POST /machine-upkeep", pv.maintainVM)
	return mux
}

func (pv *Provider) listVMs(rw http.ResponseWriter, _ *http.Request) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	rows := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(pv.vms)) {
		machine := pv.vms[name]
		row := map[string]any{
			"machine":  machine.name,
			"pool":     machine.pool,
			"state":    wireState(machine.state),
			"zone":     machine.zone,
			"capacity": map[string]int{"cpu": machine.capacity.MilliCores, "mem_mb": machine.capacity.MemoryMB, "gpu": 0},
		}
		if machine.worker != nil {
			row["id"] = string(machine.worker.Worker().ID)
		}
		rows = append(rows, row)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// wireState returns the wire form of a VM state.
func wireState(state modeller.VMState) string {
	if state == modeller.VMMaintenance {
		return "upkeep"
	}
	return string(state)
}

// vmOrder is an order to move or maintain a VM.
type vmOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// acceptOrder decodes an order and checks its fencing token. It returns the VM,
// or nil if it has refused the order.
func (pv *Provider) acceptOrder(rw http.ResponseWriter, rq *http.Request) (*vm, vmOrder) {
	var vo vmOrder
	fence, err := strconv.ParseUint(rq.Header.Get("Fencing-Token"), 10, 64)
	if err == nil {
		err = json.NewDecoder(rq.Body).Decode(&vo)
	}
	machine := pv.vms[vo.Machine]
	switch {
	case err != nil || machine == nil:
		rw.WriteHeader(http.StatusBadRequest)
		return nil, vo
	case fence < machine.fence:
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "fence"})
		return nil, vo
	}
	machine.fence = fence
	return machine, vo
}

func (pv *Provider) moveVM(rw http.ResponseWriter, rq *http.Request) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine, vo := pv.acceptOrder(rw, rq)
	switch {
	case machine == nil:
	case machine.pool == vo.Pool:
		writeJSON(rw, http.StatusOK, map[string]string{})
	case machine.state != modeller.VMUp || !machine.drainsUntil.IsZero():
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
	default:
		pv.counts.Moves++
		pv.takeDown(machine, modeller.VMMoving, vo.Pool)
		writeJSON(rw, http.StatusOK, map[string]string{})
	}
}

func (pv *Provider) maintainVM(rw http.ResponseWriter, rq *http.Request) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	machine, vo := pv.acceptOrder(rw, rq)
	switch {
	case machine == nil:
	case machine.maintained[vo.Wave]:
		writeJSON(rw, http.StatusOK, map[string]string{})
	case machine.state != modeller.VMUp || !machine.drainsUntil.IsZero():
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
	default:
		machine.maintained[vo.Wave] = true
		pv.maintenances = append(pv.maintenances, Maintenance{
			VM:      machine.name,
			Wave:    vo.Wave,
			BeganAt: time.Now(),
			EndAt:   time.Now().Add(downTime),
		})
		pv.takeDown(machine, modeller.VMMaintenance, machine.pool)
		writeJSON(rw, http.StatusOK, map[string]string{})
	}
}

// takeDown stops a VM's worker and starts a new one in a pool after downTime. VMs
// of the standby pool get no new worker.
func (pv *Provider) takeDown(machine *vm, state modeller.VMState, pool string) {
	if machine.worker != nil {
		pv.stopWorker(machine)
		pv.unlistWorker(machine)
	}
	machine.state = state
	machine.pool = pool
	if pool != StandbyPool {
		pv.restartAfter(machine, downTime)
		return
	}
	time.AfterFunc(downTime, func() {
		pv.mu.Lock()
		defer pv.mu.Unlock()
		machine.state = modeller.VMUp
	})
}

// StandbyPool is the pool whose VMs run no worker.
const StandbyPool = "standby"
