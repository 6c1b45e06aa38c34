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
	hdl.opts.Crashes.AwaitDecision(hdl.ctx, cal)
	if !hdl.opts.Crashes.Blocked(cal) {
		return false
	}
	hdl.opts.Log.Info("relay: call is refused because it crashes replicas", "call", hdl.cal.ID,
		"parts", strings.Join(hdl.cal.Prompt.Parts, ","), "fingerprint", strconv.FormatUint(cal.Fingerprint, 16))
	return true
}

// mayCrashReplicas tells whether it is about to be known that replicas have crashed under the call.
func (hdl *callHandler) mayCrashReplicas() bool {
	return hdl.opts.Crashes.Active() && hdl.opts.Crashes.Undecided(hdl.causeCall())
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
