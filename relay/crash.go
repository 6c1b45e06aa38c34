package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/cause"
)

// crashRetryAfter is the Retry-After time of a blocked call. It keeps clients away whose call crashes replicas.
const crashRetryAfter = 30 * time.Second

// causeCall returns what may crash replicas in this call: the hash of its method, target, client account and body, by
// which it is recognized when its client sends it again, the parts of its prompt that it shares with others, and the
// hash of all but its method and query.
func (hdl *callHandler) causeCall() cause.Call {
	cal, dig := hdl.cal, xxhash.New()
	path := stripQuery(cal.Target)
	_, _ = dig.WriteString(path + "\x00" + hdl.account + "\x00") // It never fails.
	_, _ = dig.Write(cal.Body)                                   // It never fails.
	if len(cal.Body) == 0 {
		_, _ = dig.WriteString(strings.Join(cal.Prompt.Parts, ",")) // It never fails.
	}
	family := dig.Sum64()
	_, _ = dig.WriteString("\x00" + cal.Method + "\x00" + cal.Target[len(path):]) // It never fails.
	return cause.Call{Fingerprint: cause.Feature(dig.Sum64()), Parts: append(hdl.causeParts(), cause.Family(family))}
}

// causeParts returns the hashes of the parts of the prompt that other calls may have too. A part may crash the replicas
// of one service and not those of another.
func (hdl *callHandler) causeParts() []uint64 {
	shared := hdl.cal.Prompt.SharedParts()
	parts := make([]uint64, 0, len(shared)+1) // The family may follow.
	for _, part := range shared {
		parts = append(parts, cause.Feature(xxhash.Sum64String(hdl.service+"\x00"+part)))
	}
	return parts
}

// crashesReplicas tells whether the call must be refused because it crashes replicas.
func (hdl *callHandler) crashesReplicas() bool {
	if !hdl.opts.Crashes.Active() {
		return false
	}
	cal := hdl.causeCall()
	if !hdl.opts.Crashes.Blocked(cal) {
		return false
	}
	hdl.opts.Log.Info("relay: call is refused because it crashes replicas", "call", hdl.cal.ID,
		"parts", strings.Join(hdl.cal.Prompt.Parts, ","), "fingerprint", strconv.FormatUint(cal.Fingerprint, 16))
	return true
}

// beginningEvents is the number of events up to which a stream is at its beginning.
const beginningEvents = 1

// recordProgress records that the replica has sent an event of a stream. One that goes beyond its beginning speaks
// against the call and its parts as causes of crashes.
func (att *attempt) recordProgress() {
	att.eventsReceived++
	if att.eventsReceived == beginningEvents+1 {
		att.hdl.opts.Crashes.RecordProgress(att.hdl.causeAnswer())
	}
}

// recordAnswer records that the replica has answered the call completely, so that it does not crash replicas.
func (att *attempt) recordAnswer() {
	att.hdl.opts.Crashes.RecordAnswer(att.hdl.causeAnswer())
}

// causeAnswer returns what an answer to the call speaks for. The fingerprint is costly, and left out if there were no
// crashes.
func (hdl *callHandler) causeAnswer() cause.Call {
	if hdl.opts.Crashes.Active() {
		return hdl.causeCall()
	}
	return cause.Call{Parts: hdl.causeParts()}
}

// logBrokenAnswer logs that reading the response of a replica failed, how far it had come by then, and whether that is
// taken for a crash of the replica.
func (att *attempt) logBrokenAnswer(out *outcome, isCrash bool) {
	hdl := att.hdl
	hdl.opts.Log.Info("relay: replica broke off its answer", "call", hdl.cal.ID,
		"replica", att.placement.Primary.ID, "crash", isCrash, "outcome", out.reason, "error", out.errorText(),
		"reused", att.con.Reused(), "head", att.replyReceived, "events", att.eventsReceived,
		"resumed", att.rest.active, "body-bytes", len(hdl.cal.Body),
		"parts", strings.Join(hdl.cal.Prompt.Parts, ","),
		"fingerprint", strconv.FormatUint(hdl.causeCall().Fingerprint, 16))
}

// recordCrash records that the replica closed the connection before it had answered the call completely.
func (att *attempt) recordCrash() {
	hdl, rep := att.hdl, att.placement.Primary.Replica
	switch {
	case att.replyReceived:
		rep.RecordFailure()
	case !att.con.Reused(): // A used connection may also be closed because it was idle.
		rep.RecordUnreachable()
	}
	leaving := rep.Leaving() // A replica that stops closes its connections, so that is not a crash.
	cal := hdl.causeCall()
	hdl.opts.Metrics.CountEvent("answer-broken-off")
	if !leaving && !att.crashedAboveLimit() {
		hdl.opts.Crashes.RecordCrash(att.placement.Primary.ID, cal, att.eventsReceived > beginningEvents)
	}
}
