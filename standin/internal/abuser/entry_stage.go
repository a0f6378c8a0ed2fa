package abuser

import (
	"context"
	"time"

	"coltsfootwick.example/standin/internal/assembler"
)

// entryDelay is the balancer's check interval that an entry allows for when it stops.
const entryDelay = 100 * time.Millisecond

// EntryStage is an entry that runs as a process with one target.
type EntryStage struct{ assembly *assembler.Assembly }

// NewEntryStage starts an entry with a memory budget, such as "16MiB", and waits until it
// serves.
func NewEntryStage(ctx context.Context, files, binaries, memoryBudget string) (*EntryStage, error) {
	es := &EntryStage{
		assembly: assembler.New(binaries, files, assembler.WithMemoryBudget(memoryBudget), assembler.WithCheckInterval(entryDelay)),
	}
	return es, es.assembly.Start(ctx)
}

func (es *EntryStage) entry() *assembler.Entry { return es.assembly.Entries()[0] }

// Callers returns the callers' listener.
func (es *EntryStage) Callers() Target {
	return Target{Address: es.entry().Address, Path: assembler.Path}
}

// Operators returns the operators' listener.
func (es *EntryStage) Operators() Target {
	return Target{Address: es.entry().Operators, Path: "/readyz"}
}

// Play plays a crowd for a time, and then until an ordinary request is answered by each
// listener beside it.
func (es *EntryStage) Play(ctx context.Context, target Target, manner Manner, clients int, length time.Duration) (Observation, error) {
	return playCrowd(ctx, es.entry().Process(), NewCrowd(target, manner, clients), length, func(ctx context.Context) error {
		if err := askUntilAnswered(ctx, "http://"+es.entry().Address.String()+assembler.Path); err != nil {
			return err
		}
		return askUntilAnswered(ctx, "http://"+es.entry().Operators.String()+"/readyz")
	})
}

// Close ends the entry and the stand-ins.
func (es *EntryStage) Close() { es.assembly.Close() }
