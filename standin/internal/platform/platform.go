// Package platform serves a stand-in of the platform over HTTP. It provides a
// handler for each availability zone and one for the admin port.
package platform

import (
	"net/http"

	"coltsfootwick.example/shared/store/keeper"
)

// Platform is a stand-in of the platform, served over HTTP.
type Platform struct {
	keeper *keeper.Keeper
}

// New returns a Platform backed by an in-memory keeper with the options.
func New(opts ...keeper.Option) *Platform {
	return &Platform{
		keeper: keeper.New(opts...),
	}
}

// Keeper returns the in-memory platform behind the handlers.
func (pm *Platform) Keeper() *keeper.Keeper { return pm.keeper }

// Handler returns the handler for callers in an availability zone.
func (pm *Platform) Handler(zone string) http.Handler {
	zh := &zoneHandler{
		zone: pm.keeper.Zone(zone, keeper.WithCallTimeout(0)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", handlerFunc(zh.get))
	mux.HandleFunc("GET /v1/kv", handlerFunc(zh.list))
	mux.HandleFunc("PUT /v1/kv/{key...}", handlerFunc(zh.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", handlerFunc(zh.remove))
	mux.HandleFunc("POST /v1/leases", handlerFunc(zh.grant))
	mux.HandleFunc("PUT /v1/leases/{id}", handlerFunc(zh.renew))
	mux.HandleFunc("DELETE /v1/leases/{id}", handlerFunc(zh.revoke))
	mux.HandleFunc("GET /v1/watch", handlerFunc(zh.watch))
	mux.HandleFunc("GET /v1/vms", handlerFunc(zh.vms))
	mux.HandleFunc("POST /v1/vms/{name}/reboot", handlerFunc(zh.reboot))
	return mux
}

// Admin returns the handler of the admin port.
func (pm *Platform) Admin() http.Handler {
	ah := &adminHandler{
		keeper: pm.keeper,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", handlerFunc(ah.counts))
	mux.HandleFunc("GET /faults", handlerFunc(ah.faults))
	mux.HandleFunc("POST /faults", handlerFunc(ah.setFaults))
	mux.HandleFunc("GET /vms", handlerFunc(ah.vms))
	mux.HandleFunc("PUT /vms/{name}", handlerFunc(ah.putVM))
	mux.HandleFunc("DELETE /vms/{name}", handlerFunc(ah.removeVM))
	mux.HandleFunc("POST /vms/{name}/state", handlerFunc(ah.setVMState))
	return mux
}
