package target

import (
	"context"
	"math/rand/v2"

	"coltsfootwick.example/shared/store/storer"

	"github.com/cespare/xxhash/v2"

	"coltsfootwick.example/standin/internal/sampler"
)

// Work is one request as its Runner sees it.
type Work struct {
	// Identifier names the request.
	Identifier string
	// Long is true for long work.
	Long bool
}

// Runner runs requests.
type Runner interface {
	// Run returns when the work is done, or with the error of ctx when the
	// target crashes or the caller goes away before.
	Run(ctx context.Context, work Work) error
}

// RunnerFunc is a function that is a Runner.
type RunnerFunc func(ctx context.Context, work Work) error

// Run calls the function.
func (rf RunnerFunc) Run(ctx context.Context, work Work) error { return rf(ctx, work) }

type sampling struct {
	seed   uint64
	urgent sampler.Distribution
	long   sampler.Distribution
}

// NewSampling returns a Runner that takes a service time drawn from one of two
// distributions. The time depends on the seed and the request's identifier
// alone, not on the order of arrival.
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
