package configurer

import (
	"maps"
	"slices"

	"coltsfootwick.example/shared/settings/loader"
)

// Origin is the level of the tree at which an effective value is set.
type Origin string

// The levels of the tree, starting with the most general.
const (
	OriginBuiltIn      Origin = "builtIn"
	OriginOrganisation Origin = "organisation"
	OriginService      Origin = "service"
	OriginPool         Origin = "pool"
)

// Explanation describes the origin of an effective value.
type Explanation struct {
	// Section is "services" or "pools".
	Section string
	// Name is the name of the service or the pool.
	Name string
	// Key is the key of the value.
	Key string
	// Value is the effective value in the notation of the settings.
	Value string
	// Origin is the level at which the value is set.
	Origin Origin
	// Line is the line of the source that sets the value, or zero for a
	// built-in default.
	Line int
}

// Explain returns the origin of each effective value of a source, ordered by
// section and name.
func Explain(source []byte) ([]Explanation, error) {
	settings, err := Parse(source)
	if err != nil {
		return nil, err
	}
	dt, err := loader.ParseDocument(sourceName, source)
	if err != nil {
		return nil, err
	}
	services := &explainer[Service]{
		dt:       dt,
		section:  sectionServices,
		defaults: sectionDefaults,
		origin:   OriginService,
		specs:    serviceSpecs,
	}
	pools := &explainer[Pool]{
		dt:       dt,
		section:  sectionPools,
		defaults: sectionPoolDefaults,
		origin:   OriginPool,
		specs:    poolSpecs,
	}
	return append(services.explain(settings.Services), pools.explain(settings.Pools)...), nil
}

// explainer explains the values of one section.
type explainer[T any] struct {
	dt       *loader.Document
	section  string
	defaults string
	origin   Origin
	specs    []keySpec[T]
}

func (ex *explainer[T]) explain(effective map[string]T) []Explanation {
	var explanations []Explanation
	for _, name := range slices.Sorted(maps.Keys(effective)) {
		value := effective[name]
		for _, spec := range ex.specs {
			origin, line := ex.originOf(name, spec.name)
			explanations = append(explanations, Explanation{
				Section: ex.section,
				Name:    name,
				Key:     spec.name,
				Value:   formatField(spec.rule, spec.field(&value)),
				Origin:  origin,
				Line:    line,
			})
		}
	}
	return explanations
}

// originOf returns the level at which a key is set and its line.
func (ex *explainer[T]) originOf(name, key string) (Origin, int) {
	own := loader.Key{ex.section, name, key}
	if ex.dt.Has(own) {
		return ex.origin, ex.dt.Line(own)
	}
	inherited := loader.Key{ex.defaults, key}
	if ex.dt.Has(inherited) {
		return OriginOrganisation, ex.dt.Line(inherited)
	}
	return OriginBuiltIn, 0
}
