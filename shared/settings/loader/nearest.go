package loader

import (
	"github.com/agnivade/levenshtein"

	"coltsfootwick.example/shared/process/classifier"
)

// maxComparedLength is the maximum length, in bytes, of a name that is compared
// with the known keys. A longer name is not a misspelt key.
const maxComparedLength = 64

// Nearest returns the known name with the smallest edit distance from name, or
// the empty string if there are no known names or name is too long.
func Nearest(name string, known []string) string {
	if len(name) > maxComparedLength {
		return ""
	}
	nearest := ""
	least := 0
	for _, candidate := range known {
		distance := levenshtein.ComputeDistance(name, candidate)
		if nearest == "" || distance < least {
			nearest = candidate
			least = distance
		}
	}
	return nearest
}

// AddUnknownKey adds the fault of an unknown key and suggests the most similar of
// the keys that are known in the same table.
func (rt *Report) AddUnknownKey(key Key, known []string) {
	nearest := Nearest(key[len(key)-1], known)
	if nearest == "" {
		rt.Add(classifier.SettingsUnknownKey, key, "unknown key %s", key)
		return
	}
	rt.Add(classifier.SettingsUnknownKey, key, "unknown key %s; the nearest known key is %s", key, nearest)
}
