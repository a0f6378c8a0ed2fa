package dispatcher

import (
	"time"

	"coltsfootwick.example/shared/requests/scheduler"
	"coltsfootwick.example/shared/settings/configurer"
)

// command is a message to the goroutine that owns the scheduler: submission,
// cancellation, completion, configuration, assignment or retirement.
type command interface {
	command()
}

type submission struct {
	ticket  *Ticket
	request scheduler.Request
}

type cancellation struct {
	ticket *Ticket
}

type completion struct {
	attempt scheduler.Attempt
	result  scheduler.Result
	latency time.Duration
}

type configuration struct {
	service configurer.Service
}

type assignment struct {
	targets []Target
}

type retirement struct{}

func (submission) command()    {}
func (cancellation) command()  {}
func (completion) command()    {}
func (configuration) command() {}
func (assignment) command()    {}
func (retirement) command()    {}
