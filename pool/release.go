package pool

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Release returns the connection to the pool after the body of res has been read to its end. The pool keeps it if it
// can carry another call, and closes it otherwise. The Conn must not be used any more, but may be closed.
func (con *Conn) Release(res *http.Response) {
	con.reusable = !res.Close // Close is also set if the response ends with its connection.
	con.idleTimeout = parseKeepAlive(res.Header.Get("Keep-Alive"))
	select {
	case err := <-con.writeResult:
		con.reusable = con.reusable && err == nil
	default: // The response came before the request was sent completely, so the replica still waits for the rest.
		con.reusable = false
	}
	if !con.reusable || con.reader.Buffered() > 0 {
		_ = con.Close() // The response is complete.
		return
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	con.released = true
	con.pool.putIdle(&Conn{
		Conn: con.Conn, pool: con.pool, replica: con.replica, limit: con.limit, reader: con.reader,
		writeResult: con.writeResult, idleSince: con.pool.clock.Now(), idleTimeout: con.idleTimeout,
	})
}

// putIdle keeps an idle connection and closes the oldest one to the same replica if there are too many.
func (pol *Pool) putIdle(con *Conn) {
	pol.mu.Lock()
	list := pol.idle[con.replica]
	list = append(list, con)
	var oldest *Conn
	if len(list) > maxIdleConns {
		oldest = list[0]
		list = list[1:]
	}
	pol.idle[con.replica] = list
	pol.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // Nothing is in flight on an idle connection.
	}
}

// Close implements net.Conn. The kernel resets the connection if data is unread, so that the replica aborts the call.
// It does nothing after Release.
func (con *Conn) Close() error {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.released {
		return nil
	}
	if err := con.Conn.Close(); err != nil {
		return fmt.Errorf("pool: close: %w", err)
	}
	return nil
}

// parseKeepAlive returns how long a replica keeps an idle connection, from its Keep-Alive header.
func parseKeepAlive(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if sec, err := strconv.Atoi(val); err == nil && sec >= 0 {
			return min(time.Duration(sec)*time.Second, maxIdleTimeout)
		}
	}
	return defaultIdleTimeout
}
