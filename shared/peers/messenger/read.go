package messenger

import (
	"io"
	"time"

	"github.com/quic-go/quic-go"
)

// readDatagrams receives short messages until the connection is closed.
func (lk *link) readDatagrams(se *session) {
	for {
		data, err := se.conn.ReceiveDatagram(lk.quic.ctx)
		if err != nil || se.closeIfExpired() {
			return
		}
		lk.quic.receive(lk.address, se.identity, data)
	}
}

// readStreams receives long messages until the connection is closed, one at a
// time, so that a peer occupies no more memory than one message.
func (lk *link) readStreams(se *session) {
	for {
		stream, err := se.conn.AcceptUniStream(lk.quic.ctx)
		if err != nil || se.closeIfExpired() {
			return
		}
		data, err := readStream(stream)
		if err != nil {
			stream.CancelRead(closeNormal)
			continue
		}
		lk.quic.receive(lk.address, se.identity, data)
	}
}

func readStream(stream *quic.ReceiveStream) ([]byte, error) {
	_ = stream.SetReadDeadline(time.Now().Add(streamTimeout))
	return io.ReadAll(io.LimitReader(stream, MaxBytes+1))
}
