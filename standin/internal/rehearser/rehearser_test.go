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
	command := Command{
		Bin:  build(t),
		Jobs: 30,
	}
	must.NoError(t, command.Run(t.Context()))
}

// TestHandOversWithProcesses freezes, wakes and kills keepers and the holder of
// the scheduler's duty while jobs run.
func TestHandOversWithProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	command := Command{
		Bin:       build(t),
		Jobs:      36,
		HandOvers: true,
	}
	must.NoError(t, command.Run(t.Context()))
}

// build builds the manager and returns the directory of the program.
func build(t *testing.T) string {
	t.Helper()
	binaries := t.TempDir()
	output, err := exec.Command("go", "build", "-o", binaries+"/", "coltsfootwick.example/coltsfootwick-manager").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	return binaries
}
