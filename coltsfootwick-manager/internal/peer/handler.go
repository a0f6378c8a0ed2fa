package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/linker"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/guard"
	"coltsfootwick.example/shared/process/packer"
)

// Scheduler is the scheduler that a handler serves to its peers. The error codes
// are those of Client.
type Scheduler interface {
	// Status returns the status of a job.
	Status(ctx context.Context, id modeller.JobID) (modeller.JobStatus, error)
	// Pending returns the number of a queue's jobs of which no task has started.
	Pending(ctx context.Context, queue modeller.Queue) (int, error)
	// Announce adds a stored job, and returns which further jobs may be submitted.
	Announce(ctx context.Context, jr modeller.JobRecord) (modeller.Intake, error)
	// Yield ends the term of a holder that has held the duty for some time.
	Yield()
	// ServeKeeper accepts the connection of a keeper.
	ServeKeeper(rw http.ResponseWriter, rq *http.Request)
}

// Limits returns the limits of requests from other managers.
func Limits() guard.Limits {
	return guard.Limits{
		MaxBodyBytes: maxMessageBytes,
	}
}

// NewHandler returns the handler of requests from other managers.
func NewHandler(scheduler Scheduler, logger *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jobs/{id}", func(rw http.ResponseWriter, rq *http.Request) {
		status, err := scheduler.Status(rq.Context(), modeller.JobID(rq.PathValue("id")))
		writeResponse(rw, logger, err, statusResponse{
			State:  string(status.State),
			Queue:  status.Queue,
			Host:   status.Host,
			Prefix: status.Prefix,
			Team:   status.Team,
		})
	})
	mux.HandleFunc("GET /queues/{queue}", func(rw http.ResponseWriter, rq *http.Request) {
		pending, err := scheduler.Pending(rq.Context(), modeller.Queue{
			Name:   rq.PathValue("queue"),
			Host:   rq.FormValue(hostField),
			Prefix: rq.FormValue(prefixField),
		})
		writeResponse(rw, logger, err, pendingResponse{Pending: pending})
	})
	mux.HandleFunc("POST "+announcePath, func(rw http.ResponseWriter, rq *http.Request) {
		intake, err := handleAnnouncement(scheduler, rq)
		writeResponse(rw, logger, err, announceResponse{
			Intake: int(intake),
		})
	})
	mux.HandleFunc("GET "+linker.Path, scheduler.ServeKeeper)
	mux.HandleFunc("POST "+yieldPath, func(rw http.ResponseWriter, _ *http.Request) {
		scheduler.Yield()
		rw.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// handleAnnouncement passes a job stored by a peer to the scheduler.
func handleAnnouncement(scheduler Scheduler, rq *http.Request) (modeller.Intake, error) {
	data, err := io.ReadAll(io.LimitReader(rq.Body, maxMessageBytes))
	if err != nil {
		return modeller.IntakeOpen, classifier.Wrap(err, classifier.JobUnavailable, "announced job")
	}
	rd := packer.NewReader(data)
	payload, record := rd.String(), rd.String()
	if err := rd.Err(); err != nil {
		return modeller.IntakeOpen, classifier.Wrap(err, classifier.RecordInvalid, "announced job")
	}
	jr, err := modeller.DecodeJob([]byte(record))
	if err != nil {
		return modeller.IntakeOpen, err
	}
	jr.Job.Payload = payload
	jr.HasPayload = true
	return scheduler.Announce(rq.Context(), jr)
}

func writeResponse(rw http.ResponseWriter, logger *zap.Logger, err error, response any) {
	switch classifier.CodeOf(err) {
	case classifier.OK:
	case classifier.JobUnknown:
		rw.WriteHeader(http.StatusNotFound)
		return
	default:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(response)
	if err != nil {
		logger.Error("cannot encode a response to a peer", zap.Error(err))
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A write error is ignored, since the peer has closed the connection.
	_, _ = rw.Write(data)
}
