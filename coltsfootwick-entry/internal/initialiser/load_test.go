package initialiser_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-entry/internal/initialiser"
)

func TestExampleFileIsValid(t *testing.T) {
	se, err := initialiser.Load(filepath.Join("..", "..", "..", "examples", "entry.toml"))
	must.NoError(t, err)
	must.Eq(t, netip.MustParseAddrPort("127.0.1.1:8080"), se.Listen)
	must.EqOp(t, "127.0.1.250:7000", se.Platform.Host)
	must.EqOp(t, 30*time.Second, se.DrainTimeout)
	must.EqOp(t, 512<<20, se.MemoryBytes)
}

func TestAllFaultsAreReported(t *testing.T) {
	_, err := initialiser.Load(filepath.Join("testdata", "faults.toml"))
	must.Error(t, err)
	golden := filepath.Join("testdata", "faults.golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.WriteFile(golden, []byte(err.Error()), 0o644))
	}
	want, readErr := os.ReadFile(golden)
	must.NoError(t, readErr)
	must.EqOp(t, string(want), err.Error())
}
