package pool

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// ErrReplicaEnded means that nothing listens at the address of a replica.
var ErrReplicaEnded = errors.New("pool: the replica has ended")

// EndsWithConnection tells whether the end of a response can be told only from that of its connection, as it has
// neither a length nor chunks. If its replica has crashed, the response looks complete.
func EndsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// Check connects to a replica and keeps the connection for the next call. It returns an error that wraps
// ErrReplicaEnded if the replica has ended, and a trace.ConnectionProblem error if that is not known.
func (pol *Pool) Check(ctx context.Context, replica, address string) error {
	con, err := pol.Get(ctx, replica, address, true)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return fmt.Errorf("%w: %w", ErrReplicaEnded, err)
	case err != nil:
		return err
	}
	con.idleSince = pol.clock.Now()
	pol.putIdle(con)
	return nil
}

const (
	// aliveTimeout is the time within which a replica must accept a connection after it has broken one.
	aliveTimeout = dialTimeout
	// settleTime is the time for which an accepted connection must stay open. A process that ends may reset its
	// connections before it closes its listener, and a proxy in between accepts before it connects.
	settleTime = 30 * time.Millisecond
)

// errClosedAtOnce means that a replica closed a connection right after it had accepted it.
var errClosedAtOnce = errors.New("pool: the new connection was closed at once")

// CheckAlive checks in the background whether a replica that has broken a connection has ended. It has if it does not
// accept a new connection in time, or closes that at once. onResult then gets an error that wraps ErrReplicaEnded, and
// otherwise nil. One check serves all callers that ask for the replica while it is in progress: what it finds at
// its end holds for connections that broke before. The new connection is kept for the next call.
func (pol *Pool) CheckAlive(replica, address string, onResult func(err error)) {
	pol.mu.Lock()
	waiting, inProgress := pol.checks[replica]
	pol.checks[replica] = append(waiting, onResult)
	pol.mu.Unlock()
	if inProgress {
		return
	}
	go func() {
		err := pol.checkAlive(replica, address)
		pol.mu.Lock()
		list := pol.checks[replica]
		delete(pol.checks, replica)
		pol.mu.Unlock()
		for _, fn := range list {
			fn(err)
		}
	}()
}

// checkAlive connects to a replica and keeps the connection. It returns an error that wraps ErrReplicaEnded if the
// replica does not accept the connection in time or closes it at once.
func (pol *Pool) checkAlive(replica, address string) error {
	ctx, cancel := pol.clock.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	con, err := pol.Get(ctx, replica, address, true)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrReplicaEnded, err)
	}
	if err := pol.clock.Sleep(context.Background(), settleTime); err != nil {
		return fmt.Errorf("pool: check replica: %w", err)
	}
	open, drained := con.peek()
	if !open || !drained {
		_ = con.Close() // It has carried no call.
	}
	if !open {
		return fmt.Errorf("%w: %w", ErrReplicaEnded, errClosedAtOnce)
	}
	if drained {
		con.idleSince = pol.clock.Now()
		pol.putIdle(con)
	}
	return nil
}
