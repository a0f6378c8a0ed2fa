package configurer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
)

// checkGolden compares text with a golden file, or writes the file when the
// environment variable UPDATE_GOLDEN is set.
func checkGolden(t *testing.T, path, text string) {
	t.Helper()
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	golden, err := os.ReadFile(path)
	must.NoError(t, err)
	must.EqOp(t, string(golden), text)
}

// eachSource runs a subtest for each file that matches the pattern.
func eachSource(t *testing.T, pattern string, run func(t *testing.T, golden string, source []byte)) {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	must.NoError(t, err)
	must.SliceNotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			source, err := os.ReadFile(path)
			must.NoError(t, err)
			run(t, strings.TrimSuffix(path, ".toml")+".golden", source)
		})
	}
}

func ExampleParse() {
	settings, err := configurer.Parse([]byte(`
[organisation]
name = "Example"

[defaults]
requestTimeout = "5s"

[services.claims]
pathPrefix = "/claims/"
pool = "workers"

[pools.workers]
`))
	claims := settings.Services["claims"]
	fmt.Println(claims.RequestTimeout, claims.SlotsPerTarget, err)
	// Output: 5s 8 <nil>
}

func TestParseFaults(t *testing.T) {
	eachSource(t, "testdata/faults/*.toml", func(t *testing.T, golden string, source []byte) {
		_, err := configurer.Parse(source)
		must.Error(t, err)
		checkGolden(t, golden, err.Error()+"\n")
	})
}

func TestExplain(t *testing.T) {
	eachSource(t, "testdata/sound/*.toml", func(t *testing.T, golden string, source []byte) {
		explanations, err := configurer.Explain(source)
		must.NoError(t, err)
		var sb strings.Builder
		for _, ex := range explanations {
			fmt.Fprintf(&sb, "%s.%s.%s = %s (%s, line %d)\n", ex.Section, ex.Name, ex.Key, ex.Value, ex.Origin, ex.Line)
		}
		checkGolden(t, golden, sb.String())
	})
}

func TestBuiltInDefaultsAreInRange(t *testing.T) {
	for _, key := range configurer.Keys() {
		must.StrHasSuffix(t, ".", key.Summary, must.Sprint(key.Name))
		if key.Default == "" || !key.Inherited || !strings.HasPrefix(key.Section, "services") {
			continue
		}
		value := key.Default
		if key.Type == "duration" || key.Type == "size" {
			value = `"` + value + `"`
		}
		source := fmt.Sprintf("[organisation]\nname = \"x\"\n[defaults]\n%s = %s\n", key.Name, value)
		_, err := configurer.Parse([]byte(source))
		must.NoError(t, err, must.Sprint(source))
	}
}

func TestBudgetSumToleratesFloatingPointError(t *testing.T) {
	for tenths := range 11 {
		source := fmt.Sprintf("[organisation]\nname=\"x\"\n[services.s]\npathPrefix=\"/s/\"\npool=\"p\"\nminInService=0.%d\n[pools.p]\nmaxDraining=%v\n",
			tenths%10, float64(10-tenths%10)/10)
		_, err := configurer.Parse([]byte(source))
		must.NoError(t, err, must.Sprint(source))
	}
}

func TestParseFillsSettings(t *testing.T) {
	source, err := os.ReadFile("testdata/sound/inherited.toml")
	must.NoError(t, err)
	settings, err := configurer.Parse(source)
	must.NoError(t, err)
	must.EqOp(t, "Inherited", settings.Organisation)
	must.EqOp(t, 2*time.Second, settings.Services["claims"].RequestTimeout)
	must.EqOp(t, 5*time.Second, settings.Services["audit"].RequestTimeout)
	must.EqOp(t, 0.2, settings.Pools["workers"].MaxDraining)
	must.True(t, settings.Pools["spare"].Spare)
}

func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("testdata/*/*.toml")
	must.NoError(f, err)
	for _, path := range paths {
		source, err := os.ReadFile(path)
		must.NoError(f, err)
		f.Add(source)
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		settings, err := configurer.Parse(source)
		if err != nil {
			must.Between(t, classifier.SettingsSyntax, classifier.CodeOf(err), classifier.SettingsBudget)
			return
		}
		for name, sv := range settings.Services {
			must.EqOp(t, name, sv.Name)
			must.MapContainsKey(t, settings.Pools, sv.Pool)
		}
		_, err = configurer.Explain(source)
		must.NoError(t, err)
	})
}
