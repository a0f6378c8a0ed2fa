package rehearser

import (
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"
)

// TestWholePath runs the programs over the whole path: jobs, a killed
// scheduler, a crashed worker, a wave and moves.
func TestWholePath(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	binaries := t.TempDir()
	output, err := exec.Command("go", "build", "-o", binaries+"/", "coltsfootwick.example/coltsfootwick-manager").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	command := Command{
		Bin:  binaries,
		Jobs: 30,
	}
	must.NoError(t, command.Run(t.Context()))
}
