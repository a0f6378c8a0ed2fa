package waiter

import (
	"slices"

	"coltsfootwick.example/shared/process/reporter"
)

// Tally groups the nodes by whether they have a settings revision in force.
type Tally struct {
	// Revision is the revision waited for.
	Revision uint64
	// InForce names the nodes that have the revision or a higher one.
	InForce []string
	// Behind names the nodes that answer with a lower revision.
	Behind []string
	// Unheard names the nodes that did not answer.
	Unheard []string
}

// Complete reports whether all nodes have the revision in force.
func (ty Tally) Complete() bool { return len(ty.Behind) == 0 && len(ty.Unheard) == 0 }

// Nodes returns the number of nodes.
func (ty Tally) Nodes() int { return len(ty.InForce) + len(ty.Behind) + len(ty.Unheard) }

func (ty Tally) equal(other Tally) bool {
	return ty.Revision == other.Revision &&
		slices.Equal(ty.InForce, other.InForce) &&
		slices.Equal(ty.Behind, other.Behind) &&
		slices.Equal(ty.Unheard, other.Unheard)
}

// newTally groups nodes by their status.
func newTally(revision uint64, answers []reporter.StatusResult) Tally {
	tally := Tally{
		Revision: revision,
	}
	for _, answer := range answers {
		name := answer.Member.Name
		switch {
		case answer.Err != nil:
			tally.Unheard = append(tally.Unheard, name)
		case answer.Status.SettingsRevision >= revision:
			tally.InForce = append(tally.InForce, name)
		default:
			tally.Behind = append(tally.Behind, name)
		}
	}
	return tally
}
