// Package assembler puts one availability zone together for the proofs:
// platform and targets in the test's process, entries as processes of their own.
package assembler

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"time"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/server"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/storer"
	"coltsfootwick.example/standin/internal/allocator"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/platform"
	"coltsfootwick.example/standin/internal/supervisor"
	"coltsfootwick.example/standin/internal/target"
)

// The names that the assembly uses.
const (
	// Zone is the availability zone.
	Zone = "a"
	// Pool is the pool of all targets.
	Pool = "claims"
	// Service is the service of the built-in settings.
	Service = "claims"
	// Path is a path of the service.
	Path = "/claims/check"
)

// entryProgram is the file name of the entry's program.
const entryProgram = "coltsfootwick-entry"

// readyTimeout bounds the time until an entry is ready.
const readyTimeout = 20 * time.Second

// Assembly is one availability zone.
type Assembly struct {
	binaries      string
	files         string
	settings      string
	checkInterval time.Duration
	drainTimeout  time.Duration
	targetOptions []target.Option
	targetCount   int
	entryCount    int
	// memoryBudget is the entries' budget, or empty for the default one.
	memoryBudget string

	allocator  *allocator.Allocator
	supervisor *supervisor.Supervisor
	platform   *platform.Platform
	server     *server.Server
	targets    []*target.Target
	entries    []*Entry
}

// New returns an assembly that is not running. The programs are taken from the
// directory binaries; settings files and logs go to the directory files.
func New(binaries, files string, opts ...Option) *Assembly {
	ay := &Assembly{
		binaries:      binaries,
		files:         files,
		settings:      builtInSettings,
		checkInterval: time.Second,
		drainTimeout:  20 * time.Second,
		targetCount:   1,
		entryCount:    1,
		allocator:     allocator.New(),
		supervisor:    supervisor.New(files),
		platform:      platform.New(),
	}
	for _, opt := range opts {
		opt(ay)
	}
	return ay
}

// Start starts everything and returns when all entries are ready. After an
// error the assembly must be closed too.
func (ay *Assembly) Start(ctx context.Context) error {
	if err := ay.startPlatform(); err != nil {
		return err
	}
	if err := ay.startTargets(); err != nil {
		return err
	}
	if err := ay.WriteDirectory(ctx, 1); err != nil {
		return err
	}
	if err := ay.applySettings(ctx); err != nil {
		return err
	}
	for number := range ay.entryCount {
		if err := ay.startEntry(number + 1); err != nil {
			return err
		}
	}
	for _, ey := range ay.entries {
		if err := ey.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends everything at once. A second call does nothing.
func (ay *Assembly) Close() {
	ay.supervisor.KillAll()
	for _, tt := range ay.targets {
		tt.Close()
	}
	if ay.server != nil {
		ay.server.Interrupt(nil)
		ay.server = nil
	}
}

// Platform returns the platform.
func (ay *Assembly) Platform() *platform.Platform { return ay.platform }

// Targets returns the targets.
func (ay *Assembly) Targets() []*target.Target { return ay.targets }

// Entries returns the entries.
func (ay *Assembly) Entries() []*Entry { return ay.entries }

// Reports returns the records of all targets.
func (ay *Assembly) Reports() []target.Report {
	reports := make([]target.Report, 0, len(ay.targets))
	for _, tt := range ay.targets {
		reports = append(reports, tt.Report())
	}
	return reports
}

// CallersZone returns the zone as its callers see it.
func (ay *Assembly) CallersZone() generator.Zone {
	ze := generator.Zone{
		Name: Zone,
	}
	for _, ey := range ay.entries {
		ze.Entries = append(ze.Entries, generator.Entry{
			Address: ey.Address,
			Check:   ey.Operators,
		})
	}
	return ze
}

// WriteDirectory writes the directory of targets as a steward would, all in
// service but those left out by name.
func (ay *Assembly) WriteDirectory(ctx context.Context, version uint64, leaving ...string) error {
	dy := registrar.Directory{
		Zone:    Zone,
		Epoch:   1,
		Version: version,
		Written: time.Now(),
	}
	left := map[string]bool{}
	for _, name := range leaving {
		left[name] = true
	}
	for _, tt := range ay.targets {
		entry := registrar.Target{
			VM:      tt.Name(),
			Address: tt.Address(),
			Pool:    Pool,
			Rack:    Zone + "-r1",
			State:   registrar.InService,
		}
		if left[tt.Name()] {
			entry.State = registrar.Leaving
		}
		dy.Targets = append(dy.Targets, entry)
	}
	data, err := registrar.Encode(dy)
	if err != nil {
		return err
	}
	store := ay.platform.Keeper().Zone(Zone)
	current, err := store.Get(ctx, storer.DirectoryPrefix+Zone)
	if err != nil && classifier.CodeOf(err) != classifier.PlatformNotFound {
		return err
	}
	_, err = store.Put(ctx, storer.DirectoryPrefix+Zone, data, current.Revision, 0)
	return err
}

func (ay *Assembly) startPlatform() error {
	sr, err := server.New(netip.MustParseAddrPort("127.0.0.1:0"), ay.platform.Handler(Zone))
	if err != nil {
		return err
	}
	ay.server = sr
	go func() { _ = sr.Execute() }()
	return nil
}

func (ay *Assembly) startTargets() error {
	for number := range ay.targetCount {
		tt := target.New(append([]target.Option{
			target.WithName(fmt.Sprintf("%s-%02d", Zone, number+1)),
			target.WithPlace(Zone, Zone+"-r1"),
		}, ay.targetOptions...)...)
		if err := tt.Start(); err != nil {
			return err
		}
		ay.targets = append(ay.targets, tt)
	}
	return nil
}

func (ay *Assembly) applySettings(ctx context.Context) error {
	repository := configurer.NewRepository(ay.platform.Keeper().Zone(Zone))
	_, err := repository.Apply(ctx, configurer.Change{
		Author: "assembler",
		Reason: "proof",
		Source: ay.settings,
	})
	return err
}

func (ay *Assembly) startEntry(number int) error {
	ey := &Entry{
		Name:       fmt.Sprintf("entry-%d", number),
		Address:    ay.allocator.Find(1, byte(number)),
		Operators:  ay.allocator.Find(1, byte(number)),
		program:    filepath.Join(ay.binaries, entryProgram),
		supervisor: ay.supervisor,
	}
	ey.config = filepath.Join(ay.files, ey.Name+".toml")
	if err := ay.allocator.Err(); err != nil {
		return err
	}
	if err := ey.writeConfig(ay); err != nil {
		return err
	}
	ay.entries = append(ay.entries, ey)
	return ey.Start()
}

// isReady asks an operators' address whether its process is ready.
func isReady(ctx context.Context, operators netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}
