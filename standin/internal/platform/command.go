package platform

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/logger"
	"coltsfootwick.example/shared/process/server"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// rebootTimeout bounds the call that notifies a VM's stand-in of a reboot.
const rebootTimeout = 2 * time.Second

// Command is the subcommand "standin platform".
type Command struct {
	Listen          map[string]netip.AddrPort `required:"" placeholder:"ZONE=ADDRESS" help:"Address to listen on for each availability zone, as in a=127.0.0.1:7001;b=127.0.0.1:7002."`
	Admin           netip.AddrPort            `default:"127.0.0.1:7099" help:"Address of the admin port (POST /faults, GET /counts, /vms)."`
	Fleet           string                    `type:"existingfile" placeholder:"FILE" help:"TOML file with the VMs."`
	WritesPerSecond float64                   `default:"500" help:"Rate of writes; 0 for no bound."`
	ReadsPerSecond  float64                   `default:"2000" help:"Rate of reads; 0 for no bound."`
	ListLag         time.Duration             `default:"3s" help:"How far the VM list lags."`
	RebootTime      time.Duration             `default:"10s" help:"How long a VM takes to reboot."`
	LogLevel        string                    `default:"info" help:"Least level of log lines: debug, info, warn or error."`
}

// Run serves until the context is done.
func (cd *Command) Run(ctx context.Context) error {
	log, err := logger.New(cd.LogLevel)
	if err != nil {
		return err
	}
	fleet, err := cd.loadFleet()
	if err != nil {
		return err
	}
	pm := New(
		keeper.WithRates(cd.WritesPerSecond, cd.ReadsPerSecond),
		keeper.WithListLag(cd.ListLag),
		keeper.WithRebootTime(cd.RebootTime),
		keeper.WithVMs(fleet.VMs...),
		keeper.WithRebootHook(func(vm storer.VM) { fleet.notifyReboot(log, vm) }),
	)
	var group run.Group
	group.Add(run.ContextHandler(ctx))
	for _, zone := range slices.Sorted(maps.Keys(cd.Listen)) {
		sr, err := server.New(cd.Listen[zone], pm.Handler(zone))
		if err != nil {
			return err
		}
		log.Info("serving availability zone", zap.String("zone", zone), zap.Stringer("address", sr.Address()))
		group.Add(sr.Execute, sr.Interrupt)
	}
	admin, err := server.New(cd.Admin, pm.Admin())
	if err != nil {
		return err
	}
	log.Info("serving admin port", zap.Stringer("address", admin.Address()))
	group.Add(admin.Execute, admin.Interrupt)
	err = group.Run()
	if errors.Is(err, context.Canceled) {
		log.Info("ended")
		return nil
	}
	return err
}

func (cd *Command) loadFleet() (Fleet, error) {
	if cd.Fleet == "" {
		return Fleet{}, nil
	}
	return LoadFleet(cd.Fleet)
}

// notifyReboot calls the reboot URL of a VM's stand-in, if it has one.
func (ft Fleet) notifyReboot(log *zap.Logger, vm storer.VM) {
	target, ok := ft.RebootURLs[vm.Name]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rebootTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		log.Warn("VM stand-in was not notified of its reboot: invalid reboot URL", zap.String("vm", vm.Name), zap.Error(err))
		return
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		log.Warn("VM stand-in was not notified of its reboot: call failed", zap.String("vm", vm.Name), zap.Error(err))
		return
	}
	_ = rs.Body.Close()
}
