package stager

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/supervisor"
)

// Node is a manager.
type Node struct {
	// Name is the node's name, and Zone its availability zone.
	Name, Zone string
	// Front is the address for callers, Internal that for other managers, and Ready
	// that for readiness checks.
	Front, Internal, Ready netip.AddrPort
	// Entrance is the address at which callers reach Front.
	Entrance netip.AddrPort

	stage      *Stage
	supervisor *supervisor.Supervisor
}

func newNode(se *Stage, zone string) *Node {
	nd := &Node{
		Name:     "manager-" + zone,
		Zone:     zone,
		Front:    se.ports.Find(1, 1),
		Internal: se.ports.Find(1, 1),
		Ready:    se.ports.Find(1, 1),
		stage:    se,
	}
	nd.supervisor = supervisor.New(se.files, supervisor.WithVariables("COLTSFOOTWICK_BOOT="+nd.settingsPath()))
	return nd
}

func (nd *Node) settingsPath() string {
	return filepath.Join(nd.stage.files, nd.Name+".toml")
}

// descriptors returns the line of the settings that limits the open descriptors.
func (lm Limits) descriptors() string {
	if lm.MaxFDs == 0 {
		return ""
	}
	return fmt.Sprintf("max_fds = %d\n", lm.MaxFDs)
}

// writeSettings writes the manager's settings file.
func (nd *Node) writeSettings(store, advice netip.AddrPort) error {
	text := fmt.Sprintf(`node = %q
ip = %q
zone = %q
region = "demo"
port_range = [%d, %d]
orders = "rpc"
advice = %q
[listen]
front = %q
ready = %q
[limits]
memory_mb = %d
%s[bounds]
grace_s = %v
stop_grace_ms = 200
hold_max_ms = 10000
[platform]
address = %q
ttl_min_ms = 1000
[cloud_api]
address = %q
`, nd.Name, nd.Internal.Addr(), nd.Zone, nd.Internal.Port(), nd.Internal.Port(), advice, nd.Front, nd.Ready,
		nd.stage.limits.MemoryMB, nd.stage.limits.descriptors(), nd.stage.grace.Seconds(), store, nd.stage.vms)
	const mode = 0o644
	path := nd.settingsPath()
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		return classifier.Wrap(err, classifier.Internal, "%s", path)
	}
	return nil
}

// Start starts a process of the manager.
func (nd *Node) Start() (*supervisor.Child, error) {
	return nd.supervisor.Start(nd.Name, filepath.Join(nd.stage.binaries, "coltsfootwick-manager"), "run")
}
