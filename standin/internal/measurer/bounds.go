package measurer

import (
	_ "embed"
	"fmt"
	"path"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"coltsfootwick.example/shared/process/classifier"
)

//go:embed bounds.toml
var boundsFile string

// bound limits the figures whose names match.
type bound struct {
	name    string
	atLeast *float64
	atMost  *float64
	source  string
}

// boundsDocument is the layout of bounds.toml.
type boundsDocument struct {
	Bounds []boundEntry `toml:"bounds"`
}

// boundEntry is a bound in bounds.toml.
type boundEntry struct {
	Name    string   `toml:"name"`
	AtLeast *float64 `toml:"atLeast"`
	AtMost  *float64 `toml:"atMost"`
	Source  string   `toml:"source"`
}

// loadBounds reads bounds, each with one limit and its source.
func loadBounds(text string) ([]bound, error) {
	var document boundsDocument
	decoder := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "read the bounds")
	}
	var bounds []bound
	for _, be := range document.Bounds {
		if (be.AtLeast == nil) == (be.AtMost == nil) || be.Source == "" {
			return nil, classifier.New(classifier.Internal, "bound %q needs one limit and a source", be.Name)
		}
		bounds = append(bounds, bound{
			name:    be.Name,
			atLeast: be.AtLeast,
			atMost:  be.AtMost,
			source:  be.Source,
		})
	}
	return bounds, nil
}

// find returns the first bound of a figure, and false if there is none.
func find(bounds []bound, name string) (bound, bool) {
	for _, bo := range bounds {
		if matched, err := path.Match(bo.name, name); err == nil && matched {
			return bo, true
		}
	}
	return bound{}, false
}

// holds reports whether a value is within the bound.
func (bo bound) holds(value float64) bool {
	if bo.atLeast != nil {
		return value >= *bo.atLeast
	}
	return value <= *bo.atMost
}

// String returns the limit, as in ">=0.95".
func (bo bound) String() string {
	if bo.atLeast != nil {
		return fmt.Sprintf(">=%g", *bo.atLeast)
	}
	return fmt.Sprintf("<=%g", *bo.atMost)
}
