// Package commander interprets the command line of cfw.
package commander

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/store/storer"
)

// The exit codes of cfw.
const (
	// ExitOK means that the command did what it was asked for.
	ExitOK = 0
	// ExitFailed means that the command failed with a numbered result code.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
)

// Commander runs commands.
type Commander struct {
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
	now     func() time.Time
	connect func(url string) (storer.Store, storer.Fleet)
}

// Option is an option of New.
type Option func(*Commander)

// WithStreams sets the standard streams.
func WithStreams(stdin io.Reader, stdout, stderr io.Writer) Option {
	return func(cm *Commander) {
		cm.stdin = stdin
		cm.stdout = stdout
		cm.stderr = stderr
	}
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(cm *Commander) { cm.now = now }
}

// WithPlatform sets the function that returns the platform's service at a URL.
func WithPlatform(dial func(url string) (storer.Store, storer.Fleet)) Option {
	return func(cm *Commander) { cm.connect = dial }
}

// New returns a Commander on the standard streams of the process.
func New(opts ...Option) *Commander {
	cm := &Commander{
		stdin:  os.Stdin,
		stdout: os.Stdout,
		stderr: os.Stderr,
		now:    time.Now,
		connect: func(url string) (storer.Store, storer.Fleet) {
			return storer.New(url), storer.NewFleet(url)
		},
	}
	for _, opt := range opts {
		opt(cm)
	}
	return cm
}

// exit is panicked with by kong after it has printed a help text.
type exit struct {
	code int
}

// Run runs the command line and returns the exit code.
func (cm *Commander) Run(ctx context.Context, args []string) (code int) {
	defer func() { code = exitCode(recover(), code) }()
	cl := &commandLine{}
	parser, err := kong.New(cl, cm.options()...)
	if err != nil {
		return cm.fail(printer.Table, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return cm.fail(printer.Table, usageError(err))
	}
	ctx, cancel := context.WithTimeout(ctx, cl.Timeout)
	defer cancel()
	se := &session{
		Commander: cm,
		ctx:       ctx,
		globals:   cl.globals,
		printer:   printer.New(cl.Output, cm.stdout),
	}
	if err := parsed.Run(se); err != nil {
		return cm.fail(cl.Output, err)
	}
	return ExitOK
}

// exitCode returns the code of a panic with exit, and code if there was none.
// Any other panic goes on.
func exitCode(recovered any, code int) int {
	if recovered == nil {
		return code
	}
	ex, ok := recovered.(exit)
	if !ok {
		panic(recovered)
	}
	return ex.code
}

func (cm *Commander) options() []kong.Option {
	return []kong.Option{
		kong.Name("cfw"),
		kong.Description(description),
		kong.Writers(cm.stdout, cm.stderr),
		kong.Exit(func(code int) {
			panic(exit{
				code: code,
			})
		}),
		kong.ConfigureHelp(kong.HelpOptions{
			Compact:             true,
			NoExpandSubcommands: false,
		}),
	}
}
