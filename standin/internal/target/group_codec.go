package target

import (
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
	"coltsfootwick.example/standin/internal/sampler"
)

// wireGroup is the content of GroupCommand's TOML file. Its top-level values apply
// to all targets.
type wireGroup struct {
	Seed        uint64       `toml:"seed"`
	Slots       int          `toml:"slots"`
	Connections int          `toml:"connections"`
	Urgent      string       `toml:"urgent"`
	Long        string       `toml:"long"`
	LongFrom    int          `toml:"longFrom"`
	AnswerBytes int          `toml:"answerBytes"`
	Targets     []wireTarget `toml:"targets"`
}

type wireTarget struct {
	Name    string         `toml:"name"`
	Zone    string         `toml:"zone"`
	Rack    string         `toml:"rack"`
	Address netip.AddrPort `toml:"address"`
	Admin   netip.AddrPort `toml:"admin"`
}

func defaultWireGroup() wireGroup {
	return wireGroup{
		Seed:        1,
		Slots:       DefaultSlots,
		Connections: DefaultConnections,
		Urgent:      "exponential:" + DefaultUrgentMean.String(),
		Long:        "exponential:" + DefaultLongMean.String(),
		LongFrom:    DefaultLongFrom,
		AnswerBytes: DefaultAnswerBytes,
	}
}

// ReadGroup returns the targets listed in a TOML file, without starting them. It
// returns the errors of loader.Load.
func ReadGroup(path string) ([]*Target, error) {
	return loader.Load(path, defaultWireGroup(), wireGroup.check)
}

func (wg wireGroup) check(rt *loader.Report) []*Target {
	urgent := distribution(rt, "urgent", wg.Urgent)
	long := distribution(rt, "long", wg.Long)
	if len(wg.Targets) == 0 {
		rt.Add(classifier.SettingsRange, loader.Key{"targets"}, "at least one target must be listed")
	}
	targets := make([]*Target, 0, len(wg.Targets))
	for index, wt := range wg.Targets {
		if wt.Name == "" || !wt.Address.IsValid() || !wt.Admin.IsValid() {
			rt.Add(classifier.SettingsRange, loader.Key{"targets"},
				"target %d (%q) must have a name, an address and an admin address", index+1, wt.Name)
		}
		targets = append(targets, New(
			WithName(wt.Name),
			WithPlace(wt.Zone, wt.Rack),
			WithAddress(wt.Address),
			WithAdminAddress(wt.Admin),
			WithSlots(wg.Slots),
			WithConnections(wg.Connections),
			WithLongFrom(wg.LongFrom),
			WithAnswerBytes(wg.AnswerBytes),
			WithRunner(NewSampling(wg.Seed+uint64(index), urgent, long)),
		))
	}
	return targets
}

func distribution(rt *loader.Report, key, text string) sampler.Distribution {
	dn, err := sampler.Parse(text)
	if err != nil {
		rt.Add(classifier.SettingsRange, loader.Key{key}, "%v", err)
	}
	return dn
}
