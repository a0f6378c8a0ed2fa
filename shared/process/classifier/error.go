package classifier

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Error is an error with a numbered result code.
type Error struct {
	Code Code
	// Detail describes what went wrong in this case.
	Detail string
	// Cause is the underlying error; it may be nil.
	Cause error
}

// New returns an Error with a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{
		Code:   code,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Wrap returns an Error with a cause and a formatted detail.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	return &Error{
		Code:   code,
		Detail: fmt.Sprintf(format, args...),
		Cause:  cause,
	}
}

// Error returns the code, the detail and the cause in one line.
func (er *Error) Error() string {
	if er.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", er.Code, er.Detail, er.Cause)
	}
	return fmt.Sprintf("%s: %s", er.Code, er.Detail)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Cause }

// CodeOf returns the code of the first Error in the chain of err. It returns OK if
// err is nil, and Internal if the chain contains no Error.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var er *Error
	if errors.As(err, &er) {
		return er.Code
	}
	return Internal
}
