package runner_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// benchmarkCaller measures requests of one client to a URL, and the processor
// time of the whole test process per request.
func benchmarkCaller(b *testing.B, url, key string) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	body := strings.Repeat("x", 256)
	b.ReportAllocs()
	b.ResetTimer()
	begun := processorTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			re, err := client.Post(url+key, "text/plain", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, re.Body)
			_ = re.Body.Close()
			if re.StatusCode != http.StatusOK {
				b.Error(re.Status)
			}
		}
	})
	b.ReportMetric(float64(processorTime()-begun)/float64(b.N), "cpu-ns/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkTarget(b *testing.B) string {
	b.Helper()
	answer := []byte(strings.Repeat("y", 256))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		_, _ = io.Copy(io.Discard, hr.Body)
		w.Header()["Coltsfootwick-Attempt"] = hr.Header["Coltsfootwick-Attempt"]
		_, _ = w.Write(answer)
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// BenchmarkDirect is the baseline of BenchmarkThroughEntry: the caller sends its
// requests to the target directly.
func BenchmarkDirect(b *testing.B) {
	benchmarkCaller(b, "http://"+benchmarkTarget(b), "/claims/check")
}

// BenchmarkThroughEntry sends the requests through the entry. The difference from
// BenchmarkDirect is the cost of the entry.
func BenchmarkThroughEntry(b *testing.B) {
	kr := testPlatform(b, benchmarkTarget(b))
	putSettings(b, kr, 2, "slotsPerTarget = 256\nconnectionsPerTarget = 256")
	te := startEntry(b, kr, "a-e1")
	awaitReady(b, te)
	benchmarkCaller(b, te.url(""), "/claims/check")
}
