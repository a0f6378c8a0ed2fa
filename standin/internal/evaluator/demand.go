package evaluator

import (
	"math"
	"math/rand/v2"
	"time"
)

// demand gives the demand of every service over time. Services take turns: in
// its turn one asks five times its mean, in between a twentieth. The means
// follow the hours of the day, and on some days a campaign raises one service.
type demand struct {
	means    []float64
	campaign []int
}

const (
	turn             = 10 * time.Second
	turnFactor       = 5.0
	betweenFactor    = 0.05
	campaignFactor   = 1.8
	campaignFrom     = 9 * time.Hour
	campaignTo       = 15 * time.Hour
	daySwing         = 0.4
	campaignsOneDay  = 2
	hoursOfDay       = 24
	busiestHourOfDay = 10
)

// newDemand draws the days on which each campaign runs.
func newDemand(dt Deployment, days int, rd *rand.Rand) *demand {
	dd := &demand{}
	for _, count := range dt.PoolVMs {
		dd.means = append(dd.means, dt.Use*slotsPerVM*float64(count))
	}
	for range days {
		service := -1
		if rd.IntN(campaignsOneDay) == 0 {
			service = rd.IntN(len(dt.PoolVMs))
		}
		dd.campaign = append(dd.campaign, service)
	}
	return dd
}

// at returns the demand of a service in slots over all availability zones.
func (dd *demand) at(service int, since time.Duration) float64 {
	hours := math.Mod(since.Hours(), hoursOfDay)
	level := 1 + daySwing*math.Cos((hours-busiestHourOfDay)/hoursOfDay*2*math.Pi)
	day := int(since / (hoursOfDay * time.Hour))
	timeOfDay := since % (hoursOfDay * time.Hour)
	if dd.campaign[day] == service && timeOfDay >= campaignFrom && timeOfDay < campaignTo {
		level *= campaignFactor
	}
	factor := betweenFactor
	if int(since/turn)%len(dd.means) == service {
		factor = turnFactor
	}
	return dd.means[service] * level * factor
}
