package loader

import (
	"github.com/agnivade/levenshtein"

	"coltsfootwick.example/shared/process/classifier"
)

// maxComparedLength bounds the names that are compared with the known keys; a
// longer name is no slip of the pen.
const maxComparedLength = 64

// Nearest returns the known name with the least edit distance from name, and
// the empty string if there is none to compare with.
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

// Unknown adds the fault of a key that doesn't exist and names the nearest of
// those that are known beside it.
func (rt *Report) Unknown(key Key, known []string) {
	nearest := Nearest(key[len(key)-1], known)
	if nearest == "" {
		rt.Add(classifier.SettingsUnknownKey, key, "unknown key %s", key)
		return
	}
	rt.Add(classifier.SettingsUnknownKey, key, "unknown key %s; the nearest known key is %s", key, nearest)
}
