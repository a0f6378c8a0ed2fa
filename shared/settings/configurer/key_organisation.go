package configurer

import "regexp"

// organisation contains the values of [organisation].
type organisation struct {
	Name string
}

// organisationPattern allows printable text without control characters.
var organisationPattern = regexp.MustCompile(`^\PC{1,128}$`)

var organisationSpecs = []keySpec[organisation]{
	{
		name:         "name",
		summary:      "The organisation's name.",
		notInherited: true,
		required:     true,
		rule: stringRule{
			pattern:  organisationPattern,
			expected: "1 to 128 printable characters",
		},
		field: func(og *organisation) any { return &og.Name },
	},
}
