package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClientThatLeavesCutsNoOtherCall guards against a call that is cut because a client has left whose answer had been
// read from the same connection before.
func TestClientThatLeavesCutsNoOtherCall(t *testing.T) {
	iis := is.New(t)
	resume := make(chan struct{})
	rep := newReplica(t, func(con net.Conn, req request) bool {
		if strings.HasPrefix(req.URL.Path, "/safe/") {
			return reply(con, req, http.StatusOK, strings.Repeat("x", 12<<20)) // more than the sockets hold
		}
		_ = stream(con, req, 1, 2, false)
		<-resume
		_, err := io.WriteString(con, "0\r\n\r\n")
		return err == nil
	})
	rig := newRig(t, rep)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, rig.url+"/safe/x", nil)
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err) // The whole answer has been read from the replica, and waits for its client.
	defer func() { _ = res.Body.Close() }()
	go func() {
		time.Sleep(200 * time.Millisecond) // The stream has begun.
		leave()
		time.Sleep(200 * time.Millisecond)
		close(resume)
	}()
	status, body, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(body, events(1, 2))
	iis.Equal(rep.calls.Load(), int64(2))
}
