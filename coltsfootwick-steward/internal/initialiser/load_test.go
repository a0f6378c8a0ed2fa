package initialiser_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-steward/internal/initialiser"
)

func TestLoadValid(t *testing.T) {
	paths, err := filepath.Glob("testdata/good/*.toml")
	must.NoError(t, err)
	must.Len(t, 2, paths)
	for _, path := range paths {
		se, err := initialiser.Load(path)
		must.NoError(t, err)
		must.Eq(t, "a-s1", se.Name)
		must.Positive(t, se.ListInterval)
	}
}

func TestLoadInvalid(t *testing.T) {
	paths, err := filepath.Glob("testdata/bad/*.toml")
	must.NoError(t, err)
	for _, path := range paths {
		golden, err := os.ReadFile(path + ".golden")
		must.NoError(t, err)
		_, err = initialiser.Load(path)
		must.Error(t, err)
		must.Eq(t, string(golden), err.Error()+"\n")
	}
}
