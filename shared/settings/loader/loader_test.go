package loader_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

type fileConfig struct {
	Zone     string              `toml:"zone"`
	Listen   netip.AddrPort      `toml:"listen"`
	LeaseTTL time.Duration       `toml:"leaseTtl"`
	Cache    loader.Size         `toml:"cache"`
	Peers    []filePeer          `toml:"peers"`
	Quota    *int                `toml:"quota"`
	Limits   map[string]fileSpan `toml:"limits"`
}

type filePeer struct {
	Address netip.Addr `toml:"address"`
	Weight  float64    `toml:"weight"`
}

type fileSpan struct {
	Most uint8 `toml:"most"`
	Hard bool  `toml:"hard"`
}

type config struct {
	Zone     string
	Listen   netip.AddrPort
	LeaseTTL time.Duration
}

func checkConfig(wire fileConfig, rt *loader.Report) config {
	rt.Require("zone")
	rt.Require("listen")
	loader.Between(rt, wire.LeaseTTL, time.Second, time.Minute, "leaseTtl")
	return config{
		Zone:     wire.Zone,
		Listen:   wire.Listen,
		LeaseTTL: wire.LeaseTTL,
	}
}

var defaults = fileConfig{
	LeaseTTL: 5 * time.Second,
}

func ExampleParse() {
	source := `zone = "a"
listen = "127.0.1.1:8080"
`
	cfg, err := loader.Parse("entry.toml", []byte(source), defaults, checkConfig)
	fmt.Println(cfg.Zone, cfg.Listen, cfg.LeaseTTL, err)
	// Output: a 127.0.1.1:8080 5s <nil>
}

func ExampleParse_faults() {
	source := `zon = "a"
listen = "127.0.1.1"
leaseTtl = "2h"
`
	_, err := loader.Parse("entry.toml", []byte(source), defaults, checkConfig)
	fmt.Println(err)
	// Output:
	// entry.toml:1: 402 settingsUnknownKey: unknown key zon; the nearest known key is zone
	// entry.toml:1: 404 settingsRange: zone is missing
	// entry.toml:2: 403 settingsType: listen: not an ip:port
	// entry.toml:3: 404 settingsRange: leaseTtl is 2h0m0s, but must be from 1s to 1m0s
}

// TestFaults compares the faults of each invalid file of testdata with its
// golden file.
func TestFaults(t *testing.T) {
	sources, err := filepath.Glob("testdata/faults/*.toml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, sources)
	for _, path := range sources {
		t.Run(filepath.Base(path), func(t *testing.T) {
			_, err := loader.Load(path, defaults, checkConfig)
			golden := strings.TrimSuffix(path, ".toml") + ".golden"
			if os.Getenv("UPDATE_GOLDEN") != "" {
				must.NoError(t, os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644))
			}
			wanted, readErr := os.ReadFile(golden)
			must.NoError(t, readErr)
			must.EqOp(t, string(wanted), err.Error()+"\n")
		})
	}
}

func TestLoadReportsMissingFile(t *testing.T) {
	_, err := loader.Load("testdata/absent.toml", defaults, checkConfig)
	must.EqOp(t, classifier.SettingsSyntax, classifier.CodeOf(err))
}

func TestParseDecodesEveryKind(t *testing.T) {
	source := `zone = "b"
listen = "[::1]:1"
cache = "2MiB"
quota = 3
peers = [{address = "127.0.0.2", weight = 1}]
[limits."x y"]
most = 255
hard = true
`
	wire, err := loader.Parse("x", []byte(source), defaults, func(wire fileConfig, _ *loader.Report) fileConfig {
		return wire
	})
	must.NoError(t, err)
	must.EqOp(t, 2*loader.Mebibyte, wire.Cache)
	must.EqOp(t, 3, *wire.Quota)
	must.EqOp(t, 1.0, wire.Peers[0].Weight)
	must.EqOp(t, uint8(255), wire.Limits["x y"].Most)
	must.True(t, wire.Limits["x y"].Hard)
}

func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/faults/*.toml", "testdata/sound/*.toml"} {
		paths, err := filepath.Glob(pattern)
		must.NoError(f, err)
		for _, path := range paths {
			source, err := os.ReadFile(path)
			must.NoError(f, err)
			f.Add(source)
		}
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		_, err := loader.Parse("fuzz.toml", source, defaults, checkConfig)
		if err == nil {
			return
		}
		code := classifier.CodeOf(err)
		must.Between(t, classifier.SettingsSyntax, code, classifier.SettingsRange)
	})
}
