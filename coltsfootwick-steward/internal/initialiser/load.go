package initialiser

import (
	"net/netip"
	"net/url"
	"time"

	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

// The defaults and the ranges of the settings.
const (
	defaultLeaseTTL     = 5 * time.Second
	minLeaseTTL         = time.Second
	maxLeaseTTL         = time.Minute
	defaultListInterval = 500 * time.Millisecond
	minListInterval     = 50 * time.Millisecond
	maxListInterval     = time.Second
	defaultLogLevel     = "info"
)

var logLevels = []string{"debug", "info", "warn", "error"}

type wireSettings struct {
	Name             string         `toml:"name"`
	Zone             string         `toml:"zone"`
	OperatorsAddress netip.AddrPort `toml:"operatorsAddress"`
	PlatformURL      string         `toml:"platformURL"`
	LeaseTTL         time.Duration  `toml:"leaseTTL"`
	ListInterval     time.Duration  `toml:"listInterval"`
	LogLevel         string         `toml:"logLevel"`

	Peers connector.WireSettings `toml:"peers"`
}

// Load reads and validates the settings file at path. It returns the errors of
// loader.Load.
func Load(path string) (Settings, error) {
	defaults := wireSettings{
		LeaseTTL:     defaultLeaseTTL,
		ListInterval: defaultListInterval,
		LogLevel:     defaultLogLevel,
	}
	return loader.Load(path, defaults, wireSettings.validate)
}

func (ws wireSettings) validate(rt *loader.Report) Settings {
	rt.Require("operatorsAddress")
	requireNonEmpty(rt, "name", ws.Name)
	requireNonEmpty(rt, "zone", ws.Zone)
	loader.Between(rt, ws.LeaseTTL, minLeaseTTL, maxLeaseTTL, "leaseTTL")
	loader.Between(rt, ws.ListInterval, minListInterval, maxListInterval, "listInterval")
	loader.OneOf(rt, ws.LogLevel, logLevels, "logLevel")
	return Settings{
		Name:         ws.Name,
		Zone:         ws.Zone,
		Operators:    ws.OperatorsAddress,
		Platform:     ws.parsePlatformURL(rt),
		LeaseTTL:     ws.LeaseTTL,
		ListInterval: ws.ListInterval,
		LogLevel:     ws.LogLevel,
		Peers:        ws.Peers.Check(rt),
	}
}

func (ws wireSettings) parsePlatformURL(rt *loader.Report) *url.URL {
	const key = "platformURL"
	if !rt.Require(key) {
		return nil
	}
	platform, err := url.Parse(ws.PlatformURL)
	if err != nil || platform.Scheme != "http" || platform.Host == "" {
		rt.Add(classifier.SettingsRange, loader.Key{key}, "%s is %q, but must be a URL such as http://127.0.0.1:7001", key, ws.PlatformURL)
		return nil
	}
	return platform
}

func requireNonEmpty(rt *loader.Report, key, text string) {
	if rt.Require(key) && text == "" {
		rt.Add(classifier.SettingsRange, loader.Key{key}, "%s is empty", key)
	}
}
