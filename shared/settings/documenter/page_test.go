package documenter_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/settings/documenter"
)

// TestPagesMatchCode compares the generated part of each page with the code. If
// the environment variable UPDATE_GOLDEN is set, it writes the pages instead.
func TestPagesMatchCode(t *testing.T) {
	for path, generated := range map[string]string{
		"../../../docs/SETTINGS.md": documenter.Settings(),
		"../../../docs/ERRORS.md":   documenter.Errors(),
	} {
		page, err := os.ReadFile(path)
		must.NoError(t, err)
		filled, err := documenter.Fill(string(page), generated)
		must.NoError(t, err)
		if os.Getenv("UPDATE_GOLDEN") != "" {
			must.NoError(t, os.WriteFile(path, []byte(filled), 0o644))
			continue
		}
		must.EqOp(t, filled, string(page), must.Sprintf("%s is not up to date; run UPDATE_GOLDEN=1 go test ./shared/settings/documenter", path))
	}
}
