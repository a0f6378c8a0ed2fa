package provider

import (
	"context"
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
		case state == http.StateNew && machine.worker == nil && !machine.isBooting:
			_ = conn.Close()
		case state == http.StateNew:
			machine.conns[conn] = struct{}{}
		case state == http.StateClosed || state == http.StateHijacked:
			delete(machine.conns, conn)
		}
	}
}

// incarnationKey is the key of the incarnation of the worker that a connection was
// opened to, or a call has reached, in their contexts.
type incarnationKey struct{}

// WorkerConnContext returns the function that makes the context of a connection to the
// workers of a VM.
func (pv *Provider) WorkerConnContext(name string) func(ctx context.Context, conn net.Conn) context.Context {
	return func(ctx context.Context, _ net.Conn) context.Context {
		pv.mu.Lock()
		defer pv.mu.Unlock()
		return context.WithValue(ctx, incarnationKey{}, pv.vms[name].reached())
	}
}

// reached returns the incarnation that a connection reaches: the present one or, while
// none runs, the next.
func (machine *vm) reached() int {
	if machine.worker == nil {
		return machine.incarnation + 1
	}
	return machine.incarnation
}

// closeConns closes the connections to a worker that has ended.
func (machine *vm) closeConns() {
	for conn := range machine.conns {
		_ = conn.Close()
	}
	clear(machine.conns)
}
