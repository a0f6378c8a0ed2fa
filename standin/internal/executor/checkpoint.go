package executor

import (
	"fmt"
	"hash/fnv"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// checkpoint is the saved progress of a task, or of a gang.
type checkpoint struct {
	// work is the work that is done, in whole milliseconds.
	work time.Duration
	// owner identifies the task, or the step of a gang.
	owner uint32
}

// checkpointFormat is the format of the work in milliseconds and of the owner.
const checkpointFormat = "%08x%08x"

// String returns the checkpoint as workers report it.
func (cp checkpoint) String() string {
	return fmt.Sprintf(checkpointFormat, cp.work.Milliseconds(), cp.owner)
}

// parseCheckpoint returns the checkpoint of a start. A text in another format, or of
// another owner, has no progress.
func parseCheckpoint(text string, owner uint32) checkpoint {
	var work int64
	var writer uint32
	count, err := fmt.Sscanf(text, checkpointFormat, &work, &writer)
	if err != nil || count != 2 || writer != owner {
		work = 0
	}
	return checkpoint{
		work:  time.Duration(work) * time.Millisecond,
		owner: owner,
	}
}

// checkpointOwner returns the owner of a task's checkpoints. The members of a gang
// have the same one.
func checkpointOwner(name modeller.TaskName, isGang bool) uint32 {
	text := name.String()
	if isGang {
		text = name.StepName()
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum32()
}
