package target

import (
	"context"
	"math/rand/v2"

	"coltsfootwick.example/shared/store/storer"

	"github.com/cespare/xxhash/v2"

	"coltsfootwick.example/standin/internal/sampler"
)

// Work is the request data passed to a Runner.
type Work struct {
	// Identifier is the caller's identifier of the request.
	Identifier string
	// Long is true for long work.
	Long bool
}

// Runner runs requests.
type Runner interface {
	// Run returns nil when the work is done. If the target crashes or the caller
	// disconnects first, it returns the error of ctx.
	Run(ctx context.Context, work Work) error
}

// RunnerFunc is a function that implements Runner.
type RunnerFunc func(ctx context.Context, work Work) error

// Run calls the function.
func (rf RunnerFunc) Run(ctx context.Context, work Work) error { return rf(ctx, work) }

type sampling struct {
	seed   uint64
	urgent sampler.Distribution
	long   sampler.Distribution
}

// NewSampling returns a Runner that waits for a service time drawn from one of
// two distributions. The time depends only on the seed and the request's
// identifier, not on the order of arrival.
func NewSampling(seed uint64, urgent, long sampler.Distribution) Runner {
	return sampling{
		seed:   seed,
		urgent: urgent,
		long:   long,
	}
}

// Run waits for the service time.
func (sg sampling) Run(ctx context.Context, work Work) error {
	rng := rand.New(rand.NewPCG(sg.seed, xxhash.Sum64String(work.Identifier)))
	dn := sg.urgent
	if work.Long {
		dn = sg.long
	}
	return storer.Pause(ctx, sampler.Sample(dn, rng))
}
