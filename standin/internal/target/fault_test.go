package target_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/standin/internal/sealer"
	"coltsfootwick.example/standin/internal/target"
)

func ExampleDecodeFault() {
	ft, count, err := target.DecodeFault([]byte(`{"fault":"cutShort","inBody":true,"offset":3,"count":1}`))
	fmt.Printf("%+v %d %v\n", ft, count, err)
	// Output: {Offset:{InBody:true Bytes:3 Chunked:false} Bytes:0} 1 <nil>
}

func TestFaultsRoundTrip(t *testing.T) {
	for _, ft := range []target.Fault{
		target.None{}, target.Crash{}, target.FailFast{}, target.Draining{},
		target.Stall{Offset: target.Offset{InBody: true, Bytes: 4, Chunked: true}, Length: time.Second},
		target.Late{Length: time.Millisecond}, target.Crossed{Wait: time.Second},
		target.CutShort{Offset: target.Offset{Bytes: 9}, Bytes: 7}, target.Doubled{Held: true}, target.Oversized{Bytes: 5},
	} {
		data, err := target.EncodeFault(ft, 2)
		must.NoError(t, err)
		decoded, count, err := target.DecodeFault(data)
		must.NoError(t, err)
		must.Eq(t, ft, decoded)
		must.Eq(t, 2, count)
	}
}

func TestDecodeFaultRefuses(t *testing.T) {
	for _, text := range []string{"", "{}", `{"fault":"odd"}`, `{"fault":"late","length":"x"}`,
		`{"fault":"late","length":"-1s"}`, `{"fault":"none","count":-1}`, `{"fault":"none","other":1}`} {
		_, _, err := target.DecodeFault([]byte(text))
		must.Error(t, err, must.Sprint(text))
	}
}

func TestFaultsOverTheAdminPort(t *testing.T) {
	tt := start(t, target.WithRunner(instant))
	url := "http://" + tt.AdminAddress().String()
	rsp, err := http.Post(url+"/faults", "application/json", strings.NewReader(`{"fault":"failFast","count":1}`))
	must.NoError(t, err)
	must.Eq(t, http.StatusNoContent, rsp.StatusCode)
	must.Eq(t, http.StatusInternalServerError, call(client(t, false), tt, "one").status)
	must.Eq(t, http.StatusOK, call(client(t, false), tt, "two").status)

	rsp, err = http.Post(url+"/faults", "application/json", strings.NewReader(`{"fault":"odd"}`))
	must.NoError(t, err)
	must.Eq(t, http.StatusBadRequest, rsp.StatusCode)

	rsp, err = http.Get(url + "/ran")
	must.NoError(t, err)
	data, err := io.ReadAll(rsp.Body)
	must.NoError(t, err)
	rt, err := target.DecodeReport(data)
	must.NoError(t, err)
	must.Len(t, 2, rt.Executions)
	must.Eq(t, http.StatusInternalServerError, rt.Executions[0].Status)
	must.True(t, tt.Report().Executions[1].Begin.Equal(rt.Executions[1].Begin))
}

func TestCutShortAtEveryOffsetFails(t *testing.T) {
	tt := start(t, target.WithRunner(instant), target.WithAnswerBytes(40))
	for _, chunked := range []bool{false, true} {
		total, _ := target.RawAnswerBytes(http.StatusOK, "attempt-one", "", sealer.Seal("one", 40), chunked)
		for offset := range total {
			ft := target.CutShort{Offset: target.Offset{Bytes: offset, Chunked: chunked}}
			must.NoError(t, tt.SetFault(ft, 1))
			must.Error(t, call(client(t, false), tt, "one").err, must.Sprintf("%+v", ft))
		}
		must.NoError(t, tt.SetFault(target.CutShort{Offset: target.Offset{Bytes: total, Chunked: chunked}}, 1))
		must.NoError(t, call(client(t, false), tt, "one").err)
	}
	for offset := range sealer.Seal("one", 40) {
		ft := target.CutShort{Offset: target.Offset{InBody: true, Bytes: offset}}
		must.NoError(t, tt.SetFault(ft, 1))
		must.Error(t, call(client(t, true), tt, "one").err, must.Sprintf("h2c %+v", ft))
	}
}

func TestAnswerIsCompleteAfterStall(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		for _, inBody := range []bool{false, true} {
			tt := start(t, target.WithRunner(instant))
			must.NoError(t, tt.SetFault(target.Stall{
				Offset: target.Offset{InBody: inBody, Bytes: 5},
				Length: time.Millisecond,
			}, 1))
			rp := call(client(t, h2c), tt, "one")
			must.NoError(t, rp.err)
			_, err := sealer.Open(rp.body)
			must.NoError(t, err)
		}
	}
}

func TestUnlimitedStallEndsWithTheCaller(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		tt := start(t, target.WithRunner(instant))
		must.NoError(t, tt.SetFault(target.Stall{Offset: target.Offset{InBody: true, Bytes: 5}}, 1))
		ct := client(t, h2c)
		ct.Timeout = 50 * time.Millisecond
		must.Error(t, call(ct, tt, "one").err)
	}
}

func TestCrossedSwapsTwoAnswers(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		tt := start(t, target.WithRunner(instant))
		must.NoError(t, tt.SetFault(target.Crossed{Wait: time.Minute}, 2))
		replies := make(chan reply, 1)
		go func() { replies <- call(client(t, h2c), tt, "one") }()
		second := call(client(t, h2c), tt, "two")
		must.NoError(t, second.err)
		must.Eq(t, "attempt-one", second.attempt)
		must.Eq(t, "attempt-two", (<-replies).attempt)
	}
}

func TestCrossedWithoutSecondRequestReturnsOwnAnswer(t *testing.T) {
	tt := start(t, target.WithRunner(instant))
	must.NoError(t, tt.SetFault(target.Crossed{Wait: time.Millisecond}, 1))
	must.Eq(t, "attempt-one", call(client(t, false), tt, "one").attempt)
}

func TestOversizedAndLate(t *testing.T) {
	tt := start(t, target.WithRunner(instant))
	must.NoError(t, tt.SetFault(target.Oversized{Bytes: 100_000}, 1))
	must.Len(t, 100_000, call(client(t, false), tt, "one").body)
	must.NoError(t, tt.SetFault(target.Late{Length: time.Millisecond}, 1))
	must.Eq(t, http.StatusOK, call(client(t, false), tt, "two").status)
}

func TestHeldCopyAnswersNextRequestOnTheConnection(t *testing.T) {
	tt := start(t, target.WithRunner(instant))
	must.NoError(t, tt.SetFault(target.Doubled{Held: true}, 1))
	conn, err := net.Dial("tcp", tt.Address().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, identifier := range []string{"one", "two"} {
		_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n%s: %s\r\n\r\n", sealer.Header, identifier)
		must.NoError(t, err)
		rsp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		body, err := io.ReadAll(rsp.Body)
		must.NoError(t, err)
		sealedIdentifier, err := sealer.Open(body)
		must.NoError(t, err)
		must.Eq(t, "one", sealedIdentifier)
	}
	must.Len(t, 2, tt.Report().Executions)
}
