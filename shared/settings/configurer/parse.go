package configurer

import (
	"maps"
	"slices"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

// The sections of the settings tree.
const (
	sectionOrganisation = "organisation"
	sectionDefaults     = "defaults"
	sectionPoolDefaults = "poolDefaults"
	sectionServices     = "services"
	sectionPools        = "pools"
)

var sections = []string{
	sectionOrganisation,
	sectionDefaults,
	sectionPoolDefaults,
	sectionServices,
	sectionPools,
}

// sourceName is the file name in the faults that Parse reports.
const sourceName = "settings"

// Parse parses and checks a settings tree and resolves its inheritance. The
// error is a *loader.FaultsError that contains all faults with their lines. Of
// the result, only Source, Organisation, Services and Pools are set.
func Parse(source []byte) (Settings, error) { return ParseFile(sourceName, source) }

// ParseFile is like Parse with the given file name in reported faults.
func ParseFile(name string, source []byte) (Settings, error) {
	dt, err := loader.ParseDocument(name, source)
	if err != nil {
		return Settings{}, err
	}
	ps := &parser{
		dt: dt,
		rt: loader.NewReport(dt),
	}
	settings := ps.parse()
	if err := ps.rt.Err(); err != nil {
		return Settings{}, err
	}
	settings.Source = string(source)
	return settings, nil
}

// parser converts a document to settings and collects the faults.
type parser struct {
	dt *loader.Document
	rt *loader.Report
}

func (ps *parser) parse() Settings {
	for name := range ps.dt.Tree() {
		if !slices.Contains(sections, name) {
			ps.rt.AddUnknownKey(loader.Key{name}, sections)
		}
	}
	org := organisation{}
	decodeSection(ps, loader.Key{sectionOrganisation}, ps.section(sectionOrganisation), organisationSpecs, &org)
	requireKeys(ps, loader.Key{sectionOrganisation}, organisationSpecs)
	settings := Settings{
		Organisation: org.Name,
		Services:     ps.parseServices(),
		Pools:        ps.parsePools(),
	}
	checkTree(settings, ps.rt)
	return settings
}

func (ps *parser) parseServices() map[string]Service {
	base := builtInService
	decodeDefaults(ps, sectionDefaults, serviceSpecs, &base)
	services := map[string]Service{}
	for name, value := range ps.section(sectionServices) {
		key := loader.Key{sectionServices, name}
		table, ok := ps.namedTable(key, value)
		if !ok {
			continue
		}
		sv := base
		sv.Name = name
		decodeSection(ps, key, table, serviceSpecs, &sv)
		requireKeys(ps, key, serviceSpecs)
		services[name] = sv
	}
	return services
}

func (ps *parser) parsePools() map[string]Pool {
	base := builtInPool
	decodeDefaults(ps, sectionPoolDefaults, poolSpecs, &base)
	pools := map[string]Pool{}
	for name, value := range ps.section(sectionPools) {
		key := loader.Key{sectionPools, name}
		table, ok := ps.namedTable(key, value)
		if !ok {
			continue
		}
		pl := base
		pl.Name = name
		decodeSection(ps, key, table, poolSpecs, &pl)
		requireKeys(ps, key, poolSpecs)
		pools[name] = pl
	}
	return pools
}

// section returns the table of a section, which is empty if the document does
// not contain the section.
func (ps *parser) section(name string) map[string]any {
	value, ok := ps.dt.Tree()[name]
	if !ok {
		return nil
	}
	table, _ := ps.table(loader.Key{name}, value)
	return table
}

// namedTable returns the table of a service or a pool after checking its name.
func (ps *parser) namedTable(key loader.Key, value any) (map[string]any, bool) {
	name := key[len(key)-1]
	if !namePattern.MatchString(name) {
		ps.rt.Add(classifier.SettingsRange, key, "%q is not a valid name: it must be %s", name, expectedName)
		return nil, false
	}
	return ps.table(key, value)
}

func (ps *parser) table(key loader.Key, value any) (map[string]any, bool) {
	table, ok := value.(map[string]any)
	if !ok {
		ps.rt.Add(classifier.SettingsType, key, "%s must be a table", key)
	}
	return table, ok
}

// decodeSection decodes the values of a section into target. An invalid value
// leaves the value in target unchanged, so that one fault doesn't cause others.
func decodeSection[T any](ps *parser, key loader.Key, table map[string]any, specs []keySpec[T], target *T) {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		child := key.Child(name)
		spec, ok := findSpec(specs, name)
		if !ok {
			ps.rt.AddUnknownKey(child, specNames(specs))
			continue
		}
		before := *target
		decodeField(ps.dt, child, table[name], spec.rule, spec.field(target), ps.rt)
		if !ps.rt.Valid(child...) {
			*target = before
		}
	}
}

// decodeDefaults decodes a section of the organisation's defaults into target,
// which contains the built-in defaults.
func decodeDefaults[T any](ps *parser, section string, specs []keySpec[T], target *T) {
	key := loader.Key{section}
	table := maps.Clone(ps.section(section))
	for name := range table {
		spec, ok := findSpec(specs, name)
		if ok && spec.notInherited {
			ps.rt.Add(classifier.SettingsUnknownKey, key.Child(name), "%s can't be set in the defaults, only for each service or pool", name)
			delete(table, name)
		}
	}
	decodeSection(ps, key, table, inheritable(specs), target)
}

// requireKeys adds a fault for each required key that a section lacks.
func requireKeys[T any](ps *parser, key loader.Key, specs []keySpec[T]) {
	for _, spec := range specs {
		if spec.required {
			ps.rt.Require(key.Child(spec.name)...)
		}
	}
}
