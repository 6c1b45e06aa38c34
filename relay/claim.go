package relay

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/place"
)

const (
	// minClaimPrefill is the prefill time from which a prompt is claimed before it is sent: it occupies its replicas
	// for longer than the latency target of short calls.
	minClaimPrefill = 500 * time.Millisecond
	// maxClaims bounds the claims of a call, so that it does not yield again and again.
	maxClaims = 4
)

// claim announces the tasks of a long prompt and waits until claims of other processes for the same replicas have
// arrived. It returns whether the call keeps its placement, which was chosen from views of the given time. If not, the
// call must be placed again, with the others' tasks in view.
func (hdl *callHandler) claim(plc *place.Placement, viewedAt time.Time) bool {
	wait := hdl.opts.ClaimTime
	if wait <= 0 || hdl.claims >= maxClaims || hdl.totalPrefill(plc) < minClaimPrefill {
		return true
	}
	hdl.claims++
	tasks := hdl.startTasks(plc, hdl.newTask(plc), true)
	if hdl.opts.Clock.Sleep(hdl.ctx, wait) == nil && !tasks.outranked(viewedAt) {
		hdl.claimed = tasks
		return true
	}
	tasks.end()
	if hdl.ctx.Err() == nil {
		hdl.opts.Metrics.CountEvent("claim-yielded")
		hdl.opts.Log.Info("relay: placement yields to that of another process", "call", hdl.cal.ID,
			"replica", plc.Primary.ID, "parts", len(plc.Helpers)+1, "prefill", plc.PrefillTime, "claims", hdl.claims)
	}
	return false
}

// totalPrefill returns the prefill time of all parts of the prompt.
func (hdl *callHandler) totalPrefill(plc *place.Placement) time.Duration {
	return plc.PrefillTime * time.Duration(len(plc.Helpers)+1)
}

// takeClaim returns the tasks that were claimed for the next attempt, nil if there are none.
func (hdl *callHandler) takeClaim() attemptTasks {
	tasks := hdl.claimed
	hdl.claimed = nil
	return tasks
}
