package sender_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
)

func TestCompleteAnswers(t *testing.T) {
	for form, text := range answers {
		t.Run(form, func(t *testing.T) {
			st := startTarget(t, func(ex exchange) bool { ex.write(text); return true })
			tt := st.target()
			for range 3 {
				an, fe := send(tt, newRequest(http.MethodPost))
				must.Nil(t, fe)
				must.True(t, an.Complete())
				must.MapNotContainsKey(t, an.Header, "Coltsfootwick-Attempt")
			}
			must.EqOp(t, 1, st.connections.Load())
		})
	}
}

// sendTruncated sends a request to a target that ends the connection after the
// first bytes of the answer, and checks that the attempt fails.
func sendTruncated(t *testing.T, text string, cut int, end func(ex exchange)) {
	t.Helper()
	st := startTarget(t, func(ex exchange) bool {
		ex.write(text[:min(cut, len(text))])
		end(ex)
		return false
	})
	tt := st.target()
	an, fe := send(tt, newRequest(http.MethodPost))
	must.Nil(t, an, must.Sprintf("answer truncated at byte %d of %q was accepted as complete", cut, text))
	must.False(t, fe.Unread)
	must.EqOp(t, 0, tt.Open())
	must.EqOp(t, 1, st.requests.Load())
}

func TestAnswerCutAtEachByte(t *testing.T) {
	for form, text := range answers {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			for cut := range len(text) {
				sendTruncated(t, text, cut, func(exchange) {})
				sendTruncated(t, text, cut, exchange.reset)
			}
		})
	}
}

// TestAnswerStalledAtEachByte checks that an answer that stalls after any byte
// fails at the deadline. It runs in virtual time over pipes.
func TestAnswerStalledAtEachByte(t *testing.T) {
	for form, text := range answers {
		t.Run(form, func(t *testing.T) {
			for cut := range len(text) {
				synctest.Test(t, func(t *testing.T) {
					near, far := net.Pipe()
					defer func() { _ = far.Close() }()
					go func() {
						buffer := make([]byte, 4096)
						_, _ = far.Read(buffer)
						if cut > 0 {
							_, _ = far.Write([]byte(strings.ReplaceAll(text[:cut], "$A", "attempt")))
						}
					}()
					tt := sender.New(netip.AddrPort{}, 1, sender.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
						return near, nil
					}))
					rt := newRequest(http.MethodPost)
					begun := time.Now()
					an, fe := tt.Send(t.Context(), "attempt", rt)
					must.Nil(t, an)
					must.EqOp(t, classifier.TargetTimeout, fe.Code, must.Sprintf("byte %d: %v", cut, fe))
					must.False(t, fe.Unread)
					must.EqOp(t, rt.Deadline.Sub(begun), time.Since(begun))
					must.EqOp(t, 0, tt.Open())
				})
			}
		})
	}
}

func TestRefusedAnswers(t *testing.T) {
	cases := map[string]struct {
		text string
		code classifier.Code
	}{
		"crossed":                  {"HTTP/1.1 200 OK\r\nColtsfootwick-Attempt: other\r\nContent-Length: 2\r\n\r\nok", classifier.AnswerInvalid},
		"ID twice":                 {"HTTP/1.1 200 OK\r\nColtsfootwick-Attempt: $A\r\nColtsfootwick-Attempt: b\r\nContent-Length: 2\r\n\r\nok", classifier.AnswerInvalid},
		"no length":                {"HTTP/1.1 200 OK\r\nColtsfootwick-Attempt: $A\r\nConnection: close\r\n\r\nok", classifier.AnswerInvalid},
		"two lengths":              {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", classifier.AnswerInvalid},
		"bad chunk":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok", classifier.AnswerInvalid},
		"not HTTP":                 {"SSH-2.0-OpenSSH\r\n\r\n", classifier.AnswerInvalid},
		"switch":                   {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", classifier.AnswerInvalid},
		"long head":                {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 70<<10) + "\r\n\r\n", classifier.AnswerInvalid},
		"too many hints":           {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20), classifier.AnswerInvalid},
		"too long":                 {"HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\nok", classifier.AnswerTooLarge},
		"refusal of other attempt": {"HTTP/1.1 503 No\r\nColtsfootwick-Attempt: other\r\nColtsfootwick-Draining: true\r\nContent-Length: 0\r\n\r\n", classifier.AnswerInvalid},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			st := startTarget(t, func(ex exchange) bool { ex.write(cs.text); return false })
			tt := st.target()
			an, fe := send(tt, newRequest(http.MethodPost))
			must.Nil(t, an)
			must.EqOp(t, cs.code, fe.Code, must.Sprint(fe))
			must.False(t, fe.Unread)
			must.EqOp(t, 0, tt.Open())
		})
	}
}

// TestDuplicatedAnswer sends an answer twice: the second copy arrives with the
// first, before the next request, or after it. The copy must never be accepted as
// the answer to the next request.
func TestDuplicatedAnswer(t *testing.T) {
	first := answers["length"]
	for _, moment := range []string{"at once", "between", "after"} {
		t.Run(moment, func(t *testing.T) {
			between := make(chan struct{})
			old := ""
			st := startTarget(t, func(ex exchange) bool {
				switch {
				case ex.number == 2:
					ex.write(strings.ReplaceAll(first, "$A", old))
				case moment == "at once":
					ex.write(first + first)
				case moment == "between":
					ex.write(first)
					<-between
					ex.write(first)
					between <- struct{}{}
				default:
					old = ex.attempt
					ex.write(first)
				}
				return true
			})
			tt := st.target()
			_, fe := send(tt, newRequest(http.MethodGet))
			must.Nil(t, fe)
			if moment == "between" {
				between <- struct{}{}
				<-between
			}
			an, fe := send(tt, newRequest(http.MethodGet))
			if moment == "after" {
				must.Nil(t, an)
				must.EqOp(t, classifier.AnswerInvalid, fe.Code)
				return
			}
			if moment == "between" {
				go func() { between <- struct{}{}; <-between }()
			}
			must.Nil(t, fe)
			must.EqOp(t, 2, st.connections.Load())
		})
	}
}
