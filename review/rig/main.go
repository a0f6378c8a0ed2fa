// Command rig plays the scripts of the review: it starts the project's managers as
// separate processes on loopback addresses, and takes the place of the platform's
// store, the VM interface, the executors, the operator and the requesters.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case. It returns what broke the rule, or an empty string. An
// error means that the case could not run.
type scenario func(rg *rig) (broken string, err error)

var scenarios = map[string]scenario{
	"removed-route":  removedRoute,
	"late-upkeep":    lateUpkeep,
	"earlier-birth":  earlierBirth,
	"blocked-advice": blockedAdvice,
	"renamed-route":  renamedRoute,
	"cordoned-pool":  cordonedPool,
	"moved-queue":    movedQueue,
	"refused-starts": refusedStarts,
}

func main() {
	// The managers end with the thread that has started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

// play runs a scenario and writes record.txt into a folder.
func play(run scenario, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	rg, err := newRig(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("the case could not run: %v", err)
		return exitFailed
	}
	defer rg.close()
	broken, err := run(rg)
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		return exitFailed
	case broken != "":
		rec.log("RULE BROKEN: %s", broken)
		return exitBroken
	}
	rec.log("the rule held")
	return exitHeld
}
