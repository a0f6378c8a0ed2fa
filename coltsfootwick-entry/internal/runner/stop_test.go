package runner_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

const callersPerProtocol = 8

// TestStopInterruptsNoRequest stops an entry while callers of both protocols send
// one request after the other for as long as the entry is ready. One request of
// each protocol stays in flight until the entry accepts no more connections.
func TestStopInterruptsNoRequest(t *testing.T) {
	var running atomic.Int64
	arrived := make(chan struct{}, 1000)
	refused := make(chan struct{})
	address := rawTarget(t, func(conn net.Conn, hr *http.Request) bool {
		running.Add(1)
		defer running.Add(-1)
		arrived <- struct{}{}
		if hr.URL.Path == "/claims/long" {
			<-refused
		}
		time.Sleep(30 * time.Millisecond)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		return err == nil
	})
	kr := testPlatform(t, address)
	putSettings(t, kr, 2, "slotsPerTarget = 64\nconnectionsPerTarget = 128")
	te := startEntry(t, kr, "a-e1")
	other := startEntry(t, kr, "a-e2")
	awaitReady(t, te)
	awaitReady(t, other)
	awaitSlots(t, other, 32)

	var group sync.WaitGroup
	faults := make(chan error, 1000)
	for _, client := range callers() {
		group.Go(func() {
			if err := postRequest(client, te.url("/claims/long")); err != nil {
				faults <- err
			}
		})
		for range callersPerProtocol {
			group.Go(func() {
				for te.Ready() == nil {
					if err := postRequest(client, te.url("/claims/file")); err != nil {
						faults <- err
						return
					}
				}
			})
		}
	}
	for range 40 {
		<-arrived
	}
	te.stop()
	awaitSlots(t, other, 64)
	awaitRefusal(t, te)
	close(refused)
	group.Wait()
	must.NoError(t, <-te.ended)
	te.ended <- nil
	must.EqOp(t, 0, running.Load())
	close(faults)
	for err := range faults {
		must.NoError(t, err)
	}
}

func postRequest(client *http.Client, url string) error {
	re, err := client.Post(url, "text/plain", strings.NewReader("body"))
	if err != nil {
		return err
	}
	defer func() { _ = re.Body.Close() }()
	body, err := io.ReadAll(re.Body)
	if err == nil && (re.StatusCode != http.StatusOK || string(body) != "whole") {
		return fmt.Errorf("%d %s", re.StatusCode, body)
	}
	return err
}

// awaitRefusal waits until the entry accepts no more connections.
func awaitRefusal(t *testing.T, te testEntry) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool {
			conn, err := net.Dial("tcp", te.CallersAddress().String())
			if err == nil {
				_ = conn.Close()
			}
			return err != nil
		}),
		wait.Timeout(10*time.Second),
		wait.Gap(10*time.Millisecond),
	))
}

// awaitSlots waits until the entry's share of its targets has this many slots.
func awaitSlots(t *testing.T, te testEntry, slots int) {
	t.Helper()
	want := fmt.Sprintf("coltsfootwick_entry_slots{service=\"claims\"} %d\n", slots)
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool {
			_, body := get(t, te.operatorsURL("/metrics"))
			return strings.Contains(body, want)
		}),
		wait.Timeout(20*time.Second),
		wait.Gap(10*time.Millisecond),
	))
}
