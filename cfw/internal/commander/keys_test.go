package commander_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/cfw/internal/commander"
)

func TestKeysAreCreatedShownAndNotOverwritten(t *testing.T) {
	hs := newHarness(t)
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	code, _ := hs.run("keys", "authority", "example", "--directory", dir)
	must.EqOp(t, commander.ExitOK, code)
	code, transcript := hs.run("keys", "issue", "entry-a1", "--role", "entry", "--zone", "a", "--directory", dir)
	must.EqOp(t, commander.ExitOK, code)
	must.StrContains(t, transcript, "keep it secret")
	code, _ = hs.run("keys", "issue", "steward-a1", "--role", "steward", "--zone", "a", "--directory", dir, "--days", "20")
	must.EqOp(t, commander.ExitOK, code)

	code, transcript = hs.run("keys", "show", file("authority.crt"), file("entry-a1.crt"), file("steward-a1.crt"))
	must.EqOp(t, commander.ExitOK, code)
	must.StrContains(t, transcript, "entry-a1")
	must.StrNotContains(t, transcript, "expires")
	hs.clock = hs.clock.Add(15 * 24 * 3600e9)
	_, transcript = hs.run("keys", "show", file("entry-a1.crt"), file("steward-a1.crt"))
	must.StrContains(t, transcript, "expires in 4 days")
	must.StrContains(t, transcript, "1 of 2 certificates")

	before, err := os.ReadFile(file("authority.key"))
	must.NoError(t, err)
	code, transcript = hs.run("keys", "authority", "example", "--directory", dir)
	must.EqOp(t, commander.ExitFailed, code)
	must.StrContains(t, transcript, "error 604 keysInvalid")
	after, err := os.ReadFile(file("authority.key"))
	must.NoError(t, err)
	must.Eq(t, before, after)
	code, _ = hs.run("keys", "authority", "example", "--directory", dir, "--force")
	must.EqOp(t, commander.ExitOK, code)
}

func TestKeysRejectInvalidInput(t *testing.T) {
	hs := newHarness(t)
	dir := t.TempDir()
	for _, line := range []string{
		"keys issue entry-a1 --role entry --zone a --directory " + dir,
		"keys show " + filepath.Join(dir, "none.crt"),
	} {
		_, transcript := hs.run(splitLine(line)...)
		must.StrContains(t, transcript, "error 604 keysInvalid")
	}
	code, _ := hs.run("keys", "authority", "example", "--directory", dir, "--days", "0")
	must.EqOp(t, commander.ExitUsage, code)
	code, _ = hs.run("keys", "authority", "example", "--directory", dir)
	must.EqOp(t, commander.ExitOK, code)
	_, transcript := hs.run("keys", "issue", "entry/a1", "--role", "entry", "--zone", "a", "--directory", dir)
	must.StrContains(t, transcript, "error 604 keysInvalid")
}
