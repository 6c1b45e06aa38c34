package relay

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// errCallsEnd is the cause of the end of a call's context in EndCalls.
var errCallsEnd = errors.New("relay: the process is about to end")

// interruption returns why the call must end now: reasonClientLeft, reasonDraining if the process is about to end, or
// an empty string.
func (hdl *callHandler) interruption() string {
	switch {
	case hdl.ctx.Err() == nil:
		return ""
	case errors.Is(context.Cause(hdl.ctx), errCallsEnd):
		return reasonDraining
	}
	return reasonClientLeft
}

// mayGoOn tells whether the call may be sent to a replica. If not, it has been refused.
func (hdl *callHandler) mayGoOn() bool {
	if hdl.attempts == 0 && hdl.relay.refuseNewCalls.Load() { // Its body came late, or it was deferred.
		hdl.refuseWhileDraining()
		return false
	}
	return hdl.headSent || hdl.applyRules()
}

// refuseWhileDraining refuses a call that has not run, so that its client sends it to another process at once.
func (hdl *callHandler) refuseWhileDraining() {
	hdl.rw.Header().Set("Connection", "close")
	hdl.sendError(http.StatusServiceUnavailable, reasonDraining, time.Millisecond)
}
