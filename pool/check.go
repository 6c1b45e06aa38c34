package pool

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
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
