// Package router finds the service of a request by the prefix of its path.
package router

import (
	"cmp"
	"slices"
	"strings"
)

// Route maps a path prefix to a service.
type Route[T any] struct {
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Service serves the paths that start with Prefix.
	Service T
}

// Table holds routes. It is immutable, so that requests may use it without a lock.
type Table[T any] struct {
	routes []Route[T]
}

// New returns a table of the routes.
func New[T any](routes []Route[T]) *Table[T] {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, func(a, b Route[T]) int {
		return cmp.Compare(len(b.Prefix), len(a.Prefix))
	})
	return &Table[T]{routes: sorted}
}

// Find returns the service with the longest matching prefix of path. A prefix also
// matches a path that equals it without the trailing slash.
func (te *Table[T]) Find(path string) (T, bool) {
	for _, re := range te.routes {
		if strings.HasPrefix(path, re.Prefix) || path == re.Prefix[:len(re.Prefix)-1] {
			return re.Service, true
		}
	}
	var none T
	return none, false
}
