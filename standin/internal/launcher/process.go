package launcher

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/supervisor"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// The metrics of a process that the measurements read.
const (
	// ProcessorSeconds is the processor time used.
	ProcessorSeconds = "process_cpu_seconds_total"
	// ResidentBytes is the memory in use, with the pages of the program's file.
	ResidentBytes = "process_resident_memory_bytes"
)

// Process is a running entry or steward.
type Process struct {
	// Name is the process's name, under which the platform counts its calls.
	Name string
	// Callers is where an entry takes requests.
	Callers netip.AddrPort
	// Operators is the operators' address.
	Operators netip.AddrPort
	// Port is where the process reaches the platform.
	Port *Port

	child *supervisor.Child
}

// AwaitReady returns when the process is ready.
func (ps *Process) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		rsp, err := ps.get(ctx, "/readyz")
		if err == nil {
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			log, _ := ps.child.Log()
			return classifier.Wrap(ctx.Err(), classifier.Internal, "%s is not ready:\n%s", ps.Name, log)
		}
	}
}

// Metrics returns the process's metrics by name, those with labels summed up.
func (ps *Process) Metrics(ctx context.Context) (map[string]float64, error) {
	rsp, err := ps.get(ctx, "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = rsp.Body.Close() }()
	metrics := map[string]float64{}
	lines := bufio.NewScanner(rsp.Body)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 2 {
			continue
		}
		value, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			continue
		}
		name, _, _ := strings.Cut(fields[0], "{")
		metrics[name] += value
	}
	return metrics, lines.Err()
}

// AnonymousBytes returns the memory in use without the pages of files, which the
// kernel can drop and read again.
func (ps *Process) AnonymousBytes() (float64, error) {
	const kilobyte = 1024
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", ps.child.Identifier()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "RssAnon:" {
			continue
		}
		value, err := strconv.ParseFloat(fields[1], 64)
		return value * kilobyte, err
	}
	return 0, classifier.New(classifier.Internal, "the kernel tells no anonymous memory of %s", ps.Name)
}

// Revision returns the revision of the settings that the process has in force.
func (ps *Process) Revision(ctx context.Context) (uint64, error) {
	rsp, err := ps.get(ctx, "/status")
	if err != nil {
		return 0, err
	}
	defer func() { _ = rsp.Body.Close() }()
	var status struct {
		SettingsRevision uint64 `json:"settingsRevision"`
	}
	err = json.NewDecoder(rsp.Body).Decode(&status)
	return status.SettingsRevision, err
}

func (ps *Process) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ps.Operators.String()+path, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}
