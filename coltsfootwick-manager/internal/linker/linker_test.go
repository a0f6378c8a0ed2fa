package linker

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/assigner"
)

var testKeeper = assigner.Keeper{ID: "edge-bole-1", Zone: "bole", Capacity: 2.5}

// connect returns both ends of a connection.
func connect(t *testing.T) (holder, keeper *Conn) {
	t.Helper()
	accepted := make(chan *Conn, 1)
	sr := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		conn, kp, err := Accept(rw, rq, 42)
		if err != nil || kp != testKeeper {
			t.Errorf("accept: keeper %v, error %v", kp, err)
		}
		accepted <- conn
	}))
	t.Cleanup(sr.Close)
	keeper, epoch, err := Dial(t.Context(), &net.Dialer{}, netip.MustParseAddrPort(sr.Listener.Addr().String()), testKeeper)
	must.NoError(t, err)
	must.Eq(t, 42, epoch)
	holder = <-accepted
	t.Cleanup(holder.Close)
	t.Cleanup(keeper.Close)
	return holder, keeper
}

func TestFramesArriveInOrder(t *testing.T) {
	holder, keeper := connect(t)
	for number := range 100 {
		holder.Send(bytes.Repeat([]byte{byte(number)}, number*100))
		keeper.Send([]byte{byte(number)})
	}
	for number := range 100 {
		frame, err := keeper.Receive()
		must.NoError(t, err)
		must.Eq(t, bytes.Repeat([]byte{byte(number)}, number*100), frame)
		frame, err = holder.Receive()
		must.NoError(t, err)
		must.Eq(t, []byte{byte(number)}, frame)
	}
	_, received := holder.Bytes()
	must.Eq(t, 100*(frameHeaderBytes+1), received)
}

func TestClosedConnectionEndsTheOtherEnd(t *testing.T) {
	holder, keeper := connect(t)
	holder.Close()
	_, err := keeper.Receive()
	must.Error(t, err)
	holder.Send([]byte("late"))
	holder.Close()
}

func TestFrameThatIsTooLongIsAnError(t *testing.T) {
	holder, keeper := connect(t)
	_, err := keeper.conn.Write(binary.BigEndian.AppendUint32(nil, maxFrameBytes+1))
	must.NoError(t, err)
	_, err = holder.Receive()
	must.ErrorContains(t, err, "longer than")
}

// A peer that doesn't read must not make the sender's memory grow.
func TestPeerThatDoesNotReadIsLost(t *testing.T) {
	holder, keeper := connect(t)
	frame := make([]byte, 1<<20)
	isClosed := func() bool {
		holder.mutex.Lock()
		defer holder.mutex.Unlock()
		return holder.isClosed
	}
	sent := 0
	for ; !isClosed() && sent < 1000; sent++ {
		holder.Send(frame)
	}
	must.Less(t, 1000, sent)
	for {
		if _, err := keeper.Receive(); err != nil {
			return
		}
	}
}

func TestManagerWithoutTheDutyRefusesKeepers(t *testing.T) {
	sr := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(sr.Close)
	_, _, err := Dial(t.Context(), &net.Dialer{}, netip.MustParseAddrPort(sr.Listener.Addr().String()), testKeeper)
	must.ErrorContains(t, err, "status 503")
}

func TestInvalidKeepersAreRefused(t *testing.T) {
	for _, target := range []string{
		Path + "?node=n&zone=z&capacity=1",
		Path + "?node=&zone=z&capacity=1",
		Path + "?node=n&zone=z&capacity=0",
		Path + "?node=n&zone=z&capacity=NaN",
		Path + "?node=n&zone=z&capacity=Inf",
		Path + "?node=n&zone=z&capacity=1e300",
		Path,
	} {
		rq := httptest.NewRequestWithContext(context.Background(), http.MethodGet, target, nil)
		if target != Path+"?node=n&zone=z&capacity=1" {
			rq.Header.Set("Upgrade", protocol)
		}
		rw := httptest.NewRecorder()
		_, _, err := Accept(rw, rq, 1)
		must.Error(t, err, must.Sprint(target))
		must.Eq(t, http.StatusBadRequest, rw.Code)
	}
}
