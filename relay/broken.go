package relay

import (
	"errors"
	"strconv"
	"strings"

	"github.com/tarragonwheel/tarragonwheel/pool"
)

// describeBrokenAnswer returns the values that the log has of a response that could not be read to its end: how far it
// had come, and what identifies the call.
func (att *attempt) describeBrokenAnswer(out *outcome) []any {
	hdl := att.hdl
	return []any{
		"call", hdl.cal.ID, "replica", att.placement.Primary.ID, "outcome", out.reason, "error", out.errorText(),
		"reused", att.con.Reused(), "head", att.replyReceived, "events", att.eventsReceived,
		"resumed", att.rest.active, "body-bytes", len(hdl.cal.Body),
		"parts", strings.Join(hdl.cal.Prompt.Parts, ","),
		"fingerprint", strconv.FormatUint(hdl.causeCall().Fingerprint, 16),
	}
}

// logBrokenAnswer logs a response that could not be read to its end for another reason than a crash.
func (att *attempt) logBrokenAnswer(out *outcome) {
	att.hdl.opts.Log.Info("relay: replica broke off its answer",
		append(att.describeBrokenAnswer(out), "crash", false)...)
}

// recordMalformed records that the replica has sent what is no response. That is logged also on a used connection, for
// which nothing else is.
func (att *attempt) recordMalformed(err error) {
	hdl := att.hdl
	hdl.opts.Metrics.CountEvent("response-malformed")
	hdl.opts.Log.Info("relay: response is malformed, closing the connection", "call", hdl.cal.ID,
		"replica", att.placement.Primary.ID, "reused", att.con.Reused(), "error", err.Error())
}

// recordBreak records that the replica closed the connection before it had answered the call completely. That is a
// crash if the replica does not accept a new connection, which is checked in the background. Otherwise only the answer
// was lost.
func (att *attempt) recordBreak(out *outcome) {
	hdl, vie := att.hdl, &att.placement.Primary
	rep, opts := vie.Replica, hdl.opts
	opts.Metrics.CountEvent("answer-broken-off")
	sawCall := att.replyReceived || !att.con.Reused() // A used connection may also be closed because it was idle.
	if sawCall {
		rep.RecordFailure()
	}
	details := att.describeBrokenAnswer(out)
	if rep.Leaving() { // A replica that stops closes its connections, so that is not a crash.
		opts.Log.Info("relay: replica broke off its answer", append(details, "crash", false, "leaving", true)...)
		return
	}
	decide := opts.Crashes.RecordBreak(vie.ID, hdl.causeCall(), att.eventsReceived > beginningEvents)
	brokenAt, unanswered := opts.Clock.Now(), sawCall && !att.replyReceived
	aboveLimit := rep.AboveLimit()
	recordResult := func(err error) {
		leaving := rep.Leaving()
		crashed := err != nil && !leaving
		switch {
		case leaving:
			opts.Pool.CloseIdle(vie.ID) // The check may have left a connection after its removal.
		case crashed && unanswered:
			rep.RecordUnreachable()
		case !crashed:
			opts.Metrics.CountEvent("answer-lost")
		}
		if crashed && aboveLimit {
			att.logCrashAboveLimit()
		}
		decide(crashed && !aboveLimit)
		opts.Log.Info("relay: replica broke off its answer", append(details, "crash", crashed, "leaving", leaving,
			"check", errorText(err), "decided-after", opts.Clock.Since(brokenAt))...)
	}
	if errors.Is(out.err, pool.ErrReplicaEnded) { // It has been checked for the end of the response.
		recordResult(out.err)
		return
	}
	hdl.relay.inFlight.Add(1)
	opts.Pool.CheckAlive(vie.ID, vie.Address, func(err error) {
		defer hdl.relay.inFlight.Done()
		recordResult(err)
	})
}

// errorText returns the text of an error, or an empty string if it is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
