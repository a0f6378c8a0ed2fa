package assembler

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/supervisor"
)

// pollInterval is how often an entry is asked whether it is ready.
const pollInterval = 10 * time.Millisecond

// Entry is an entry process.
type Entry struct {
	// Name is the entry's name.
	Name string
	// Address is where it takes callers' requests.
	Address netip.AddrPort
	// Operators is its operators' address.
	Operators netip.AddrPort

	program    string
	config     string
	supervisor *supervisor.Supervisor
	child      *supervisor.Child
}

// Start starts the process.
func (ey *Entry) Start() error {
	child, err := ey.supervisor.Start(ey.Name, ey.program, "run", "--config", ey.config)
	ey.child = child
	return err
}

// Process returns the process that was started last.
func (ey *Entry) Process() *supervisor.Child { return ey.child }

// AwaitReady returns when the entry is ready.
func (ey *Entry) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !isReady(ctx, ey.Operators) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			log, _ := ey.child.Log()
			return classifier.Wrap(ctx.Err(), classifier.Internal, "%s is not ready:\n%s", ey.Name, log)
		}
	}
	return nil
}

// Restart starts the process again and returns when it is ready.
func (ey *Entry) Restart(ctx context.Context) error {
	if err := ey.Start(); err != nil {
		return err
	}
	return ey.AwaitReady(ctx)
}

func (ey *Entry) writeConfig(ay *Assembly) error {
	const mode = 0o644
	text := fmt.Sprintf(`name = %q
zone = %q
listenAddress = %q
operatorsAddress = %q
platformURL = "http://%s"
checkInterval = %q
drainTimeout = %q
`, ey.Name, Zone, ey.Address, ey.Operators, ay.server.Address(), ay.checkInterval, ay.drainTimeout)
	if ay.memoryBudget != "" {
		text += fmt.Sprintf("memoryBudget = %q\n", ay.memoryBudget)
	}
	return os.WriteFile(ey.config, []byte(text), mode)
}
