package initialiser_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-steward/internal/initialiser"
)

// TestExampleFileIsValid checks that examples/steward.toml loads.
func TestExampleFileIsValid(t *testing.T) {
	se, err := initialiser.Load("../../../examples/steward.toml")
	must.NoError(t, err)
	must.EqOp(t, "steward-a1", se.Name)
}
