package logger

import (
	"io"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"coltsfootwick.example/shared/process/classifier"
)

// ringLines is how many lines wait for a slow output before lines are dropped.
const ringLines = 2048

// AsyncWriter writes lines to an output in its own goroutine, so that a slow output
// holds nobody up. Lines that find the ring full are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter returns a Ring that writes to an output until Close is called.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	ri := &AsyncWriter{
		lines: make(chan []byte, ringLines),
		done:  make(chan struct{}),
	}
	go ri.run(output)
	return ri
}

func (ri *AsyncWriter) run(output io.Writer) {
	defer close(ri.done)
	for line := range ri.lines {
		// Lines that wait are written together. A failed write can't be told
		// of anywhere else.
		for more := true; more; {
			select {
			case next, ok := <-ri.lines:
				if !ok {
					more = false
					break
				}
				line = append(line, next...)
			default:
				more = false
			}
		}
		_, _ = output.Write(line)
	}
}

// Write implements io.Writer and never waits.
func (ri *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case ri.lines <- append([]byte(nil), line...):
	default:
		ri.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (ri *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of lines dropped.
func (ri *AsyncWriter) Dropped() uint64 { return ri.dropped.Load() }

// Close writes the lines that wait. Nothing may be written after it.
func (ri *AsyncWriter) Close() {
	close(ri.lines)
	<-ri.done
}

// NewAsyncLogger returns a logger that writes JSON lines to a ring from the
// level named.
func NewAsyncLogger(level string, ring *AsyncWriter) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.SettingsRange, "log level %q", level)
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), ring, parsed)), nil
}
