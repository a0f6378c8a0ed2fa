package recorder_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/charter"
	"coltsfootwick.example/shared/fleet/recorder"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestChartPageIsUpToDate(t *testing.T) {
	path := filepath.Join("..", "..", "..", "docs", "charts", "vm.md")
	page := "# A VM's life\n\nDrawn from `shared/fleet/recorder/vm.toml`.\n\n" + charter.Draw(recorder.VMChart)
	if *update {
		must.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		must.NoError(t, os.WriteFile(path, []byte(page), 0o644))
	}
	golden, err := os.ReadFile(path)
	must.NoError(t, err)
	must.EqOp(t, string(golden), page)
}
