package commander

import (
	"maps"
	"slices"
	"strconv"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/settings/configurer"
)

// serviceListCommand lists the services in force.
type serviceListCommand struct{}

// wireService is the main settings of a service as JSON.
type wireService struct {
	Name           string  `json:"name"`
	PathPrefix     string  `json:"pathPrefix"`
	Pool           string  `json:"pool"`
	MinInService   float64 `json:"minInService"`
	SlotsPerTarget int     `json:"slotsPerTarget"`
	RequestTimeout string  `json:"requestTimeout"`
	LongTimeout    string  `json:"longTimeout"`
	NotRepeatable  bool    `json:"notRepeatable"`
}

// Help returns examples.
func (serviceListCommand) Help() string {
	return `Lists the services with their main effective settings; cfw settings explain NAME shows all.

Example:

    cfw service list`
}

// Run implements the command.
func (serviceListCommand) Run(se *session) error {
	settings, err := se.current()
	if err != nil {
		return err
	}
	view := printer.View{
		Header: []string{"SERVICE", "PATH", "POOL", "BUDGET", "SLOTS", "TIMEOUT", "LONG", "REPEATABLE"},
	}
	wire := []wireService{}
	for _, name := range slices.Sorted(maps.Keys(settings.Services)) {
		sv := settings.Services[name]
		wire = append(wire, newWireService(sv))
		view.Rows = append(view.Rows, []string{
			sv.Name, sv.PathPrefix, sv.Pool, shareText(sv.MinInService), strconv.Itoa(sv.SlotsPerTarget),
			sv.RequestTimeout.String(), sv.LongTimeout.String(), yesNo(!sv.NotRepeatable),
		})
	}
	view.Wire = wire
	return se.printer.Show(view)
}

func newWireService(sv configurer.Service) wireService {
	return wireService{
		Name:           sv.Name,
		PathPrefix:     sv.PathPrefix,
		Pool:           sv.Pool,
		MinInService:   sv.MinInService,
		SlotsPerTarget: sv.SlotsPerTarget,
		RequestTimeout: sv.RequestTimeout.String(),
		LongTimeout:    sv.LongTimeout.String(),
		NotRepeatable:  sv.NotRepeatable,
	}
}

// shareText returns a share as a percentage.
func shareText(share float64) string {
	return strconv.FormatFloat(100*share, 'f', -1, 64) + "%"
}

func yesNo(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}
