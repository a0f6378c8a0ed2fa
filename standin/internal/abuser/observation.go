package abuser

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// sampleInterval is the time between two counts of a process's descriptors.
const sampleInterval = 50 * time.Millisecond

// Observation is what a process has used.
type Observation struct {
	// PeakBytes is the greatest resident memory since the process's start.
	PeakBytes int64
	// Descriptors is the greatest number of open descriptors that was seen.
	Descriptors int
	// Connections is how many connections the crowd opened.
	Connections int64
}

// Observe samples a process until the context is done.
func Observe(ctx context.Context, pid int) (Observation, error) {
	var on Observation
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			return on, classifier.Wrap(err, classifier.Internal, "descriptors of process %d", pid)
		}
		on.Descriptors = max(on.Descriptors, len(files))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			on.PeakBytes, err = peakBytes(pid)
			return on, err
		}
	}
}

// peakBytes returns the greatest resident memory of a process.
func peakBytes(pid int) (int64, error) {
	const kilobyte = 1024
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, classifier.Wrap(err, classifier.Internal, "memory of process %d", pid)
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmHWM:" {
			continue
		}
		value, err := strconv.ParseInt(fields[1], 10, 64)
		return value * kilobyte, err
	}
	return 0, classifier.New(classifier.Internal, "the kernel tells no peak memory of process %d", pid)
}
