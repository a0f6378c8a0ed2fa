package initialiser

import (
	"net/netip"
	"net/url"
	"time"

	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

const (
	defaultCheckInterval = 2 * time.Second
	defaultDrainTimeout  = 30 * time.Second
	maxDrainTimeout      = time.Hour
	defaultLogLevel      = "info"
	defaultMemoryBudget  = 512 * loader.Mebibyte
	minMemoryBudget      = loader.Mebibyte
	maxMemoryBudget      = 1024 * loader.Gibibyte
)

var logLevels = []string{"debug", "info", "warn", "error"}

type wireSettings struct {
	Name             string         `toml:"name"`
	Zone             string         `toml:"zone"`
	ListenAddress    netip.AddrPort `toml:"listenAddress"`
	OperatorsAddress netip.AddrPort `toml:"operatorsAddress"`
	PlatformURL      string         `toml:"platformURL"`
	CheckInterval    time.Duration  `toml:"checkInterval"`
	DrainTimeout     time.Duration  `toml:"drainTimeout"`
	LogLevel         string         `toml:"logLevel"`
	MemoryBudget     loader.Size    `toml:"memoryBudget"`

	Peers connector.WireSettings `toml:"peers"`
}

// Load reads the settings file at path. The error lists all faults of the file
// with their lines.
func Load(path string) (Settings, error) {
	defaults := wireSettings{
		CheckInterval: defaultCheckInterval,
		DrainTimeout:  defaultDrainTimeout,
		LogLevel:      defaultLogLevel,
		MemoryBudget:  defaultMemoryBudget,
	}
	return loader.Load(path, defaults, check)
}

func check(ws wireSettings, rt *loader.Report) Settings {
	for _, key := range []string{"name", "zone", "listenAddress", "operatorsAddress", "platformURL"} {
		rt.Require(key)
	}
	loader.Between(rt, ws.CheckInterval, 0, maxDrainTimeout, "checkInterval")
	loader.Between(rt, ws.DrainTimeout, ws.CheckInterval+time.Second, maxDrainTimeout, "drainTimeout")
	loader.OneOf(rt, ws.LogLevel, logLevels, "logLevel")
	loader.Between(rt, ws.MemoryBudget, minMemoryBudget, maxMemoryBudget, "memoryBudget")
	return Settings{
		Name:          ws.Name,
		Zone:          ws.Zone,
		Listen:        ws.ListenAddress,
		Operators:     ws.OperatorsAddress,
		Platform:      platformURL(ws.PlatformURL, rt),
		CheckInterval: ws.CheckInterval,
		DrainTimeout:  ws.DrainTimeout,
		LogLevel:      ws.LogLevel,
		MemoryBytes:   int64(ws.MemoryBudget),
		Peers:         ws.Peers.Check(rt),
	}
}

func platformURL(text string, rt *loader.Report) *url.URL {
	parsed, err := url.Parse(text)
	if err == nil && parsed.Scheme == "http" && parsed.Host != "" {
		return parsed
	}
	if rt.Has("platformURL") {
		rt.Add(classifier.SettingsRange, loader.Key{"platformURL"}, "%q is not a URL such as http://127.0.0.1:7000", text)
	}
	return nil
}
