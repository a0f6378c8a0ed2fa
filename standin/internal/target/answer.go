package target

import (
	"bytes"
	"fmt"
	"net/http"
)

// answer is the response of a target to one request.
type answer struct {
	status    int
	attempt   string
	requestID string
	body      []byte
}

func (ar answer) header() http.Header {
	header := http.Header{}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if ar.attempt != "" {
		header.Set(AttemptHeader, ar.attempt)
	}
	if ar.requestID != "" {
		header.Set(RequestIDHeader, ar.requestID)
	}
	return header
}

// framing determines how the end of an HTTP/1.1 message is marked.
type framing struct {
	// chunked selects the chunked transfer coding instead of a Content-Length.
	chunked bool
	// last adds the header Connection: close.
	last bool
}

// raw returns the bytes of the answer as an HTTP/1.1 message and the length of
// its head.
func (ar answer) raw(fg framing) ([]byte, int) {
	var bf bytes.Buffer
	header := ar.header()
	if fg.last {
		header.Set("Connection", "close")
	}
	if fg.chunked {
		header.Set("Transfer-Encoding", "chunked")
	} else {
		header.Set("Content-Length", fmt.Sprint(len(ar.body)))
	}
	fmt.Fprintf(&bf, "HTTP/1.1 %d %s\r\n", ar.status, http.StatusText(ar.status))
	_ = header.Write(&bf)
	bf.WriteString("\r\n")
	headLength := bf.Len()
	if !fg.chunked {
		bf.Write(ar.body)
		return bf.Bytes(), headLength
	}
	writeChunks(&bf, ar.body)
	return bf.Bytes(), headLength
}

// RawAnswerBytes returns the total length and the head length of the HTTP/1.1
// message that a target with the fault Stall or CutShort starts to send.
func RawAnswerBytes(status int, attempt, requestID string, body []byte, chunked bool) (total, head int) {
	ar := answer{
		status:    status,
		attempt:   attempt,
		requestID: requestID,
		body:      body,
	}
	data, headLength := ar.raw(framing{
		chunked: chunked,
		last:    true,
	})
	return len(data), headLength
}

// writeChunks writes the body as two chunks, followed by the last chunk.
func writeChunks(bf *bytes.Buffer, body []byte) {
	half := len(body) / 2
	for _, part := range [][]byte{body[:half], body[half:]} {
		if len(part) > 0 {
			fmt.Fprintf(bf, "%x\r\n%s\r\n", len(part), part)
		}
	}
	bf.WriteString("0\r\n\r\n")
}
