package relay_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestRetryUsesANewConnection guards against a call whose last attempt is lost on a connection that has silently become
// unusable, as those to a replica that was restarted.
func TestRetryUsesANewConnection(t *testing.T) {
	iis := is.New(t)
	var restarted atomic.Bool
	var known sync.Map // remote addresses of connections that have carried a call
	hdl := func(con net.Conn, req request) bool {
		_, isUsed := known.Swap(con.RemoteAddr().String(), true)
		if isUsed && restarted.Load() {
			return false
		}
		return reply(con, req, http.StatusOK, "served")
	}
	one, two := newReplica(t, hdl), newReplica(t, hdl)
	rig := newRig(t, one, two)
	for one.calls.Load() == 0 || two.calls.Load() == 0 {
		_, _, err := rig.send(t, "/safe/x")
		iis.NoErr(err)
	}
	restarted.Store(true)
	status, body, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(body, "served")
}
