package conductor

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/linker"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/process/timekeeper"
)

// frameQueueSize is the capacity of the queue of keepers' frames; their
// connections are not read while it is full.
const frameQueueSize = 1024

// keeperJoined is a new connection of a keeper.
type keeperJoined struct {
	keeper assigner.Keeper
	conn   *linker.Conn
}

// keeperFrame is a frame of a keeper, or the end of its connection.
type keeperFrame struct {
	keeper   assigner.KeeperID
	conn     *linker.Conn
	messages []distributor.ToScheduler
	// err is the reason for the end of the connection, or nil.
	err error
}

// ServeKeeper accepts the connection of a keeper if the duty is held here.
func (cd *Conductor) ServeKeeper(rw http.ResponseWriter, rq *http.Request) {
	tm := cd.current.Load()
	if tm == nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, kp, err := linker.Accept(rw, rq, tm.heldDuty.Epoch())
	if err != nil {
		cd.logger.Warn("cannot accept the connection of a keeper", zap.Error(err))
		return
	}
	select {
	case tm.joins <- keeperJoined{keeper: kp, conn: conn}:
	case <-tm.ended:
		conn.Close()
	}
}

// addKeeper adds the connection of a keeper and reads its frames. A connection
// that the keeper had before is closed.
func (tm *term) addKeeper(ctx context.Context, kj keeperJoined) error {
	if old := tm.conns[kj.keeper.ID]; old != nil {
		old.Close()
		tm.countClosed(old)
	}
	tm.conns[kj.keeper.ID] = kj.conn
	err := tm.applyAll(tm.distributor.Join(timekeeper.Now(), kj.keeper))
	tm.logger.Info("keeper connected", zap.String("keeper", string(kj.keeper.ID)), zap.String("keeperZone", kj.keeper.Zone), zap.Float64("capacity", kj.keeper.Capacity), zap.Int("keepers", tm.distributor.Keepers()))
	go tm.readFrames(ctx, kj)
	return err
}

// readFrames passes the frames of a connection to the allocator's goroutine until
// the connection ends.
func (tm *term) readFrames(ctx context.Context, kj keeperJoined) {
	for {
		frame := keeperFrame{
			keeper: kj.keeper.ID,
			conn:   kj.conn,
		}
		content, err := kj.conn.Receive()
		if err == nil {
			frame.messages, err = distributor.DecodeToScheduler(content)
		}
		frame.err = err
		select {
		case tm.frames <- frame:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// handleFrame applies a frame of a keeper. A connection with an invalid message
// is closed.
func (tm *term) handleFrame(frame keeperFrame) error {
	if tm.conns[frame.keeper] != frame.conn {
		return nil
	}
	if frame.err != nil {
		return tm.removeKeeper(frame.keeper, frame.err)
	}
	isHeld := tm.heldDuty.Check() == nil
	for _, msg := range frame.messages {
		if _, isAsk := msg.(distributor.Ask); isAsk {
			tm.refreshBacklogs(timekeeper.Now())
		}
		events, err := tm.distributor.Receive(timekeeper.Now(), frame.keeper, msg, isHeld)
		if err != nil {
			return tm.removeKeeper(frame.keeper, err)
		}
		if err := tm.applyAll(events); err != nil {
			return err
		}
	}
	return nil
}

// refreshBacklogs computes the figures that go to keepers with their permissions, at most
// once per AskInterval.
func (tm *term) refreshBacklogs(now time.Time) {
	if !tm.hasPressure || !tm.allocator.IsLoaded() || now.Sub(tm.backlogsAt) < distributor.AskInterval {
		return
	}
	tm.backlogsAt = now
	tm.distributor.SetBacklogs(now, tm.allocator.Backlogs(now))
}

// removeKeeper ends the connection of a keeper. Its workers pass to others.
func (tm *term) removeKeeper(id assigner.KeeperID, cause error) error {
	tm.closeConn(id, cause)
	return tm.applyAll(tm.distributor.Leave(id))
}

func (tm *term) closeConn(id assigner.KeeperID, cause error) {
	conn := tm.conns[id]
	if conn == nil {
		return
	}
	delete(tm.conns, id)
	conn.Close()
	tm.countClosed(conn)
	tm.logger.Warn("keeper lost", zap.String("keeper", string(id)), zap.Int("keepers", len(tm.conns)), zap.Error(cause))
}

// errSilentKeeper is the cause of the loss of a keeper that is silent or doesn't
// answer in time.
var errSilentKeeper = errors.New("no message or outcome in time")

// distribute sends orders to workers through their keepers, and removes keepers
// that are lost.
func (tm *term) distribute(now time.Time, orders []allocator.Order) error {
	if err := tm.applyAll(tm.distributor.Dispatch(now, orders)); err != nil {
		return err
	}
	lost, events := tm.distributor.Tick(now)
	for _, id := range lost {
		tm.closeConn(id, errSilentKeeper)
	}
	if err := tm.applyAll(events); err != nil {
		return err
	}
	for id, messages := range tm.distributor.Outgoing() {
		var frame []byte
		for _, msg := range messages {
			frame = distributor.AppendToKeeper(frame, msg)
		}
		if conn := tm.conns[id]; conn != nil {
			conn.Send(frame)
		}
	}
	return nil
}

// keeperTraffic returns the bytes sent to and received from keepers so far.
func (tm *term) keeperTraffic() (sent, received int64) {
	sent, received = tm.closedSent, tm.closedReceived
	for _, conn := range tm.conns {
		connSent, connReceived := conn.Bytes()
		sent += connSent
		received += connReceived
	}
	return sent, received
}

// countClosed keeps the traffic of a connection that has ended.
func (tm *term) countClosed(conn *linker.Conn) {
	sent, received := conn.Bytes()
	tm.closedSent += sent
	tm.closedReceived += received
}

// closeConns closes the connections of all keepers.
func (tm *term) closeConns() {
	for _, conn := range tm.conns {
		conn.Close()
	}
}
