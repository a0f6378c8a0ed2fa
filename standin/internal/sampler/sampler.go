// Package sampler draws service times from seeded distributions.
package sampler

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Distribution is the distribution of a service time: Fixed, Exponential or
// LogNormal.
type Distribution interface {
	distribution()
}

// Fixed always gives the same service time.
type Fixed struct {
	// Value is the service time.
	Value time.Duration
}

// Exponential gives exponentially distributed service times.
type Exponential struct {
	// Mean is the mean service time.
	Mean time.Duration
}

// LogNormal gives log-normally distributed service times.
type LogNormal struct {
	// Mean is the mean service time.
	Mean time.Duration
	// Sigma is the standard deviation of the natural logarithm.
	Sigma float64
}

func (Fixed) distribution()       {}
func (Exponential) distribution() {}
func (LogNormal) distribution()   {}

// Sample draws one service time.
func Sample(dn Distribution, rng *rand.Rand) time.Duration {
	switch kind := dn.(type) {
	case Fixed:
		return kind.Value
	case Exponential:
		return time.Duration(rng.ExpFloat64() * float64(kind.Mean))
	case LogNormal:
		factor := math.Exp(kind.Sigma*rng.NormFloat64() - kind.Sigma*kind.Sigma/2)
		return time.Duration(factor * float64(kind.Mean))
	default:
		return 0
	}
}

// Parse reads a distribution written as fixed:20ms, exponential:20ms or
// lognormal:20ms:0.8 (mean and sigma). Errors carry the code SettingsRange.
func Parse(text string) (Distribution, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 2 {
		return nil, classifier.New(classifier.SettingsRange, "distribution %q: want KIND:DURATION", text)
	}
	mean, err := time.ParseDuration(parts[1])
	if err != nil || mean < 0 {
		return nil, classifier.New(classifier.SettingsRange, "distribution %q: %q is no duration", text, parts[1])
	}
	switch {
	case parts[0] == "fixed" && len(parts) == 2:
		return Fixed{Value: mean}, nil
	case parts[0] == "exponential" && len(parts) == 2:
		return Exponential{Mean: mean}, nil
	case parts[0] == "lognormal" && len(parts) == 3:
		return parseLogNormal(text, mean, parts[2])
	default:
		return nil, classifier.New(classifier.SettingsRange,
			"distribution %q: want fixed:MEAN, exponential:MEAN or lognormal:MEAN:SIGMA", text)
	}
}

func parseLogNormal(text string, mean time.Duration, part string) (Distribution, error) {
	sigma, err := strconv.ParseFloat(part, 64)
	if err != nil || math.IsNaN(sigma) || sigma < 0 || sigma > maxSigma {
		return nil, classifier.New(classifier.SettingsRange,
			"distribution %q: sigma must be a number from 0 to %d", text, maxSigma)
	}
	return LogNormal{
		Mean:  mean,
		Sigma: sigma,
	}, nil
}

// maxSigma bounds the spread of a LogNormal.
const maxSigma = 5
