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
	// claimTimeout bounds the time that a request waits for its claim.
	claimTimeout = 2 * time.Second
	// keyRetryAfter is when a repeat of a key in progress is worth while.
	keyRetryAfter = time.Second
	// maxStoredBytes bounds an answer that is stored for repeats.
	maxStoredBytes = 4 << 10
)

// Journal gives the right to send a request with an Idempotency-Key.
type Journal interface {
	// Claim asks for the right; see journaler.Journal.
	Claim(ctx context.Context, id journaler.ID, digest journaler.Digest, expires time.Time) (journaler.Result, error)
}

// Liveness tells which entries live.
type Liveness interface {
	// IsLive returns true if the incarnation of an entry is known to live.
	IsLive(incarnation string) bool
}

// exchangeOnce carries a request with an Idempotency-Key to its answer. Only
// the holder of the key's claim sends it.
func (rt *request) exchangeOnce(dr *dispatcher.Dispatcher, message *sender.Request) classifier.Code {
	if err := rt.checkQueue(dr); err != nil {
		return rt.refuse(err)
	}
	result, err := rt.claim(message)
	if err != nil {
		return rt.refuse(err)
	}
	switch result := result.(type) {
	case journaler.Granted:
		return rt.runClaimed(dr, message, result.Claim)
	case journaler.Found:
		return rt.answerFound(result, rt.digest(message))
	default:
		return rt.refuse(classifier.New(classifier.Internal, "unknown result of the journal"))
	}
}

// checkQueue spares the journal a claim that would end in a full queue.
func (rt *request) checkQueue(dr *dispatcher.Dispatcher) error {
	queued := dr.Stats().Queued
	if queued == 0 || queued < rt.service.MaxQueued {
		return nil
	}
	return &exchanger.RefusalError{
		Code:       classifier.QueueFull,
		Detail:     "the queue is full",
		Outcome:    classifier.NotRun,
		RetryAfter: time.Second,
	}
}

func (rt *request) claim(message *sender.Request) (journaler.Result, error) {
	limit := time.Now().Add(claimTimeout)
	if rt.deadline.Before(limit) {
		limit = rt.deadline
	}
	ctx, cancel := context.WithDeadline(rt.caller.Context(), limit)
	defer cancel()
	id := journaler.NewID(rt.service.Name, rt.key)
	result, err := rt.receiver.journal.Claim(ctx, id, rt.digest(message), rt.deadline.Add(rt.service.KeyRetention))
	if err != nil && rt.caller.Context().Err() != nil {
		return nil, exchanger.ErrCallerGone
	}
	return result, err
}

func (rt *request) digest(message *sender.Request) journaler.Digest {
	return journaler.NewDigest(message.Method, rt.caller.RequestURI, message.Body)
}

// runClaimed sends the request and records in the journal what became of it. A
// running attempt is not abandoned when the caller goes away.
func (rt *request) runClaimed(dr *dispatcher.Dispatcher, message *sender.Request, claim *journaler.Claim) classifier.Code {
	ee := exchanger.New(dr, message, rt.name, exchanger.WithDetachedAttempts())
	whole := false
	defer func() {
		if !whole {
			rt.settle(ee, claim)
		}
	}()
	dy, err := rt.run(ee)
	if err != nil {
		return rt.refuse(err)
	}
	defer dy.Close()
	if dy.Answer.Whole() {
		whole = true
		claim.Finish(dy.Answer.Status, stored(dy.Answer), rt.expires())
		return rt.deliver(dy)
	}
	code := rt.deliver(dy)
	whole = true
	claim.Finish(dy.Answer.Status, nil, rt.expires())
	return code
}

// settle ends the claim of a request that has no whole answer.
func (rt *request) settle(ee *exchanger.Exchange, claim *journaler.Claim) {
	if ee.MayHaveRun() {
		claim.MarkUnresolved(rt.expires())
		return
	}
	claim.Release()
}

func (rt *request) expires() time.Time { return time.Now().Add(rt.service.KeyRetention) }

// stored returns the answer to store, or nil if it is too large.
func stored(an *sender.Answer) *journaler.Answer {
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

// answerFound answers a repeat from the journal.
func (rt *request) answerFound(fd journaler.Found, digest journaler.Digest) classifier.Code {
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
		rl.RetryAfter = keyRetryAfter
	default:
		rl.Code = classifier.KeyUnresolved
	}
	return rt.refuse(rl)
}

// replay answers with the stored answer.
func (rt *request) replay(rd journaler.Record) classifier.Code {
	return rt.write(&sender.Answer{
		Status: rd.Status,
		Header: rd.Answer.Header,
		Body:   rd.Answer.Body,
	}, func(http.ResponseWriter) error { return nil })
}
