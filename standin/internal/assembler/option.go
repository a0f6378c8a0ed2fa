package assembler

import (
	"time"

	"coltsfootwick.example/standin/internal/target"
)

// builtInSettings is the settings tree of assemblies that name none.
const builtInSettings = `[organisation]
name = "Proof"

[services.claims]
pathPrefix = "/claims/"
pool = "claims"
notRepeatable = true

[pools.claims]
`

// Option changes one property of a new Assembly.
type Option func(*Assembly)

// WithSettings sets the operators' settings tree.
func WithSettings(source string) Option { return func(ay *Assembly) { ay.settings = source } }

// WithEntries sets the number of entries.
func WithEntries(count int) Option { return func(ay *Assembly) { ay.entryCount = count } }

// WithTargets sets the number of targets and their options.
func WithTargets(count int, opts ...target.Option) Option {
	return func(ay *Assembly) {
		ay.targetCount = count
		ay.targetOptions = opts
	}
}

// WithCheckInterval sets the balancer's check interval that entries allow for
// when they stop.
func WithCheckInterval(interval time.Duration) Option {
	return func(ay *Assembly) { ay.checkInterval = interval }
}

// WithMemoryBudget sets the entries' memory budget, such as "16MiB".
func WithMemoryBudget(budget string) Option {
	return func(ay *Assembly) { ay.memoryBudget = budget }
}
