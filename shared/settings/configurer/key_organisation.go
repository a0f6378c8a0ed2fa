package configurer

import "regexp"

// organisation is the contents of [organisation].
type organisation struct {
	Name string
}

// organisationPattern allows printable text without control characters.
var organisationPattern = regexp.MustCompile(`^\PC{1,128}$`)

var organisationSpecs = []keySpec[organisation]{
	{
		name:     "name",
		summary:  "The organisation's name.",
		own:      true,
		required: true,
		rule: textRule{
			pattern: organisationPattern,
			wanted:  "1 to 128 printable characters",
		},
		field: func(og *organisation) any { return &og.Name },
	},
}
