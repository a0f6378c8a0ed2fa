package linker

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/jobs/assigner"
)

const (
	// Path is the path of the request that opens a connection.
	Path = "/sessions"
	// protocol is the name and version of the protocol in the Upgrade header.
	protocol = "coltsfootwick-sessions/3"
	// epochHeader is the header with the holder's epoch in the response.
	epochHeader = "Coltsfootwick-Epoch"
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// maxKeeperCapacity is the greatest plausible capacity of a keeper; sums of
	// capacities have to be finite.
	maxKeeperCapacity = 1e12
	// bufferBytes is the size of the read buffer.
	bufferBytes = 16 << 10
)

// Dialer opens network connections.
type Dialer interface {
	// DialContext opens a connection.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial connects a keeper to the scheduler's holder. It returns the connection and
// the holder's epoch.
func Dial(ctx context.Context, dialer Dialer, holder netip.AddrPort, kp assigner.Keeper) (*Conn, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", holder.String())
	if err != nil {
		return nil, 0, err
	}
	cn, epoch, err := upgrade(ctx, conn, holder, kp)
	if err != nil {
		_ = conn.Close()
		return nil, 0, err
	}
	return cn, epoch, nil
}

func upgrade(ctx context.Context, conn net.Conn, holder netip.AddrPort, kp assigner.Keeper) (*Conn, uint64, error) {
	query := url.Values{
		"node":     {string(kp.ID)},
		"zone":     {kp.Zone},
		"capacity": {strconv.FormatFloat(kp.Capacity, 'g', -1, 64)},
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+holder.String()+Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	rq.Header.Set("Connection", "Upgrade")
	rq.Header.Set("Upgrade", protocol)
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, 0, err
		}
	}
	if err := rq.Write(conn); err != nil {
		return nil, 0, err
	}
	reader := bufio.NewReaderSize(conn, bufferBytes)
	rs, err := http.ReadResponse(reader, rq)
	if err != nil {
		return nil, 0, err
	}
	_ = rs.Body.Close()
	if rs.StatusCode != http.StatusSwitchingProtocols {
		return nil, 0, errors.Errorf("manager %s does not hold the scheduler's duty: status %d", holder, rs.StatusCode)
	}
	epoch, err := strconv.ParseUint(rs.Header.Get(epochHeader), 10, 64)
	if err != nil {
		return nil, 0, errors.Wrap(err, "epoch of the holder")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, 0, err
	}
	return newConn(conn, reader), epoch, nil
}

// Accept upgrades the request of a keeper for the holder with an epoch. It
// answers the request if it returns an error.
func Accept(rw http.ResponseWriter, rq *http.Request, epoch uint64) (*Conn, assigner.Keeper, error) {
	kp, err := keeperOf(rq)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return nil, assigner.Keeper{}, err
	}
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return nil, assigner.Keeper{}, err
	}
	cn, err := accept(conn, buffered.Reader, epoch)
	if err != nil {
		_ = conn.Close()
		return nil, assigner.Keeper{}, err
	}
	return cn, kp, nil
}

func accept(conn net.Conn, reader *bufio.Reader, epoch uint64) (*Conn, error) {
	// The server's timeouts of the request no longer apply.
	if err := conn.SetDeadline(time.Now().Add(writeTimeout)); err != nil {
		return nil, err
	}
	response := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n" +
		epochHeader + ": " + strconv.FormatUint(epoch, 10) + "\r\n\r\n"
	if _, err := conn.Write([]byte(response)); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return newConn(conn, reader), nil
}

// keeperOf returns the keeper that a request describes.
func keeperOf(rq *http.Request) (assigner.Keeper, error) {
	if rq.Header.Get("Upgrade") != protocol {
		return assigner.Keeper{}, errors.Errorf("unknown protocol %q", rq.Header.Get("Upgrade"))
	}
	query := rq.URL.Query()
	capacity, err := strconv.ParseFloat(query.Get("capacity"), 64)
	if err != nil || !(capacity > 0 && capacity <= maxKeeperCapacity) || query.Get("node") == "" {
		return assigner.Keeper{}, errors.Errorf("invalid keeper: node %q, capacity %q", query.Get("node"), query.Get("capacity"))
	}
	return assigner.Keeper{
		ID:       assigner.KeeperID(query.Get("node")),
		Zone:     query.Get("zone"),
		Capacity: capacity,
	}, nil
}
