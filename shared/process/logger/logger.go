// Package logger provides the structured loggers of all programs.
package logger

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"coltsfootwick.example/shared/process/classifier"
)

// New returns a logger that writes JSON lines of at least the given level to the
// standard error. The levels are debug, info, warn and error.
func New(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.SettingsRange, "invalid log level %q", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.EncoderConfig = encoderConfig()
	cfg.Sampling = nil
	return cfg.Build()
}

// encoderConfig returns the format of the lines.
func encoderConfig() zapcore.EncoderConfig {
	ec := zap.NewProductionEncoderConfig()
	ec.TimeKey = "time"
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return ec
}
