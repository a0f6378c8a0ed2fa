package target

import (
	"context"
	"net/netip"

	"github.com/oklog/run"

	"coltsfootwick.example/standin/internal/sampler"
)

// Command is the subcommand that runs one target.
type Command struct {
	Name        string         `help:"Name of the VM." default:"target"`
	Zone        string         `help:"Availability zone."`
	Rack        string         `help:"Rack."`
	Address     netip.AddrPort `help:"Address for requests." default:"127.0.0.1:9000"`
	Admin       netip.AddrPort `help:"Address for faults and the record." default:"127.0.0.1:9001"`
	Slots       int            `help:"Requests run at once without counting as overcommit." default:"8"`
	Connections int            `help:"Connections accepted at once." default:"64"`
	Urgent      string         `help:"Service time of urgent work: fixed:MEAN, exponential:MEAN or lognormal:MEAN:SIGMA." default:"exponential:20ms"`
	Long        string         `help:"Service time of long work." default:"exponential:400ms"`
	LongFrom    int            `help:"Urgency from which a request is long work." default:"5"`
	AnswerBytes int            `help:"Least size of an answer's body, in bytes." default:"128"`
	Seed        uint64         `help:"Seed of the service times." default:"1"`
}

// Run runs the target until ctx ends.
func (cd *Command) Run(ctx context.Context) error {
	urgent, err := sampler.Parse(cd.Urgent)
	if err != nil {
		return err
	}
	long, err := sampler.Parse(cd.Long)
	if err != nil {
		return err
	}
	tt := New(
		WithName(cd.Name),
		WithPlace(cd.Zone, cd.Rack),
		WithAddress(cd.Address),
		WithAdminAddress(cd.Admin),
		WithSlots(cd.Slots),
		WithConnections(cd.Connections),
		WithLongFrom(cd.LongFrom),
		WithAnswerBytes(cd.AnswerBytes),
		WithRunner(NewSampling(cd.Seed, urgent, long)),
	)
	return tt.Run(ctx)
}

// GroupCommand is the subcommand that runs many targets in one process.
type GroupCommand struct {
	Config string `help:"TOML file that lists the targets." type:"existingfile" required:""`
}

// Run runs the targets until ctx ends or a target fails to start.
func (gc *GroupCommand) Run(ctx context.Context) error {
	targets, err := ReadGroup(gc.Config)
	if err != nil {
		return err
	}
	var group run.Group
	for _, tt := range targets {
		running, cancel := context.WithCancel(ctx)
		group.Add(func() error { return tt.Run(running) }, func(error) { cancel() })
	}
	return group.Run()
}
