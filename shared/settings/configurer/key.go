package configurer

// keySpec describes a key of a section that is decoded into a T.
type keySpec[T any] struct {
	name    string
	summary string
	rule    rule
	// notInherited is true for a key that can't be set in the defaults.
	notInherited bool
	// required is true for a key without a default.
	required bool
	// field returns a pointer to the value, of the type that rule requires.
	field func(*T) any
}

// specNames returns the names of the keys that a section may contain.
func specNames[T any](specs []keySpec[T]) []string {
	names := make([]string, 0, len(specs))
	for _, spec := range specs {
		names = append(names, spec.name)
	}
	return names
}

func findSpec[T any](specs []keySpec[T], name string) (keySpec[T], bool) {
	for _, spec := range specs {
		if spec.name == name {
			return spec, true
		}
	}
	return keySpec[T]{}, false
}

// inheritable returns the keys that can be set in the defaults.
func inheritable[T any](specs []keySpec[T]) []keySpec[T] {
	var found []keySpec[T]
	for _, spec := range specs {
		if !spec.notInherited {
			found = append(found, spec)
		}
	}
	return found
}

// KeyDescription describes a key of the settings tree for operators.
type KeyDescription struct {
	// Section is the table that contains the key, such as services.NAME.
	Section string
	// Name is the key's name.
	Name string
	// Type is the name of the value's type.
	Type string
	// Range describes the allowed values.
	Range string
	// Default is the built-in default; it is empty for a key that must be set.
	Default string
	// Inherited is true if the key can also be set in the organisation's
	// defaults.
	Inherited bool
	// Summary describes the value.
	Summary string
}

// Keys returns the descriptions of all keys of the settings tree, section by
// section.
func Keys() []KeyDescription {
	keys := describeKeys(sectionOrganisation, organisationSpecs, organisation{})
	keys = append(keys, describeKeys(sectionServices+".NAME", serviceSpecs, builtInService)...)
	return append(keys, describeKeys(sectionPools+".NAME", poolSpecs, builtInPool)...)
}

func describeKeys[T any](section string, specs []keySpec[T], builtIn T) []KeyDescription {
	descriptions := make([]KeyDescription, 0, len(specs))
	for _, spec := range specs {
		description := KeyDescription{
			Section:   section,
			Name:      spec.name,
			Type:      typeName(spec.rule),
			Range:     rangeText(spec.rule),
			Inherited: !spec.notInherited,
			Summary:   spec.summary,
		}
		if !spec.required {
			description.Default = formatField(spec.rule, spec.field(&builtIn))
		}
		descriptions = append(descriptions, description)
	}
	return descriptions
}
