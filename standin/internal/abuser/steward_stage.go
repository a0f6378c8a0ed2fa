package abuser

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"coltsfootwick.example/shared/process/server"
	"coltsfootwick.example/standin/internal/allocator"
	"coltsfootwick.example/standin/internal/platform"
	"coltsfootwick.example/standin/internal/supervisor"
)

// StewardStage is a steward that runs as a process.
type StewardStage struct {
	supervisor *supervisor.Supervisor
	platform   *server.Server
	child      *supervisor.Child
	operators  netip.AddrPort
}

// NewStewardStage starts a steward and waits until it serves.
func NewStewardStage(ctx context.Context, files, binaries string) (*StewardStage, error) {
	const zone = "a"
	ss := &StewardStage{
		supervisor: supervisor.New(files),
	}
	var err error
	ss.platform, err = server.New(netip.MustParseAddrPort("127.0.0.1:0"), platform.New().Handler(zone))
	if err != nil {
		return ss, err
	}
	go func() { _ = ss.platform.Execute() }()
	ports := allocator.New()
	ss.operators = ports.Find(1, 1)
	if err := ports.Err(); err != nil {
		return ss, err
	}
	const mode = 0o644
	config := filepath.Join(files, "steward.toml")
	text := fmt.Sprintf("name = \"steward\"\nzone = %q\noperatorsAddress = %q\nplatformURL = \"http://%s\"\n", zone, ss.operators, ss.platform.Address())
	if err := os.WriteFile(config, []byte(text), mode); err != nil {
		return ss, err
	}
	ss.child, err = ss.supervisor.Start("steward", filepath.Join(binaries, "coltsfootwick-steward"), "run", "--config", config)
	if err != nil {
		return ss, err
	}
	return ss, ss.ask(ctx)
}

// Operators returns the operators' listener.
func (ss *StewardStage) Operators() Target { return Target{Address: ss.operators, Path: "/healthz"} }

func (ss *StewardStage) ask(ctx context.Context) error {
	return askUntilAnswered(ctx, "http://"+ss.operators.String()+"/healthz")
}

// Play plays a crowd for a time, and then until an ordinary request is answered beside it.
func (ss *StewardStage) Play(ctx context.Context, target Target, manner Manner, clients int, length time.Duration) (Observation, error) {
	return playCrowd(ctx, ss.child, NewCrowd(target, manner, clients), length, ss.ask)
}

// Close ends the steward and the stand-in.
func (ss *StewardStage) Close() {
	ss.supervisor.KillAll()
	if ss.platform != nil {
		ss.platform.Interrupt(nil)
	}
}
