// Package authenticator identifies teams by the keys of their requests. It has no
// network, clock or state that changes.
package authenticator

import (
	"crypto/sha256"
	"maps"
	"slices"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Authenticator holds the digests of the keys of one configuration. It is immutable.
type Authenticator struct {
	teamsByDigest map[[sha256.Size]byte]string
	sharedKeys    []SharedKey
}

// SharedKey is a key that two teams have.
type SharedKey struct {
	// Team is the team that the key identifies, the first by name. Other is the other
	// one.
	Team, Other string
}

// New returns an Authenticator for the keys of teams.
func New(teams map[string]modeller.Team) *Authenticator {
	au := &Authenticator{
		teamsByDigest: make(map[[sha256.Size]byte]string, len(teams)),
	}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		for _, digest := range teams[name].KeyDigests {
			au.add(name, digest)
		}
	}
	return au
}

// add adds a key of a team, unless an earlier team has it.
func (au *Authenticator) add(team string, digest [sha256.Size]byte) {
	first, ok := au.teamsByDigest[digest]
	switch {
	case !ok:
		au.teamsByDigest[digest] = team
	case first != team:
		au.sharedKeys = append(au.sharedKeys, SharedKey{
			Team:  first,
			Other: team,
		})
	}
}

// Team returns the name of the team that has a key, and false if none has. The time
// that it takes depends on the length of the key, and not on its content or the
// number of teams, since only its digest is looked up.
func (au *Authenticator) Team(key string) (name string, ok bool) {
	if key == "" {
		return "", false
	}
	name, ok = au.teamsByDigest[sha256.Sum256([]byte(key))]
	return name, ok
}

// SharedKeys returns the keys that more than one team has, ordered by the names of the
// other teams.
func (au *Authenticator) SharedKeys() []SharedKey { return au.sharedKeys }
