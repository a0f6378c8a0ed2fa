package receiver

import (
	"context"
	"net/http"
	"time"

	"coltsfootwick.example/coltsfootwick-entry/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-entry/internal/exchanger"
	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/journaler"
)

const (
	// claimTimeout limits the time that a request waits for its claim.
	claimTimeout = 2 * time.Second
	// keyInProgressRetryAfter is the Retry-After for duplicates of a request in
	// progress.
	keyInProgressRetryAfter = time.Second
	// maxStoredBytes limits the headers and body of an answer that is stored for
	// duplicates.
	maxStoredBytes = 4 << 10
)

// Journal grants claims: the right to send a request with an Idempotency-Key.
type Journal interface {
	// Claim claims a request; see journaler.Journal.
	Claim(ctx context.Context, id journaler.ID, digest journaler.Digest, expires time.Time) (journaler.Result, error)
}

// Liveness knows which entries are alive.
type Liveness interface {
	// IsLive reports whether the incarnation of an entry is known to be alive.
	IsLive(incarnation string) bool
}

// exchangeAtMostOnce serves a request with an Idempotency-Key. Only the holder
// of the key's claim sends it to a target.
func (rt *request) exchangeAtMostOnce(dr *dispatcher.Dispatcher, outgoing *sender.Request) classifier.Code {
	if err := rt.checkQueue(dr); err != nil {
		return rt.refuse(err)
	}
	result, err := rt.claim(outgoing)
	if err != nil {
		return rt.refuse(err)
	}
	switch result := result.(type) {
	case journaler.Granted:
		return rt.runClaimed(dr, outgoing, result.Claim)
	case journaler.Found:
		return rt.answerDuplicate(result, rt.digest(outgoing))
	default:
		return rt.refuse(classifier.New(classifier.Internal, "the journal returned a result of an unknown type"))
	}
}

// checkQueue refuses the request if the queue is full, so that no claim is
// written for a request that can't be queued.
func (rt *request) checkQueue(dr *dispatcher.Dispatcher) error {
	queued := dr.Stats().Queued
	if queued == 0 || queued < rt.service.MaxQueued {
		return nil
	}
	return &exchanger.RefusalError{
		Code:       classifier.QueueFull,
		Detail:     "the queue of the service is full",
		Outcome:    classifier.NotRun,
		RetryAfter: time.Second,
	}
}

func (rt *request) claim(outgoing *sender.Request) (journaler.Result, error) {
	deadline := time.Now().Add(claimTimeout)
	if rt.deadline.Before(deadline) {
		deadline = rt.deadline
	}
	ctx, cancel := context.WithDeadline(rt.incoming.Context(), deadline)
	defer cancel()
	id := journaler.NewID(rt.service.Name, rt.key)
	result, err := rt.receiver.journal.Claim(ctx, id, rt.digest(outgoing), rt.deadline.Add(rt.service.KeyRetention))
	if err != nil && rt.incoming.Context().Err() != nil {
		return nil, exchanger.ErrCallerGone
	}
	return result, err
}

func (rt *request) digest(outgoing *sender.Request) journaler.Digest {
	return journaler.NewDigest(outgoing.Method, rt.incoming.RequestURI, outgoing.Body)
}

// runClaimed sends the request and records its outcome in the journal. A running
// attempt is not cancelled when the caller disconnects.
func (rt *request) runClaimed(dr *dispatcher.Dispatcher, outgoing *sender.Request, claim *journaler.Claim) classifier.Code {
	ee := exchanger.New(dr, outgoing, rt.uniqueName, exchanger.WithDetachedAttempts())
	finished := false
	defer func() {
		if !finished {
			rt.endClaim(ee, claim)
		}
	}()
	dy, err := rt.run(ee)
	if err != nil {
		return rt.refuse(err)
	}
	defer dy.Close()
	if dy.Answer.Complete() {
		finished = true
		claim.Finish(dy.Answer.Status, storableAnswer(dy.Answer), rt.recordExpiry())
		return rt.deliver(dy)
	}
	code := rt.deliver(dy)
	finished = true
	claim.Finish(dy.Answer.Status, nil, rt.recordExpiry())
	return code
}

// endClaim ends the claim of a request without a complete answer.
func (rt *request) endClaim(ee *exchanger.Exchange, claim *journaler.Claim) {
	if ee.MayHaveRun() {
		claim.MarkUnresolved(rt.recordExpiry())
		return
	}
	claim.Release()
}

func (rt *request) recordExpiry() time.Time { return time.Now().Add(rt.service.KeyRetention) }

// storableAnswer returns the answer to store for duplicates, or nil if it has
// trailers or is larger than maxStoredBytes.
func storableAnswer(an *sender.Answer) *journaler.Answer {
	size := len(an.Body)
	for name, values := range an.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > maxStoredBytes || len(an.Trailer) > 0 {
		return nil
	}
	return &journaler.Answer{
		Header: an.Header,
		Body:   an.Body,
	}
}

// answerDuplicate answers a request whose key is already in the journal.
func (rt *request) answerDuplicate(fd journaler.Found, digest journaler.Digest) classifier.Code {
	rd := fd.Record
	rl := &exchanger.RefusalError{Outcome: classifier.Unknown}
	switch {
	case rd.Digest != digest:
		rl.Code = classifier.KeyConflict
		rl.Outcome = classifier.NotRun
	case rd.State == journaler.Finished && rd.Answer != nil:
		return rt.replay(rd)
	case rd.State == journaler.Finished:
		rl.Code = classifier.KeyFinished
		rl.Outcome = classifier.Ran
	case rd.State == journaler.Claimed && (fd.Own || rt.receiver.liveness.IsLive(rd.Owner)):
		rl.Code = classifier.KeyInProgress
		rl.RetryAfter = keyInProgressRetryAfter
	default:
		rl.Code = classifier.KeyUnresolved
	}
	return rt.refuse(rl)
}

// replay writes the stored answer.
func (rt *request) replay(rd journaler.Record) classifier.Code {
	return rt.write(&sender.Answer{
		Status: rd.Status,
		Header: rd.Answer.Header,
		Body:   rd.Answer.Body,
	}, func(http.ResponseWriter) error { return nil })
}
