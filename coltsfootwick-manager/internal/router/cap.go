package router

import "coltsfootwick.example/shared/jobs/modeller"

// Cap returns the cap of a team; zero in a resource means no limit. A team that isn't
// configured has none.
func (ro *Router) Cap(team string) modeller.Resources {
	rt := ro.table.Load()
	if rt == nil {
		return modeller.Resources{}
	}
	return rt.configuration.Teams[team].Cap
}
