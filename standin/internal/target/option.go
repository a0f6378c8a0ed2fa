package target

import (
	"net/netip"
	"time"
)

// The default properties of a Target.
const (
	// DefaultSlots is the default of WithSlots.
	DefaultSlots = 8
	// DefaultConnections is the default of WithConnections.
	DefaultConnections = 64
	// DefaultLongFrom is the default of WithLongFrom.
	DefaultLongFrom = 5
	// DefaultAnswerBytes is the default of WithAnswerBytes, in bytes.
	DefaultAnswerBytes = 128
	// DefaultRebootTime is the default of WithRebootTime.
	DefaultRebootTime = 2 * time.Second
	// DefaultUrgentMean is the mean service time of urgent work.
	DefaultUrgentMean = 20 * time.Millisecond
	// DefaultLongMean is the mean service time of long work.
	DefaultLongMean = 400 * time.Millisecond
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Option sets a property of a new Target.
type Option func(*Target)

// WithName sets the VM's name.
func WithName(name string) Option { return func(tt *Target) { tt.name = name } }

// WithPlace sets the availability zone and the rack.
func WithPlace(zone, rack string) Option {
	return func(tt *Target) {
		tt.zone = zone
		tt.rack = rack
	}
}

// WithAddress sets the address for requests.
func WithAddress(address netip.AddrPort) Option { return func(tt *Target) { tt.address = address } }

// WithAdminAddress sets the address of the admin port.
func WithAdminAddress(address netip.AddrPort) Option {
	return func(tt *Target) { tt.adminAddress = address }
}

// WithSlots sets the number of concurrent executions above which overcommit is recorded.
func WithSlots(slots int) Option { return func(tt *Target) { tt.slots = slots } }

// WithConnections sets the limit of open connections; further connections are reset.
func WithConnections(connections int) Option {
	return func(tt *Target) { tt.connections = connections }
}

// WithLongFrom sets the lowest RFC 9218 urgency value that counts as long work.
func WithLongFrom(urgency int) Option { return func(tt *Target) { tt.longFrom = urgency } }

// WithAnswerBytes sets the minimum size of an answer's body, in bytes.
func WithAnswerBytes(size int) Option { return func(tt *Target) { tt.answerBytes = size } }

// WithRebootTime sets the downtime of a reboot.
func WithRebootTime(length time.Duration) Option {
	return func(tt *Target) { tt.rebootTime = length }
}

// WithRunner sets the Runner of the requests.
func WithRunner(runner Runner) Option { return func(tt *Target) { tt.runner = runner } }
