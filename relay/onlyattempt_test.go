package relay_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/rules"
)

// TestOnlyAttemptUsesANewConnection guards against a call that may be sent once only and is lost on a connection that
// has silently become unusable.
func TestOnlyAttemptUsesANewConnection(t *testing.T) {
	iis := is.New(t)
	var restarted atomic.Bool
	var known sync.Map // remote addresses of connections that have carried a call
	rep := newReplica(t, func(con net.Conn, req request) bool {
		_, isUsed := known.Swap(con.RemoteAddr().String(), true)
		if isUsed && restarted.Load() {
			return false
		}
		return reply(con, req, http.StatusOK, "served")
	})
	rig := newRig(t, rep)
	spc := testRules()
	for idx := range spc.Routes {
		spc.Routes[idx].MaxAttempts = 1
	}
	rig.rules.Store(rules.New(spc))
	_, _, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	restarted.Store(true)
	status, body, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(body, "served")
}
