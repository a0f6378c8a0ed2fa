package logger

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"coltsfootwick.example/shared/process/classifier"
)

const (
	// maxQueuedLines is the number of lines queued for a slow output before further
	// lines are dropped.
	maxQueuedLines = 2048
	// closeTimeout bounds the wait for a blocked output on Close.
	closeTimeout = 500 * time.Millisecond
)

// AsyncWriter writes lines to an output in its own goroutine, so that a slow output
// does not block the program. If the queue is full, it drops and counts lines.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed by Close, and done once all queued lines are written.
	closing, done chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to output until Close is called.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	aw := &AsyncWriter{
		lines:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go aw.run(output)
	return aw
}

func (aw *AsyncWriter) run(output io.Writer) {
	defer close(aw.done)
	for {
		select {
		case line := <-aw.lines:
			aw.flush(output, line)
		case <-aw.closing:
			aw.flush(output, nil)
			return
		}
	}
}

// flush writes a line and all queued ones with one call. A failed write is
// ignored, since there is nowhere else to report it.
func (aw *AsyncWriter) flush(output io.Writer, line []byte) {
	for {
		select {
		case next := <-aw.lines:
			line = append(line, next...)
		default:
			if len(line) > 0 {
				_, _ = output.Write(line)
			}
			return
		}
	}
}

// Write implements io.Writer. It never blocks. It drops lines after Close.
func (aw *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case <-aw.closing:
		aw.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case aw.lines <- append([]byte(nil), line...):
	default:
		aw.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (aw *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of lines dropped.
func (aw *AsyncWriter) Dropped() uint64 { return aw.dropped.Load() }

// Close waits until the queued lines are written, or closeTimeout for a blocked output.
// It must be called once.
func (aw *AsyncWriter) Close() {
	close(aw.closing)
	select {
	case <-aw.done:
	case <-time.After(closeTimeout):
	}
}

// NewAsyncLogger returns a logger that writes JSON lines of at least the given level
// to an AsyncWriter.
func NewAsyncLogger(level string, writer *AsyncWriter) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.SettingsRange, "invalid log level %q", level)
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), writer, parsed)), nil
}
