package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/supervisor"
)

// The names of the programs.
const (
	standinProgram = "standin"
	entryProgram   = "coltsfootwick-entry"
	stewardProgram = "coltsfootwick-steward"
	clientProgram  = "cfw"
)

// pollInterval is how often the demo asks whether something is ready.
const pollInterval = 50 * time.Millisecond

// stage is what the steps act on.
type stage struct {
	// clients counts the runs of cfw.
	clients    int
	out        io.Writer
	binaries   string
	files      string
	layout     layout
	supervisor *supervisor.Supervisor
	nodes      map[string]*supervisor.Child
	load       *supervisor.Child
	report     generator.Report
}

func (se *stage) program(name string) string { return filepath.Join(se.binaries, name) }

func (se *stage) file(name string) string { return filepath.Join(se.files, name+".toml") }

// startNode starts an entry or a steward.
func (se *stage) startNode(program string, nl nodeLayout) error {
	child, err := se.supervisor.Start(nl.Name, se.program(program), "run", "--config", se.file(nl.Name))
	if err != nil {
		return err
	}
	se.nodes[nl.Name] = child
	return nil
}

// client runs cfw to its end and returns what it wrote to its standard output.
func (se *stage) client(ctx context.Context, args ...string) ([]byte, error) {
	platform := "http://" + se.layout.Zones[0].Platform.String()
	se.clients++
	child, err := se.supervisor.Start(fmt.Sprintf("cfw-%d", se.clients), se.program(clientProgram), append([]string{"--platform", platform, "--author", "demo"}, args...)...)
	if err != nil {
		return nil, err
	}
	if err := child.Wait(ctx); err != nil {
		_ = child.Kill()
		log, _ := child.Log()
		return nil, classifier.Wrap(err, classifier.Internal, "cfw %s: %s", strings.Join(args, " "), bytes.TrimSpace(log))
	}
	return child.Output()
}

// awaitOK asks a URL until its answer has the status 200.
func awaitOK(ctx context.Context, address netip.AddrPort, path string) error {
	for {
		status, err := ask(ctx, http.MethodGet, address, path, "")
		if err == nil && status == http.StatusOK {
			return nil
		}
		if !wait(ctx, pollInterval) {
			return classifier.New(classifier.Internal, "%s%s: status %d, %v", address, path, status, err)
		}
	}
}

// ask makes one HTTP request and returns the status of its answer.
func ask(ctx context.Context, method string, address netip.AddrPort, path, body string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = rsp.Body.Close() }()
	_, err = io.Copy(io.Discard, rsp.Body)
	return rsp.StatusCode, err
}

func wait(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func lastLine(text []byte) string {
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(lines[len(lines)-1])
}
