package provider

import (
	"net"
	"net/http"
)

// WorkerConnState returns the function to be called when a connection to the workers
// of a VM changes its state. No connection outlives the worker that it was opened to.
func (pv *Provider) WorkerConnState(name string) func(conn net.Conn, state http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		pv.mu.Lock()
		defer pv.mu.Unlock()
		machine := pv.vms[name]
		switch {
		case machine == nil:
		case state == http.StateNew && machine.worker == nil:
			_ = conn.Close()
		case state == http.StateNew:
			machine.conns[conn] = struct{}{}
		case state == http.StateClosed || state == http.StateHijacked:
			delete(machine.conns, conn)
		}
	}
}

// closeConns closes the connections to a worker that has ended.
func (machine *vm) closeConns() {
	for conn := range machine.conns {
		_ = conn.Close()
	}
	clear(machine.conns)
}
