package supervisor_test

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/standin/internal/supervisor"
)

// roleVariable makes the test binary act as a child process.
const roleVariable = "SUPERVISOR_TEST_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "deaf":
		signal.Ignore(syscall.SIGTERM)
		fmt.Println("ready")
		time.Sleep(time.Hour)
	case "polite":
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM)
		fmt.Println("ready")
		<-signals
		fmt.Println("ended")
		os.Exit(0)
	case "broken":
		os.Exit(3)
	case "leader":
		leadSession()
	case "starter":
		startAndFreeze()
	}
	os.Exit(m.Run())
}

func start(t *testing.T, sr *supervisor.Supervisor, role string) *supervisor.Child {
	t.Helper()
	t.Setenv(roleVariable, role)
	child, err := sr.Start(role, os.Args[0])
	must.NoError(t, err)
	t.Cleanup(func() { _ = child.Kill() })
	return child
}

func awaitReady(t *testing.T, child *supervisor.Child) {
	t.Helper()
	for {
		output, err := child.Output()
		must.NoError(t, err)
		if string(output) == "ready\n" {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestStopAsksFirstAndKillsAfterGrace(t *testing.T) {
	sr := supervisor.New(t.TempDir())
	polite := start(t, sr, "polite")
	deaf := start(t, sr, "deaf")
	awaitReady(t, polite)
	awaitReady(t, deaf)
	must.NoError(t, polite.Stop(time.Minute))
	must.Eq(t, []string{"deaf"}, sr.StopAll(time.Millisecond))
	must.ErrorContains(t, deaf.Wait(t.Context()), "killed")
	output, err := polite.Output()
	must.NoError(t, err)
	must.Eq(t, "ready\nended\n", string(output))
}

func TestErrorsOfTheProcessAreReported(t *testing.T) {
	sr := supervisor.New(t.TempDir())
	must.ErrorContains(t, start(t, sr, "broken").Wait(t.Context()), "exit status 3")
	_, err := sr.Start("absent", "/absent/program")
	must.Error(t, err)
}

// directoryVariable is the directory in which the roles of
// TestChildrenSurviveTheEndOfTheSessionLeader meet.
const directoryVariable = "SUPERVISOR_TEST_DIRECTORY"

// The files in that directory.
const (
	frozenFile = "frozen"
	resultFile = "result"
)

// The kernel sends SIGHUP to a process group that has a stopped member and
// becomes orphaned, as when the shell that started the tests ends while a proof
// has frozen a process.
func TestChildrenSurviveTheEndOfTheSessionLeader(t *testing.T) {
	directory := t.TempDir()
	leader := exec.Command(os.Args[0])
	leader.Env = append(os.Environ(), roleVariable+"=leader", directoryVariable+"="+directory)
	leader.SysProcAttr = &syscall.SysProcAttr{
		Setsid: true,
	}
	must.NoError(t, leader.Run())
	must.Eq(t, "<nil>", awaitFile(filepath.Join(directory, resultFile)))
}

// leadSession starts the starter in a process group of its own, and ends once
// the starter has frozen a child.
func leadSession() {
	starter := exec.Command(os.Args[0])
	starter.Env = append(os.Environ(), roleVariable+"=starter")
	starter.SysProcAttr = &syscall.SysProcAttr{
		Setpgid: true,
	}
	if err := starter.Start(); err != nil {
		panic(err)
	}
	awaitFile(filepath.Join(os.Getenv(directoryVariable), frozenFile))
	os.Exit(0)
}

// startAndFreeze freezes a child, waits for the end of the session leader, and
// writes how the child ended when it was thawed and stopped.
func startAndFreeze() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	directory := os.Getenv(directoryVariable)
	leader := os.Getppid()
	sr := supervisor.New(directory, supervisor.WithVariables(roleVariable+"=polite"))
	child, err := sr.Start("polite", os.Args[0])
	if err != nil {
		panic(err)
	}
	awaitFile(filepath.Join(directory, "polite.out"))
	if err := child.Freeze(); err != nil {
		panic(err)
	}
	writeFile(filepath.Join(directory, frozenFile), "yes")
	for os.Getppid() == leader {
		time.Sleep(time.Millisecond)
	}
	err = child.Thaw()
	if err == nil {
		err = child.Stop(time.Minute)
	}
	writeFile(filepath.Join(directory, resultFile), fmt.Sprint(err))
	os.Exit(0)
}

// awaitFile waits until a file has content, and returns it.
func awaitFile(path string) string {
	for {
		if content, err := os.ReadFile(path); err == nil && len(content) > 0 {
			return string(content)
		}
		time.Sleep(time.Millisecond)
	}
}

func writeFile(path, content string) {
	const mode = 0o644
	if err := os.WriteFile(path, []byte(content), mode); err != nil {
		panic(err)
	}
}
