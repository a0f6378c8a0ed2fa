// Package loader reads settings files in TOML. Decoding is strict, and all
// faults of a file are reported together, each with its file, line and key.
//
// The user of the package describes its file by a wire struct with toml tags
// and maps it to a domain struct with a check function:
//
//	cfg, err := loader.Load("entry.toml", fileConfig{LogLevel: "info"}, checkConfig)
//
// The fields of a wire struct may be strings, booleans, integers, floats,
// time.Duration (written as "10s"), Size (written as "16MiB" or a number of
// bytes), any encoding.TextUnmarshaler such as netip.AddrPort, and structs,
// slices, string-keyed maps and pointers of these. A pointer stays nil if the
// file does not contain its key.
package loader

import (
	"io"
	"os"

	"coltsfootwick.example/shared/process/classifier"
)

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 1 << 20

// Check maps a wire struct W to a domain struct D. It adds to the report the
// faults that decoding can't detect, such as values out of range. It is also
// called when the report already contains faults, so that all faults are
// reported together; the domain struct is then discarded.
type Check[W, D any] func(wire W, rt *Report) D

// Load reads the file at path, whose values override the defaults, checks it and
// returns the domain struct. The error is a *FaultsError if the contents are
// invalid, and a *classifier.Error if the file can't be read.
func Load[W, D any](path string, defaults W, check Check[W, D]) (D, error) {
	source, err := readFile(path)
	if err != nil {
		var zero D
		return zero, err
	}
	return Parse(path, source, defaults, check)
}

// Parse is like Load for a source in memory. The name is the file name in
// reported faults.
func Parse[W, D any](name string, source []byte, defaults W, check Check[W, D]) (D, error) {
	var zero D
	dt, err := ParseDocument(name, source)
	if err != nil {
		return zero, err
	}
	rt := NewReport(dt)
	wire := defaults
	dt.Decode(&wire, rt)
	domain := check(wire, rt)
	if err := rt.Err(); err != nil {
		return zero, err
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
