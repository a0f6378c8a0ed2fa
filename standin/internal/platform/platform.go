// Package platform serves the stand-in of the platform over HTTP: one handler
// for each availability zone and one for the admin port.
package platform

import (
	"net/http"

	"coltsfootwick.example/shared/store/keeper"
)

// Platform is the platform's stand-in over HTTP.
type Platform struct {
	keeper *keeper.Keeper
}

// New returns a Platform on an in-memory keeper with the options.
func New(opts ...keeper.Option) *Platform {
	return &Platform{
		keeper: keeper.New(opts...),
	}
}

// Keeper returns the in-memory platform behind the handlers.
func (pm *Platform) Keeper() *keeper.Keeper { return pm.keeper }

// Handler returns the service as it is seen from an availability zone.
func (pm *Platform) Handler(zone string) http.Handler {
	zh := &zoneHandler{
		zone: pm.keeper.Zone(zone, keeper.WithCallTimeout(0)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", answerer(zh.get))
	mux.HandleFunc("GET /v1/kv", answerer(zh.list))
	mux.HandleFunc("PUT /v1/kv/{key...}", answerer(zh.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", answerer(zh.remove))
	mux.HandleFunc("POST /v1/leases", answerer(zh.grant))
	mux.HandleFunc("PUT /v1/leases/{id}", answerer(zh.renew))
	mux.HandleFunc("DELETE /v1/leases/{id}", answerer(zh.revoke))
	mux.HandleFunc("GET /v1/watch", answerer(zh.watch))
	mux.HandleFunc("GET /v1/vms", answerer(zh.vms))
	mux.HandleFunc("POST /v1/vms/{name}/reboot", answerer(zh.reboot))
	return mux
}

// Admin returns the handler of the admin port.
func (pm *Platform) Admin() http.Handler {
	ah := &adminHandler{
		keeper: pm.keeper,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", answerer(ah.counts))
	mux.HandleFunc("GET /faults", answerer(ah.faults))
	mux.HandleFunc("POST /faults", answerer(ah.setFaults))
	mux.HandleFunc("GET /vms", answerer(ah.vms))
	mux.HandleFunc("PUT /vms/{name}", answerer(ah.putVM))
	mux.HandleFunc("DELETE /vms/{name}", answerer(ah.removeVM))
	mux.HandleFunc("POST /vms/{name}/state", answerer(ah.setVMState))
	return mux
}
