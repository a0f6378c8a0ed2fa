package provider

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// maxWaitingAdvice is the number of calls of a caller that may wait for the advice
// service.
const maxWaitingAdvice = 32

// ticket permits a worker to run the tasks of a step.
type ticket struct {
	step        string
	machine     *vm
	incarnation int
	expiresAt   time.Time
}

// AdviceHandler returns the handler of the advice service for one caller. It
// answers one call at a time. Any worker may run the steps of a job that wasn't
// announced by Expect with a queue that has advice.
func (pv *Provider) AdviceHandler() http.Handler {
	return &adviceHandler{
		provider: pv,
		waiting:  make(chan struct{}, maxWaitingAdvice+1),
		turn:     make(chan struct{}, 1),
	}
}

type adviceHandler struct {
	provider *Provider
	// waiting holds an element for each call, and turn one for that being answered.
	waiting, turn chan struct{}
}

// ServeHTTP implements http.Handler.
func (ah *adviceHandler) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case ah.waiting <- struct{}{}:
		defer func() { <-ah.waiting }()
	default:
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	ah.turn <- struct{}{}
	defer func() { <-ah.turn }()
	time.Sleep(ah.provider.adviceTime(body.Step, len(body.Workers)))
	permitted := [][]string{}
	for _, id := range body.Workers {
		if text, ok := ah.provider.issueTicket(body.Step, modeller.WorkerID(id)); ok {
			permitted = append(permitted, []string{id, text})
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"good": permitted})
}

// advisedStep returns a step by its name with the settings of its advice service, which
// are nil if its tasks need no tickets.
func (pv *Provider) advisedStep(step string) (*modeller.Advice, modeller.Step) {
	name, err := modeller.ParseTaskName(step + ".0")
	if err != nil {
		return nil, modeller.Step{}
	}
	ej, st, ok := pv.step(name)
	if !ok {
		return nil, modeller.Step{}
	}
	return ej.job.Origin.Advice, st
}

// adviceTime returns the time that a call takes.
func (pv *Provider) adviceTime(step string, workers int) time.Duration {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	if ad, _ := pv.advisedStep(step); ad != nil {
		return ad.DecisionTime + time.Duration(workers)*ad.TimePerWorker
	}
	return 0
}

// issueTicket returns a ticket of a worker for a step, or false if the worker must
// not run the step.
func (pv *Provider) issueTicket(step string, id modeller.WorkerID) (string, bool) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	ad, _ := pv.advisedStep(step)
	if ad == nil {
		return "ticket-" + string(id), true
	}
	for _, machine := range pv.vms {
		if machine.worker == nil || machine.workerID() != id || !pv.isPermitted(step, machine) {
			continue
		}
		text := fmt.Sprintf("ticket-%s-%s-%d", step, id, len(pv.tickets))
		pv.tickets[text] = ticket{
			step:        step,
			machine:     machine,
			incarnation: machine.incarnation,
			expiresAt:   time.Now().Add(ad.Validity),
		}
		return text, true
	}
	return "", false
}

// hasValidTicket reports whether a task needs no ticket, or a start on a VM's worker
// carries a valid one.
func (pv *Provider) hasValidTicket(machine *vm, name modeller.TaskName, text string) bool {
	if ad, _ := pv.advisedStep(name.StepName()); ad == nil {
		return true
	}
	tk, ok := pv.tickets[text]
	return ok && tk.step == name.StepName() && tk.machine == machine && tk.incarnation == machine.incarnation && time.Now().Before(tk.expiresAt)
}

// isPermitted reports whether the workers of a VM may run a step. This doesn't
// change, also if the VM moves. Of the VMs of each pool with the step's label, at
// least one may.
func (pv *Provider) isPermitted(step string, machine *vm) bool {
	rank := pv.rank(step, machine)
	if rank < pv.advisedShare {
		return true
	}
	_, st := pv.advisedStep(step)
	for _, other := range pv.vms {
		if other.firstPool == machine.firstPool && other.hasLabel(st.RequiredLabel) && pv.rank(step, other) < rank {
			return false
		}
	}
	return machine.hasLabel(st.RequiredLabel)
}

// hasLabel reports whether the workers of a VM have a label.
func (machine *vm) hasLabel(label string) bool {
	return modeller.Worker{
		Labels: machine.labels,
	}.HasLabel(label)
}

// IsPermitted reports whether the workers of a VM may run a task.
func (pv *Provider) IsPermitted(name modeller.TaskName, vm string) bool {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	step := name.StepName()
	ad, _ := pv.advisedStep(step)
	return ad == nil || pv.isPermitted(step, pv.vms[vm])
}

// rank returns a number from 0 to 1 that depends on the seed, a step and a VM.
func (pv *Provider) rank(step string, machine *vm) float64 {
	hash := fnv.New32a()
	_ = binary.Write(hash, binary.LittleEndian, pv.seed)
	_, _ = hash.Write([]byte(machine.name + "/" + step))
	// The final mixing spreads texts that differ in the last characters only.
	mixed := hash.Sum32()
	mixed ^= mixed >> 16
	mixed *= 0x85ebca6b
	mixed ^= mixed >> 13
	const values = 1 << 32
	return float64(mixed) / values
}
