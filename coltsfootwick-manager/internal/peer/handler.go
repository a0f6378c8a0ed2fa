package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
)

// Scheduler answers questions about jobs, with errors as of Client.
type Scheduler interface {
	// State returns the state of a job.
	State(ctx context.Context, id modeller.JobID) (modeller.JobState, error)
	// Pending returns the number of a queue's jobs that haven't begun.
	Pending(ctx context.Context, queue string) (int, error)
	// Announce takes a job that is stored.
	Announce(ctx context.Context, jr modeller.JobRecord) error
}

// NewHandler returns the handler of the other managers' questions.
func NewHandler(scheduler Scheduler, logger *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jobs/{id}", func(rw http.ResponseWriter, rq *http.Request) {
		state, err := scheduler.State(rq.Context(), modeller.JobID(rq.PathValue("id")))
		answer(rw, logger, err, stateMessage{State: string(state)})
	})
	mux.HandleFunc("GET /queues/{queue}", func(rw http.ResponseWriter, rq *http.Request) {
		pending, err := scheduler.Pending(rq.Context(), rq.PathValue("queue"))
		answer(rw, logger, err, pendingMessage{Pending: pending})
	})
	mux.HandleFunc("POST "+announcePath, func(rw http.ResponseWriter, rq *http.Request) {
		answer(rw, logger, takeAnnounced(scheduler, rq), struct{}{})
	})
	return mux
}

// takeAnnounced hands a job that a peer has stored to the scheduler.
func takeAnnounced(scheduler Scheduler, rq *http.Request) error {
	data, err := io.ReadAll(io.LimitReader(rq.Body, maxMessageBytes))
	if err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "announced job")
	}
	jr, err := modeller.DecodeJob(data)
	if err != nil {
		return err
	}
	return scheduler.Announce(rq.Context(), jr)
}

func answer(rw http.ResponseWriter, logger *zap.Logger, err error, message any) {
	switch classifier.CodeOf(err) {
	case classifier.OK:
	case classifier.JobUnknown:
		rw.WriteHeader(http.StatusNotFound)
		return
	default:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(message)
	if err != nil {
		logger.Error("answer to a peer can't be encoded", zap.Error(err))
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The peer may have gone; there is nobody left to tell.
	_, _ = rw.Write(data)
}
