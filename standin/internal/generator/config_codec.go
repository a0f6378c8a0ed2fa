package generator

import (
	"net/netip"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

// wireConfig is the TOML file of Command.
type wireConfig struct {
	Seed           uint64           `toml:"seed"`
	Run            string           `toml:"run"`
	Length         time.Duration    `toml:"length"`
	Turns          int              `toml:"turns"`
	Turn           time.Duration    `toml:"turn"`
	FloodFactor    float64          `toml:"floodFactor"`
	QuietFactor    float64          `toml:"quietFactor"`
	H2C            bool             `toml:"h2c"`
	CheckInterval  time.Duration    `toml:"checkInterval"`
	MaxAttempts    int              `toml:"maxAttempts"`
	RepeatDelay    time.Duration    `toml:"repeatDelay"`
	MaxOutstanding int              `toml:"maxOutstanding"`
	Targets        []netip.AddrPort `toml:"targets"`
	Zones          []wireZone       `toml:"zones"`
	Services       []wireService    `toml:"services"`
}

type wireZone struct {
	Name    string           `toml:"name"`
	Entries []netip.AddrPort `toml:"entries"`
	Checks  []netip.AddrPort `toml:"checks"`
}

type wireService struct {
	Name         string        `toml:"name"`
	Path         string        `toml:"path"`
	Rate         float64       `toml:"rate"`
	LongShare    float64       `toml:"longShare"`
	KeyedShare   float64       `toml:"keyedShare"`
	Urgency      *int          `toml:"urgency"`
	LongUrgency  *int          `toml:"longUrgency"`
	RequestBytes int           `toml:"requestBytes"`
	Timeout      time.Duration `toml:"timeout"`
	Deadline     time.Duration `toml:"deadline"`
}

// The urgencies of services whose file names none.
const (
	defaultUrgency     = 1
	defaultLongUrgency = 6
)

func defaultWireConfig() wireConfig {
	cg := DefaultConfig()
	return wireConfig{
		Seed:           cg.Seed,
		Length:         cg.Length,
		Turns:          cg.Turns,
		Turn:           cg.Turn,
		FloodFactor:    cg.FloodFactor,
		QuietFactor:    cg.QuietFactor,
		CheckInterval:  cg.CheckInterval,
		MaxAttempts:    cg.MaxAttempts,
		RepeatDelay:    cg.RepeatDelay,
		MaxOutstanding: cg.MaxOutstanding,
	}
}

// File is what a load file holds.
type File struct {
	// Config tells who calls what.
	Config Config
	// Targets are the admin addresses of the targets that the ledger compares with.
	Targets []netip.AddrPort
}

// ReadFile reads a load file. Its errors are those of the package loader.
func ReadFile(path string) (File, error) {
	return loader.Load(path, defaultWireConfig(), wireConfig.check)
}

// check maps the file to its domain struct.
func (wire wireConfig) check(rt *loader.Report) File {
	cg := wire.config()
	if err := cg.Check(); err != nil {
		rt.Add(classifier.SettingsRange, loader.Key{}, "%v", err)
	}
	return File{
		Config:  cg,
		Targets: wire.Targets,
	}
}

func (wire wireConfig) config() Config {
	cg := Config{
		Seed:           wire.Seed,
		Run:            wire.Run,
		Length:         wire.Length,
		Turns:          wire.Turns,
		Turn:           wire.Turn,
		FloodFactor:    wire.FloodFactor,
		QuietFactor:    wire.QuietFactor,
		H2C:            wire.H2C,
		CheckInterval:  wire.CheckInterval,
		MaxAttempts:    wire.MaxAttempts,
		RepeatDelay:    wire.RepeatDelay,
		MaxOutstanding: wire.MaxOutstanding,
	}
	for _, wz := range wire.Zones {
		cg.Zones = append(cg.Zones, wz.zone())
	}
	for _, ws := range wire.Services {
		cg.Services = append(cg.Services, ws.service())
	}
	return cg
}

func (wz wireZone) zone() Zone {
	ze := Zone{
		Name: wz.Name,
	}
	for index, address := range wz.Entries {
		ey := Entry{
			Address: address,
		}
		if index < len(wz.Checks) {
			ey.Check = wz.Checks[index]
		}
		ze.Entries = append(ze.Entries, ey)
	}
	return ze
}

func (ws wireService) service() Service {
	se := Service{
		Name:         ws.Name,
		Path:         ws.Path,
		Rate:         ws.Rate,
		LongShare:    ws.LongShare,
		KeyedShare:   ws.KeyedShare,
		Urgency:      defaultUrgency,
		LongUrgency:  defaultLongUrgency,
		RequestBytes: ws.RequestBytes,
		Timeout:      ws.Timeout,
		Deadline:     ws.Deadline,
	}
	if ws.Urgency != nil {
		se.Urgency = *ws.Urgency
	}
	if ws.LongUrgency != nil {
		se.LongUrgency = *ws.LongUrgency
	}
	if se.Timeout == 0 {
		se.Timeout = DefaultTimeout
	}
	return se
}
