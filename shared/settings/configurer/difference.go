package configurer

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"coltsfootwick.example/shared/settings/loader"
)

// KeyChange is the change of one key from one source to another.
type KeyChange struct {
	// Key is the path of the key, such as services.claims.maxQueued.
	Key string
	// Before is the value as TOML; it is empty if the key was absent.
	Before string
	// After is the value as TOML; it is empty if the key is absent.
	After string
}

// String returns the change as one line of text.
func (kc KeyChange) String() string {
	switch {
	case kc.Before == "":
		return fmt.Sprintf("+ %s = %s", kc.Key, kc.After)
	case kc.After == "":
		return fmt.Sprintf("- %s = %s", kc.Key, kc.Before)
	}
	return fmt.Sprintf("~ %s = %s (was %s)", kc.Key, kc.After, kc.Before)
}

// Difference returns the changes of keys from one source to another, ordered by
// key. It ignores comments, order and notation.
func Difference(before, after []byte) ([]KeyChange, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	updated, err := flatten(after)
	if err != nil {
		return nil, err
	}
	all := maps.Clone(old)
	maps.Copy(all, updated)
	var changes []KeyChange
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if old[key] == updated[key] {
			continue
		}
		changes = append(changes, KeyChange{
			Key:    key,
			Before: old[key],
			After:  updated[key],
		})
	}
	return changes, nil
}

// tableValue represents a table in the result of flatten. Tables are included
// because an empty table defines a service or a pool.
const tableValue = "{}"

// flatten returns all values of a source by the path of the key.
func flatten(source []byte) (map[string]string, error) {
	dt, err := loader.ParseDocument(sourceName, source)
	if err != nil {
		return nil, err
	}
	values := map[string]string{}
	flattenTable(loader.Key{}, dt.Tree(), values)
	return values, nil
}

func flattenTable(key loader.Key, table map[string]any, values map[string]string) {
	for name, value := range table {
		child := key.Child(name)
		subtable, ok := value.(map[string]any)
		if !ok {
			values[child.String()] = formatValue(value)
			continue
		}
		if len(child) > 1 {
			values[child.String()] = tableValue
		}
		flattenTable(child, subtable, values)
	}
}

func formatValue(value any) string {
	if text, ok := value.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprint(value)
}
