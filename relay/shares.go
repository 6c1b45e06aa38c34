package relay

import (
	"math/rand"
	"strconv"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/share"
)

// maxDeferShare is the divisor of a call's time limit that gives the longest time after its arrival for which it may be
// deferred. Its client then still has the time for a retry elsewhere and for the response.
const maxDeferShare = 3

// shouldDefer tells whether the call should wait: for a better placement than the given one, or once for another
// waiting call of equal value whose account has less recent work.
func (hdl *callHandler) shouldDefer(plc *place.Placement) bool {
	limit := hdl.deadline.Sub(hdl.cal.Arrived) / maxDeferShare
	if plc.Slack <= 0 || hdl.opts.Clock.Since(hdl.cal.Arrived) >= limit {
		return false
	}
	if plc.ShouldDefer() {
		return true
	}
	if plc.Price <= 0 || hdl.hasYielded {
		return false
	}
	hdl.hasYielded = hdl.relay.waiting.ShouldYield(hdl.waiter(plc))
	if hdl.hasYielded {
		hdl.opts.Metrics.CountEvent("long-prompt-yielded")
	}
	return hdl.hasYielded
}

func (hdl *callHandler) waiter(plc *place.Placement) share.Waiter {
	return share.Waiter{Service: hdl.service, Value: plc.Value, PriceFactor: hdl.priceFactor}
}

// countAdmitted adds the prefill time of the call to the recent work of its account, before its first attempt only:
// retries are no work that the account has asked for.
func (hdl *callHandler) countAdmitted(plc *place.Placement) {
	if hdl.attempts == 0 {
		hdl.relay.shares.Add(hdl.account, hdl.totalPrefill(plc))
	}
}

// askPriceFactor returns the price factor of the call's account, and keeps it for logs and metrics. It is 1 for all
// accounts unless they share capacity, and at most 1 for a call that was admitted before: a retry or the rest of a
// stream must not be refused because of the account's share.
func (hdl *callHandler) askPriceFactor() float64 {
	hdl.priceFactor = 1
	if hdl.opts.ShareAccounts {
		hdl.priceFactor = hdl.relay.shares.PriceFactor(hdl.account)
	}
	if hdl.attempts > 0 {
		hdl.priceFactor = min(hdl.priceFactor, 1)
	}
	return hdl.priceFactor
}

// priority returns the operator's priority of the call; 0 is the highest.
func (hdl *callHandler) priority() int {
	if hdl.rte == nil {
		return 0
	}
	return hdl.set.Priority(hdl.rte, hdl.account)
}

// labels returns what refused and deferred calls are counted by.
func (hdl *callHandler) labels() metric.CallLabels {
	lab := metric.CallLabels{
		Length: cost.Class(hdl.cal.Prompt.Tokens), DataCentre: hdl.opts.DataCentre, Share: "within",
		Priority: "none",
	}
	if hdl.priceFactor > 1 {
		lab.Share = "above"
	}
	if hdl.rte != nil {
		lab.Priority = strconv.Itoa(hdl.priority())
	}
	return lab
}

// overloadRetryAfter returns the Retry-After time of a call that was refused because replicas are busy.
func (hdl *callHandler) overloadRetryAfter() time.Duration {
	return share.RetryAfter(hdl.offer.BusyFor, hdl.longestRetryAfter(), rand.Float64())
}
