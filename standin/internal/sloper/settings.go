package sloper

import (
	"context"

	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// measureSettings measures the settings as pools, each with a service, grow.
func measureSettings(ctx context.Context) ([]*series, error) {
	var (
		head  = &series{name: "settingsHeadBytes", unit: "B", per: "pool"}
		parse = &series{name: "settingsParse", unit: "µs", per: "pool"}
		apply = &series{name: "settingsApply", unit: "µs", per: "pool"}
		held  = &series{name: "settingsHeap", unit: "B", per: "pool"}
	)
	for _, size := range sizes {
		source := settingsSource(size)
		kr := keeper.New(keeper.WithRates(0, 0))
		repository := configurer.NewRepository(kr.Zone("a"))
		base := uint64(0)
		var failed error
		change := func() {
			settings, err := repository.Apply(ctx, configurer.Change{
				Author: "slopes",
				Reason: "a change",
				Source: source,
				Base:   base,
			})
			if err != nil {
				failed = err
				return
			}
			base = settings.Revision
		}
		at := float64(size)
		apply.add(at, timeOf(change))
		if failed != nil {
			return nil, failed
		}
		et, err := kr.Zone("a").Get(ctx, storer.SettingsHeadKey)
		if err != nil {
			return nil, err
		}
		head.add(at, float64(len(et.Value)))
		parse.add(at, timeOf(func() { _, _ = configurer.Parse([]byte(source)) }))
		held.add(at, growth(func() any { settings, _ := configurer.Decode(et.Value); return &settings }))
	}
	return []*series{head, parse, apply, held}, nil
}
