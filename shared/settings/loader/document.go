package loader

import (
	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"coltsfootwick.example/shared/process/classifier"
)

// Document is a syntactically valid TOML source with the line number of each
// key.
type Document struct {
	name  string
	tree  map[string]any
	lines map[string]int
}

// ParseDocument parses a source. The name is the file name in reported faults.
// If the source is not valid TOML, the error is a *FaultsError with one fault.
func ParseDocument(name string, source []byte) (*Document, error) {
	dt := &Document{
		name: name,
		tree: map[string]any{},
	}
	if len(source) > MaxBytes {
		return nil, dt.syntaxError(1, "the source is larger than the limit of %d bytes", MaxBytes)
	}
	if err := toml.Unmarshal(source, &dt.tree); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			line, _ := de.Position()
			return nil, dt.syntaxError(line, "%s", de.Error())
		}
		return nil, dt.syntaxError(1, "%s", err.Error())
	}
	dt.lines = locate(source)
	return dt, nil
}

func (dt *Document) syntaxError(line int, format string, args ...any) error {
	return &FaultsError{
		File: dt.name,
		Faults: []Fault{
			{
				Line: line,
				Err:  classifier.New(classifier.SettingsSyntax, format, args...),
			},
		},
	}
}

// Tree returns the source's values by key: nested maps, slices, strings,
// int64, float64, bool and TOML's date and time types. The caller must not
// modify it.
func (dt *Document) Tree() map[string]any { return dt.tree }

// Line returns the line of a key. If the source does not contain the key, it
// returns the line of the closest enclosing table, or 1 if there is none.
func (dt *Document) Line(key Key) int {
	for length := len(key); length > 0; length-- {
		line, ok := dt.lines[key[:length].String()]
		if ok {
			return line
		}
	}
	return 1
}

// Has reports whether the source contains a key.
func (dt *Document) Has(key Key) bool {
	_, ok := dt.lines[key.String()]
	return ok
}

// Decode fills the wire struct that target points to. It reports unknown keys,
// wrong types and values that don't parse. Fields whose keys are absent or
// invalid keep their values.
func (dt *Document) Decode(target any, rt *Report) {
	dr := &decoder{
		rt: rt,
	}
	dr.decodeRoot(dt.tree, target)
}

// DecodeValue decodes a single value of Tree into the variable that target
// points to.
func (dt *Document) DecodeValue(key Key, value, target any, rt *Report) {
	dr := &decoder{
		rt: rt,
	}
	dr.decodePointer(key, value, target)
}
