package commander

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/settings/loader"
	"coltsfootwick.example/shared/store/storer"
)

// session is one run of a command.
type session struct {
	*Commander
	globals

	ctx     context.Context
	printer *printer.Printer
}

// store returns the clients of the platform, or a Usage error if its address is
// missing or invalid.
func (se *session) store() (storer.Store, storer.Fleet, error) {
	if se.Platform == "" {
		return nil, nil, classifier.New(classifier.Usage, "no platform: give --platform URL or set CFW_PLATFORM")
	}
	parsed, err := url.Parse(se.Platform)
	if err != nil || !slices.Contains([]string{"http", "https"}, parsed.Scheme) || parsed.Host == "" {
		return nil, nil, classifier.New(classifier.Usage, "--platform %q is not an address such as http://127.0.0.1:7000", se.Platform)
	}
	store, fleet := se.connect(se.Platform)
	return store, fleet, nil
}

// repository returns the repository of the settings.
func (se *session) repository() (*configurer.Repository, error) {
	store, _, err := se.store()
	if err != nil {
		return nil, err
	}
	return configurer.NewRepository(store,
		configurer.WithClock(se.now),
		configurer.WithRetryHook(func(err error) { se.progressf("retrying after error: %v", err) }),
	), nil
}

// current returns the settings in force.
func (se *session) current() (configurer.Settings, error) {
	rp, err := se.repository()
	if err != nil {
		return configurer.Settings{}, err
	}
	return rp.Current(se.ctx)
}

// requireAuthor returns a Usage error if no author is set for the audit trail.
func (se *session) requireAuthor() error {
	if se.Author == "" {
		return classifier.New(classifier.Usage, "no author: give --author NAME or set USER")
	}
	return nil
}

// progressf writes a line of progress to standard error.
func (se *session) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(se.stderr, format+"\n", args...)
}

// readSource reads a settings file, or standard input for a hyphen.
func (se *session) readSource(path string) ([]byte, error) {
	if path == "-" {
		return readAll(path, se.stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Usage, "file %s can't be opened", path)
	}
	defer func() { _ = file.Close() }()
	return readAll(path, file)
}

func readAll(path string, reader io.Reader) ([]byte, error) {
	source, err := io.ReadAll(io.LimitReader(reader, loader.MaxBytes+1))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Usage, "file %s can't be read", path)
	}
	return source, nil
}
