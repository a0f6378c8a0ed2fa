package soaker

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// timeBudget is how long a caller waits for an answer.
const timeBudget = 3 * time.Second

// connection is a kept-alive connection of a caller to a manager.
type connection struct {
	manager *manager
	conn    net.Conn
	reader  *bufio.Reader
}

// dial opens a connection.
func dial(ctx context.Context, mg *manager) (*connection, error) {
	dialer := net.Dialer{
		Timeout: timeBudget,
	}
	conn, err := dialer.DialContext(ctx, "tcp", mg.node.Entrance.String())
	if err != nil {
		return nil, classifier.Wrap(err, classifier.PeerUnreachable, "%s", mg.node.Name)
	}
	return &connection{
		manager: mg,
		conn:    conn,
		reader:  bufio.NewReader(conn),
	}, nil
}

// exchange is one request on a connection, with what came back.
type exchange struct {
	// sentAt is when the last byte of the request was sent, zero if it wasn't, and
	// endedAt when the answer was complete or the connection had ended.
	sentAt, endedAt time.Time
	status          int
	body            []byte
	// isKept is true if the connection remains open for further requests.
	isKept bool
	err    error
}

// isTimedOut reports whether the request was sent, and no answer came in the time budget.
func (ex exchange) isTimedOut() bool {
	return !ex.sentAt.IsZero() && errors.Is(ex.err, os.ErrDeadlineExceeded)
}

// isCut reports whether the connection ended without a complete answer.
func (ex exchange) isCut() bool {
	return ex.err != nil && !ex.sentAt.IsZero() && !errors.Is(ex.err, os.ErrDeadlineExceeded)
}

// exchange sends a request and reads its answer.
func (cn *connection) exchange(method, path, key string, body []byte) exchange {
	ex := cn.transfer(method, path, key, body)
	ex.endedAt = time.Now()
	if !ex.isKept {
		_ = cn.conn.Close()
	}
	return ex
}

func (cn *connection) transfer(method, path, key string, body []byte) (ex exchange) {
	cn.manager.addUnanswered(1)
	defer cn.manager.addUnanswered(-1)
	rq, err := http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		ex.err = err
		return ex
	}
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Deadline-Ms", strconv.FormatInt(timeBudget.Milliseconds(), 10))
	if key != "" {
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	var data bytes.Buffer
	if ex.err = rq.Write(&data); ex.err != nil {
		return ex
	}
	if ex.err = cn.conn.SetDeadline(time.Now().Add(timeBudget)); ex.err != nil {
		return ex
	}
	if _, ex.err = cn.conn.Write(data.Bytes()); ex.err != nil {
		return ex
	}
	ex.sentAt = time.Now()
	rs, err := http.ReadResponse(cn.reader, rq)
	if err != nil {
		ex.err = err
		return ex
	}
	defer func() { _ = rs.Body.Close() }()
	if ex.body, ex.err = io.ReadAll(rs.Body); ex.err != nil {
		return ex
	}
	ex.status = rs.StatusCode
	ex.isKept = !rs.Close
	return ex
}
