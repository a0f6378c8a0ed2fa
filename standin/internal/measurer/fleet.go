package measurer

import (
	"sync"

	"coltsfootwick.example/standin/internal/evaluator"
)

const fleetDays = 3

// fleetWay is a policy of moves under the name that figures give it.
type fleetWay struct {
	name   string
	policy evaluator.Policy
}

var fleetWays = []fleetWay{
	{name: "sized", policy: evaluator.Sized{}},
	{name: "fixed", policy: evaluator.Fixed{}},
	{name: "following", policy: evaluator.Following{}},
}

// fleetStudy runs every way on both deployments; the runs share nothing and go
// on side by side.
func fleetStudy(seed uint64) []figure {
	deployments := []evaluator.Deployment{evaluator.Addis, evaluator.Sul}
	results := make([][]figure, len(deployments)*len(fleetWays))
	var runs sync.WaitGroup
	for i, dt := range deployments {
		for j, way := range fleetWays {
			runs.Go(func() {
				outcome := evaluator.Run(dt, way.policy, fleetDays, seed)
				results[i*len(fleetWays)+j] = fleetFigures(dt.Name, way.name, outcome)
			})
		}
	}
	runs.Wait()
	var figures []figure
	for _, result := range results {
		figures = append(figures, result...)
	}
	return figures
}

func fleetFigures(deployment, way string, oe evaluator.Outcome) []figure {
	row := func(name string, value float64, unit string) figure {
		return figure{
			name:  name + "." + deployment + "." + way,
			value: value,
			unit:  unit,
		}
	}
	return []figure{
		row("spareBufferShare", oe.SpareShare, "share"),
		row("vmMoves", oe.MovesPerDay, "moves/day"),
		row("unmetUrgent", oe.UnmetUrgent, "share"),
		row("budgetBreaks", float64(oe.BudgetBreaks), "s"),
		row("waveDays", float64(oe.WaveDays), "waves"),
		row("waveRollOut", oe.WaveTime.Seconds(), "s"),
	}
}
