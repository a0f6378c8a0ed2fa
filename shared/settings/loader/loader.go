// Package loader reads settings files: strict TOML that is checked whole, with
// every fault reported by its file, line and key.
//
// A caller describes its file by a wire struct with toml tags and maps it to
// its domain struct by a check function:
//
//	cfg, err := loader.Load("entry.toml", fileConfig{LogLevel: "info"}, checkConfig)
//
// The fields of a wire struct may be strings, booleans, integers, floats,
// time.Duration (written as "10s"), Size (written as "16MiB" or a number of
// bytes), any encoding.TextUnmarshaler such as netip.AddrPort, and structs,
// slices, string-keyed maps and pointers of these. A pointer stays nil for a
// key that the file doesn't hold.
package loader

import (
	"io"
	"os"

	"coltsfootwick.example/shared/process/classifier"
)

// MaxBytes is the largest settings file that is read.
const MaxBytes = 1 << 20

// Check maps a wire struct W to a domain struct D by hand. It adds to the
// report each fault that types alone don't show, such as a value out of range.
// It runs also when the report already holds faults, so that all are found at
// once; the domain struct is then discarded.
type Check[W, D any] func(wire W, rt *Report) D

// Load reads the file at path over the defaults, checks it whole and returns
// the domain struct. The error is a *FaultsError when the contents are at
// fault, and a *classifier.Error when the file can't be read.
func Load[W, D any](path string, defaults W, check Check[W, D]) (D, error) {
	source, err := readFile(path)
	if err != nil {
		var none D
		return none, err
	}
	return Parse(path, source, defaults, check)
}

// Parse does what Load does with a source that is already in memory. The name
// stands for the file in the faults.
func Parse[W, D any](name string, source []byte, defaults W, check Check[W, D]) (D, error) {
	var none D
	dt, err := ParseDocument(name, source)
	if err != nil {
		return none, err
	}
	rt := NewReport(dt)
	wire := defaults
	dt.Decode(&wire, rt)
	domain := check(wire, rt)
	if err := rt.Err(); err != nil {
		return none, err
	}
	return domain, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.SettingsSyntax, "settings file %s can't be opened", path)
	}
	defer func() { _ = file.Close() }()
	source, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.SettingsSyntax, "settings file %s can't be read", path)
	}
	return source, nil
}
