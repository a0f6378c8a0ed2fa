package refuser

import (
	"net/http"

	"coltsfootwick.example/shared/process/classifier"
)

// statusOf returns the HTTP status for a result code.
func statusOf(code classifier.Code) int {
	switch code {
	case classifier.MalformedRequest, classifier.KeyInvalid:
		return http.StatusBadRequest
	case classifier.UnknownService:
		return http.StatusNotFound
	case classifier.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case classifier.PriorityNotAllowed:
		return http.StatusForbidden
	case classifier.KeyConflict:
		return http.StatusUnprocessableEntity
	case classifier.KeyInProgress, classifier.KeyFinished, classifier.KeyUnresolved:
		return http.StatusConflict
	case classifier.QueueFull, classifier.QueueDelay, classifier.EntryStopping, classifier.EntryNotReady,
		classifier.JournalUnavailable, classifier.NoTarget:
		return http.StatusServiceUnavailable
	case classifier.DeadlineUnreachable, classifier.TargetTimeout:
		return http.StatusGatewayTimeout
	case classifier.TargetFailed, classifier.AnswerInvalid, classifier.AnswerTooLarge:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}
