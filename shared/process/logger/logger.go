// Package logger makes the structured loggers of all programs.
package logger

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"coltsfootwick.example/shared/process/classifier"
)

// New returns a logger that writes JSON lines to the standard error output
// from the level named: debug, info, warn or error.
func New(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.SettingsRange, "log level %q", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.EncoderConfig = encoding()
	cfg.Sampling = nil
	return cfg.Build()
}

// encoding returns how lines are written.
func encoding() zapcore.EncoderConfig {
	ec := zap.NewProductionEncoderConfig()
	ec.TimeKey = "time"
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return ec
}
