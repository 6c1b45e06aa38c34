package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Guards against a suspect that is sent again while an agent may still run another copy of it, or does not know yet
// that it is suspected.
func TestAgentSettlesCrash(t *testing.T) {
	sus := crash.Suspicion{Fingerprint: 7, Crash: "2"}
	for _, tst := range []struct {
		name    string
		ack     crashAck
		settles bool
	}{
		{"no report yet", crashAck{}, false},
		{"another crash known", crashAck{known: []string{"1"}}, false},
		{"crash known, copy held", crashAck{known: []string{"1", "2"}, held: []proto.Fingerprint{7}}, false},
		{"crash known, another suspect held", crashAck{known: []string{"1", "2"}, held: []proto.Fingerprint{8}}, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tst.ack.settles(sus), tst.settles)
		})
	}
}

// Guards against a waiting call that misses a report, or a lost agent whose report still counts after it reconnects.
func TestCrashAcksNotify(t *testing.T) {
	is := is.New(t)
	acs := newCrashAcks()
	changedBy := func(change func()) bool {
		_, changed := acs.of("a")
		change()
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	ack := crashAck{known: []string{"1"}, held: []proto.Fingerprint{7}}
	is.True(changedBy(func() { acs.record("a", ack) }))
	is.True(!changedBy(func() { acs.record("a", ack) })) // unchanged
	is.True(changedBy(func() { acs.record("a", crashAck{known: []string{"1"}}) }))
	is.True(changedBy(func() { acs.remove("a") }))
	got, _ := acs.of("a")
	is.Equal(got, crashAck{})
}
