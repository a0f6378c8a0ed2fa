package storer

import (
	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// errOverdue marks the errors of NewOverdue.
var errOverdue = errors.New("the call is overdue, as the service answers later ones")

// NewOverdue returns the error of an unanswered call that was ended since the service
// answers later calls. It has the code of err, which says whether the call may take effect,
// and PlatformAmbiguous if err has none. It doesn't wrap err, so that it isn't taken for a
// cancellation by the caller.
func NewOverdue(err error) error {
	code := classifier.CodeOf(err)
	if code == classifier.Internal {
		code = classifier.PlatformAmbiguous
	}
	return classifier.Wrap(errOverdue, code, "%s", err.Error())
}

// IsOverdue reports whether a call has ended since the service answers later ones, so that
// it can be repeated without a pause.
func IsOverdue(err error) bool { return errors.Is(err, errOverdue) }
