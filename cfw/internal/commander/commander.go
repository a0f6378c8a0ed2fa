// Package commander implements the commands of cfw.
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
	// ExitOK means that the command succeeded.
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

// WithPlatform sets the function that returns clients of the platform at a URL.
func WithPlatform(dial func(url string) (storer.Store, storer.Fleet)) Option {
	return func(cm *Commander) { cm.connect = dial }
}

// New returns a Commander that uses the standard streams of the process, the
// system clock and the platform's clients over HTTP, unless options replace them.
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

// exitPanic is the value of the panic that unwinds Run when kong exits, as it does
// after printing a help text.
type exitPanic struct {
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

// exitCode returns the exit code of a recovered exitPanic, or code if there was no
// panic. It panics again with any other value.
func exitCode(recovered any, code int) int {
	if recovered == nil {
		return code
	}
	ex, ok := recovered.(exitPanic)
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
			panic(exitPanic{
				code: code,
			})
		}),
		kong.ConfigureHelp(kong.HelpOptions{
			Compact:             true,
			NoExpandSubcommands: false,
		}),
	}
}
