package prover_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/assembler"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/ledger"
	"coltsfootwick.example/standin/internal/target"
)

// noRetries are settings under which every fault reaches the caller.
const noRetries = `[organisation]
name = "Proof"

[defaults]
retryShare = 0
maxEjectedShare = 0
maxBufferedBytes = "16KiB"
maxAnswerBytes = "64KiB"
notRepeatable = true

[services.claims]
pathPrefix = "/claims/"
pool = "claims"

[pools.claims]
`

const (
	answerBytes = 48
	// keyedStride is the stride of keyed requests.
	keyedStride = 16
)

// maxRawBytes is more than the bytes of a small answer as a message.
const maxRawBytes = 2000

// TestWholeAnswer proves the point wholeAnswer: a caller gets the whole answer to
// its own request or a clear error, never a part taken for the whole.
func TestWholeAnswer(t *testing.T) {
	t.Run("cutShortAtEveryByte", proveCutShortAtEveryByte)
	t.Run("stalledAtEveryByte", proveStalledAtEveryByte)
	t.Run("stalledWithoutEnd", proveStalledWithoutEnd)
	t.Run("crossed", proveCrossed)
	t.Run("doubled", proveDoubled)
	t.Run("late", proveLate)
	t.Run("oversized", proveOversized)
	t.Run("streamedCutShort", proveStreamedCutShort)
}

func assembleFaulty(t *testing.T) (*assembler.Assembly, *target.Target) {
	t.Helper()
	ay := assemble(t,
		assembler.WithSettings(noRetries),
		assembler.WithTargets(1, target.WithRunner(instant), target.WithAnswerBytes(answerBytes)),
	)
	return ay, ay.Targets()[0]
}

// eachKind runs a proof for both protocols of callers and each kind of request.
func eachKind(t *testing.T, ay *assembler.Assembly, prove func(ct *client, kind generator.Kind)) {
	t.Helper()
	for _, h2c := range []bool{false, true} {
		ct := newClient(t, ay, h2c)
		for _, kind := range []generator.Kind{generator.Repeatable, generator.Keyed, generator.Unkeyed} {
			prove(ct, kind)
		}
		mustBeSound(t, ct.ledger, ay)
	}
}

// stride is the distance of the bytes that a proof tries. Keyed requests differ
// from unkeyed ones only before they are sent, by a write to the journal that
// takes its time, so they try fewer.
func stride(kind generator.Kind) int {
	if kind == generator.Keyed {
		return keyedStride
	}
	return 1
}

func setFault(t *testing.T, tt *target.Target, ft target.Fault) {
	t.Helper()
	must.NoError(t, tt.SetFault(ft, 1))
}

// proveCutShortAtEveryByte proves that an answer that a target cuts short is
// refused, wherever the cut is.
func proveCutShortAtEveryByte(t *testing.T) {
	ay, tt := assembleFaulty(t)
	eachKind(t, ay, func(ct *client, kind generator.Kind) {
		for _, chunked := range []bool{false, true} {
			offset := 0
			for ; offset < maxRawBytes; offset += stride(kind) {
				setFault(t, tt, target.CutShort{Offset: target.Offset{Bytes: offset, Chunked: chunked}})
				if isAnswer(ct.call(t, kind)) {
					break
				}
			}
			must.Between(t, answerBytes+1, offset, maxRawBytes-1)
		}
	})
}

// proveStalledAtEveryByte proves that an answer that stalls and goes on is
// answered whole, wherever it stalls.
func proveStalledAtEveryByte(t *testing.T) {
	ay, tt := assembleFaulty(t)
	eachKind(t, ay, func(ct *client, kind generator.Kind) {
		for _, chunked := range []bool{false, true} {
			for offset := 0; offset < 2*answerBytes; offset += stride(kind) {
				for _, inBody := range []bool{false, true} {
					setFault(t, tt, target.Stall{
						Offset: target.Offset{InBody: inBody, Bytes: offset, Chunked: chunked},
						Length: time.Microsecond,
					})
					result := ct.call(t, kind)
					must.True(t, isAnswer(result), must.Sprintf("offset %d, in body %t: %+v", offset, inBody, result))
				}
			}
		}
	})
}

// proveStalledWithoutEnd proves that a caller gets a refusal at its deadline.
func proveStalledWithoutEnd(t *testing.T) {
	ay, tt := assembleFaulty(t)
	eachKind(t, ay, func(ct *client, kind generator.Kind) {
		ct.service.Deadline = 100 * time.Millisecond
		for _, inBody := range []bool{false, true} {
			for _, offset := range []int{0, 1, answerBytes / 2, answerBytes - 1} {
				setFault(t, tt, target.Stall{Offset: target.Offset{InBody: inBody, Bytes: offset}})
				_, refused := ct.call(t, kind).(ledger.Refusal)
				must.True(t, refused, must.Sprintf("offset %d, in body %t", offset, inBody))
				must.NoError(t, tt.SetFault(target.None{}, 0))
			}
		}
		ct.service.Deadline = 0
		must.True(t, isAnswer(ct.call(t, kind)))
	})
}

// proveCrossed proves that no caller gets the answer to another request.
func proveCrossed(t *testing.T) {
	ay, tt := assembleFaulty(t)
	eachKind(t, ay, func(ct *client, kind generator.Kind) {
		must.NoError(t, tt.SetFault(target.Crossed{Wait: time.Minute}, 2))
		results := make(chan ledger.Result, 2)
		for range 2 {
			al := ct.arrival(kind)
			go func() { results <- ct.send(t, al) }()
		}
		for range 2 {
			rl, refused := (<-results).(ledger.Refusal)
			must.True(t, refused)
			must.Eq(t, classifier.AnswerInvalid, rl.Code)
			must.Eq(t, classifier.Unknown, rl.Outcome)
		}
		must.True(t, isAnswer(ct.call(t, kind)))
	})
}

// proveDoubled proves that the second copy of an answer reaches nobody, also
// when it arrives in place of the answer to the next request.
func proveDoubled(t *testing.T) {
	ay, tt := assembleFaulty(t)
	eachKind(t, ay, func(ct *client, kind generator.Kind) {
		for _, held := range []bool{false, true} {
			setFault(t, tt, target.Doubled{Held: held})
			must.True(t, isAnswer(ct.call(t, kind)))
			for range 3 {
				ct.call(t, kind)
			}
			must.True(t, isAnswer(ct.call(t, kind)))
		}
	})
}

// proveLate proves that an answer after the deadline reaches nobody.
func proveLate(t *testing.T) {
	ay, tt := assembleFaulty(t)
	eachKind(t, ay, func(ct *client, kind generator.Kind) {
		ct.service.Deadline = 100 * time.Millisecond
		setFault(t, tt, target.Late{Length: 10 * ct.service.Deadline})
		_, refused := ct.call(t, kind).(ledger.Refusal)
		must.True(t, refused)
		ct.service.Deadline = 0
		for range 3 {
			must.True(t, isAnswer(ct.call(t, kind)))
		}
	})
}

// proveOversized proves that an answer above the service's bound is refused or
// broken off, and one that is streamed arrives whole.
func proveOversized(t *testing.T) {
	ay, tt := assembleFaulty(t)
	eachKind(t, ay, func(ct *client, kind generator.Kind) {
		setFault(t, tt, target.Oversized{Bytes: 40_000})
		must.True(t, isAnswer(ct.call(t, kind)))
		setFault(t, tt, target.Oversized{Bytes: 100_000})
		rl, refused := ct.call(t, kind).(ledger.Refusal)
		must.True(t, refused)
		must.Eq(t, classifier.AnswerTooLarge, rl.Code)
	})
}
