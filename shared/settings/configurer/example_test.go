package configurer_test

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/settings/configurer"
)

func parseExample(t *testing.T, name string) configurer.Settings {
	t.Helper()
	source, err := os.ReadFile("../../../examples/" + name)
	must.NoError(t, err)
	settings, err := configurer.ParseFile(name, source)
	must.NoError(t, err)
	must.MapLen(t, 5, settings.Services)
	must.MapLen(t, 6, settings.Pools)
	must.True(t, settings.Pools["spare"].Spare)
	return settings
}

func TestExampleOfAddis(t *testing.T) {
	settings := parseExample(t, "addis.toml")
	for _, sv := range settings.Services {
		must.True(t, sv.NotRepeatable)
		must.EqOp(t, 30*time.Minute, sv.LongTimeout)
	}
}

func TestExampleOfSul(t *testing.T) {
	settings := parseExample(t, "sul.toml")
	for name, sv := range settings.Services {
		must.EqOp(t, name == "dispatch", sv.NotRepeatable)
		must.EqOp(t, name == "audit" || name == "paint", sv.DefaultUrgency >= sv.LongFrom)
	}
}
