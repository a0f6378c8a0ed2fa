package commander

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

// wireFailure is a failed command as JSON.
type wireFailure struct {
	Code     int         `json:"code"`
	CodeName string      `json:"codeName"`
	Summary  string      `json:"summary"`
	Detail   string      `json:"detail"`
	Remedy   string      `json:"remedy"`
	Faults   []wireFault `json:"faults,omitempty"`
}

// wireFault is a fault in a settings file as JSON.
type wireFault struct {
	Code     int    `json:"code"`
	CodeName string `json:"codeName"`
	File     string `json:"file"`
	Line     int    `json:"line"`
	Key      string `json:"key"`
	Detail   string `json:"detail"`
}

// usageError returns an error of the command line's parser as a Usage error.
func usageError(err error) error {
	return classifier.New(classifier.Usage, "%s", err.Error())
}

// fail prints an error with its result code, detail and remedy to standard error,
// and returns the exit code.
func (cm *Commander) fail(format printer.Format, err error) int {
	code := classifier.CodeOf(err)
	failure := newFailure(code, err)
	view := printer.View{
		Above: failure.lines(),
		Wire:  failure,
	}
	_ = printer.New(format, cm.stderr).Show(view)
	if code == classifier.Usage {
		return ExitUsage
	}
	return ExitFailed
}

func newFailure(code classifier.Code, err error) wireFailure {
	description, _ := classifier.Describe(code)
	failure := wireFailure{
		Code:     int(code),
		CodeName: description.Name,
		Summary:  description.Summary,
		Detail:   detailOf(err),
		Remedy:   description.Remedy,
	}
	var faults *loader.FaultsError
	if errors.As(err, &faults) {
		failure.Detail = fmt.Sprintf("%s has %s", faults.File, plural(len(faults.Faults), "fault"))
		failure.Faults = newFaults(faults)
	}
	return failure
}

// detailOf returns the detail and the cause of an error without its code.
func detailOf(err error) string {
	var coded *classifier.Error
	if !errors.As(err, &coded) {
		return err.Error()
	}
	if coded.Cause == nil {
		return coded.Detail
	}
	return fmt.Sprintf("%s: %v", coded.Detail, coded.Cause)
}

func newFaults(faults *loader.FaultsError) []wireFault {
	wire := make([]wireFault, 0, len(faults.Faults))
	for _, ft := range faults.Faults {
		description, _ := classifier.Describe(ft.Err.Code)
		wire = append(wire, wireFault{
			Code:     int(ft.Err.Code),
			CodeName: description.Name,
			File:     faults.File,
			Line:     ft.Line,
			Key:      ft.Key.String(),
			Detail:   ft.Err.Detail,
		})
	}
	return wire
}

func (wf wireFailure) lines() []string {
	if len(wf.Faults) > 0 {
		return wf.faultLines()
	}
	return []string{
		fmt.Sprintf("error %d %s: %s", wf.Code, wf.CodeName, wf.Summary),
		"  detail: " + strings.ReplaceAll(wf.Detail, "\n", "\n    "),
		"  remedy: " + wf.Remedy,
	}
}

// faultLines lists all faults, and then the remedy of each result code once.
func (wf wireFailure) faultLines() []string {
	lines := []string{}
	for _, ft := range wf.Faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %d %s: %s", ft.File, ft.Line, ft.Code, ft.CodeName, ft.Detail))
	}
	lines = append(lines, fmt.Sprintf("error: %s; nothing was changed", wf.Detail))
	printed := map[int]bool{}
	for _, ft := range wf.Faults {
		if printed[ft.Code] {
			continue
		}
		printed[ft.Code] = true
		description, _ := classifier.Describe(classifier.Code(ft.Code))
		lines = append(lines, fmt.Sprintf("  remedy for %d: %s", ft.Code, description.Remedy))
	}
	return lines
}

// plural returns a count with its noun.
func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
