package abuser

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is the greatest legal size of a body.
	bodyBytes = 262_144
	// missingBytes is how many bytes most clients of bodies leave out at the end.
	missingBytes = 10
	// wholeEvery is the number of clients of which one sends its body to its end.
	wholeEvery = 10
	// pieceBytes and piecePause are the size of the pieces of a body, and the pause
	// between two.
	pieceBytes = 16 << 10
	piecePause = 20 * time.Millisecond
	// blockBytes is about how much is sent in one write.
	blockBytes = 16 << 10
	// endlessBytes bounds what a client without an end sends on a connection.
	endlessBytes = 2 << 20
)

// Manner is a way in which clients send requests that the server can't rely on.
type Manner struct {
	// Name is the name of the manner.
	Name string
	send func(conn net.Conn, rq request) error
	// comesBackAtOnce is true if a client whose connection was closed opens another one
	// at once.
	comesBackAtOnce bool
}

// request is what one client sends on one connection.
type request struct {
	// path is the path of a job of an existing queue.
	path string
	// isWhole is true if a body is sent to its end.
	isWhole bool
	// number is the number of the client.
	number int
	// next returns the path of a further job.
	next func() string
}

// Manners are the manners of the trials.
var Manners = []Manner{
	{Name: "endless header lines", send: sendEndlessHeader},
	{Name: "header section over the limit", send: sendLargeHeader},
	{Name: "short header lines just below the limit", send: sendShortLines},
	{Name: "empty lines before a request", send: sendEmptyLines},
	{Name: "whole bodies", send: sendWholeBody},
	{Name: "bodies in pieces", send: sendPieces},
	{Name: "one large chunk", send: sendLargeChunk},
	{Name: "chunks of one byte", send: sendTinyChunks},
	{Name: "bodies for unknown queues", send: sendUnread},
}

func (rq request) head(framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", rq.path, Host, framing)
}

// body returns a body of the greatest legal size without the bytes that the client
// leaves out.
func (rq request) body() string {
	if rq.isWhole {
		return largeBody()
	}
	return largeBody()[:bodyBytes-missingBytes]
}

// largeBody returns a body of the greatest legal size, with as many steps as fit in, so
// that decoding it is costly.
var largeBody = sync.OnceValue(func() string {
	const start, step, end = `{"steps":[{}`, `,{}`, `]}`
	body := start + strings.Repeat(step, (bodyBytes-len(start)-len(end))/len(step)) + end
	return body + strings.Repeat(" ", bodyBytes-len(body))
})

// largeHeader returns header lines with different names.
var largeHeader = sync.OnceValue(func() string {
	const size = 900_000
	lines := make([]byte, 0, size)
	for number := 0; len(lines) < size; number++ {
		lines = fmt.Appendf(lines, "%04x:\r\n", number)
	}
	return string(lines)
})

func sendEndlessHeader(conn net.Conn, rq request) error {
	if _, err := io.WriteString(conn, strings.TrimSuffix(rq.head(""), "\r\n")); err != nil {
		return err
	}
	return repeat(conn, "X-Filler: "+strings.Repeat("x", 50)+"\r\n", endlessBytes)
}

func sendLargeHeader(conn net.Conn, rq request) error {
	_, err := io.WriteString(conn, rq.head("Content-Length: 0\r\n"+largeHeader()))
	return err
}

// sendShortLines sends a header section that stops short of its end, and takes far more
// memory than its size.
func sendShortLines(conn net.Conn, rq request) error {
	const size = 16_000
	_, err := io.WriteString(conn, rq.head("")[:len(rq.head(""))-2]+largeHeader()[:size])
	return err
}

func sendEmptyLines(conn net.Conn, _ request) error {
	return repeat(conn, "\r\n", endlessBytes)
}

func sendWholeBody(conn net.Conn, rq request) error {
	_, err := io.WriteString(conn, rq.head(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))+rq.body())
	return err
}

func sendPieces(conn net.Conn, rq request) error {
	if _, err := io.WriteString(conn, rq.head(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))); err != nil {
		return err
	}
	for body := rq.body(); body != ""; {
		piece := body[:min(pieceBytes, len(body))]
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
		body = body[len(piece):]
		time.Sleep(piecePause)
	}
	return nil
}

const chunkedFraming = "Transfer-Encoding: chunked\r\n"

func sendLargeChunk(conn net.Conn, rq request) error {
	text := rq.head(chunkedFraming) + fmt.Sprintf("%x\r\n", bodyBytes) + rq.body()
	if rq.isWhole {
		text += "\r\n0\r\n\r\n"
	}
	_, err := io.WriteString(conn, text)
	return err
}

func sendTinyChunks(conn net.Conn, rq request) error {
	if _, err := io.WriteString(conn, rq.head(chunkedFraming)); err != nil {
		return err
	}
	const chunk = "1\r\n \r\n"
	size := (bodyBytes - missingBytes) * len(chunk)
	if err := repeat(conn, chunk, size); err != nil || !rq.isWhole {
		return err
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// sendUnread sends a body that the server has no reason to read.
func sendUnread(conn net.Conn, rq request) error {
	rq.path = "/unknown" + rq.path
	return sendWholeBody(conn, rq)
}

// repeat writes a text again and again until about size bytes are written.
func repeat(conn net.Conn, text string, size int) error {
	block := strings.Repeat(text, max(blockBytes/len(text), 1))
	for written := 0; written < size; written += len(block) {
		if _, err := io.WriteString(conn, block); err != nil {
			return err
		}
	}
	return nil
}
