package crash_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// fingerprint returns the fingerprint of the request that a letter stands for in the steps of a test.
func fingerprint(letter rune) proto.Fingerprint { return proto.Fingerprint(letter) }

// applySteps applies steps one second apart and returns the time of the last one: "+abc" is a crash while the requests
// a, b and c were running, "-a" clears the suspect a, "~a" unblocks a.
func applySteps(att *crash.Attribution, steps string) time.Time {
	now := time.UnixMilli(0)
	for idx, step := range strings.Fields(steps) {
		now = now.Add(time.Second)
		switch letter := rune(step[1]); step[0] {
		case '+':
			crs := proto.Crash{
				ID: fmt.Sprint("crash-", idx), At: now.UnixMilli(), SuspectFor: 10 * time.Second, BlockFor: time.Hour,
			}
			for _, run := range step[1:] {
				crs.Running = append(crs.Running, fingerprint(run))
			}
			att.AddCrash(crs)
			att.AddCrash(crs) // A duplicate record must have no effect.
		case '-':
			_, sus := att.Status(fingerprint(letter), now)
			att.ClearSuspect(proto.Clear{Fingerprint: fingerprint(letter), Crash: sus.Crash})
		case '~':
			att.Unblock(crash.Unblock{Fingerprint: fingerprint(letter), Operator: "o", Request: fmt.Sprint(idx)})
		}
	}
	return now
}

// Guards against a crash that is attributed to the wrong request, or to none.
func TestAttributionRules(t *testing.T) {
	for _, tst := range []struct{ name, steps, suspects, blocked string }{
		{"all running requests become suspects", "+kab", "abk", ""},
		{"one crash does not block a request, even if it ran alone", "+k", "k", ""},
		{"the only running suspect is blocked and both crashes are attributed to it", "+kab -a +kcd", "", "k"},
		{"the request common to two simultaneous crashes is blocked", "+kab +kcd", "", "k"},
		{"a block does not clear the suspects of unrelated crashes", "+kab +xyz +kc", "xyz", "k"},
		{"no request is blocked if several suspects were running", "+kab +kac", "abck", ""},
		{"without running suspects all running requests become suspects", "+ab +cd", "abcd", ""},
		{"later crashes are attributed to a running blocked request", "+k +k +kab", "", "k"},
		{"a suspect that finishes is cleared", "+kab -a", "bk", ""},
		{"a blocked request that finishes stays blocked", "+k +k -k", "", "k"},
		{"an unblocked request is free", "+k +k ~k", "", ""},
		{"an unblocked request may be suspected again", "+k +k ~k +k", "k", ""},
		{"an expired suspicion does not lead to a block", "+k -z -z -z -z -z -z -z -z -z -z +k", "k", ""},
	} {
		t.Run(tst.name, func(t *testing.T) {
			is := is.New(t)
			var att crash.Attribution
			suspects, blocked := att.List(applySteps(&att, tst.steps))
			is.Equal(letters(suspects), tst.suspects)
			is.Equal(letters(blocked), tst.blocked)
		})
	}
}

func letters(list []crash.Suspicion) string {
	var out []string
	for _, sus := range list {
		out = append(out, string(rune(sus.Fingerprint)))
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// Guards against a delayed clear for an earlier crash that removes the suspicion of a later one.
func TestClearOfEarlierCrash(t *testing.T) {
	is := is.New(t)
	var att crash.Attribution
	now := applySteps(&att, "+ka +kab")
	att.ClearSuspect(proto.Clear{Fingerprint: fingerprint('k'), Crash: "crash-0"})
	status, _ := att.Status(fingerprint('k'), now)
	is.Equal(status, crash.StatusSuspected)
}

// Guards against an Attribution that grows without bound with the number of crashes, and against suspicions and blocks
// that last beyond their expiry.
func TestBounds(t *testing.T) {
	is := is.New(t)
	var att crash.Attribution
	for num := range 10_000 {
		crs := proto.Crash{ID: fmt.Sprint(num), At: int64(num), SuspectFor: time.Hour, BlockFor: time.Hour}
		crs.Running = []proto.Fingerprint{proto.Fingerprint(num/2 + 1), proto.Fingerprint(1e6 + num)}
		att.AddCrash(crs)
		crs.ID += "-other"
		crs.Running = []proto.Fingerprint{proto.Fingerprint(2e6 + num)}
		att.AddCrash(crs)
		att.Unblock(crash.Unblock{Fingerprint: 1, Operator: "o", Request: crs.ID})
	}
	is.True(len(att.Suspects) > 1000 && len(att.Suspects) <= 1024) // The last block cleared some.
	is.Equal(len(att.Blocked), 256)
	is.Equal(len(att.Crashes), 128)
	is.Equal(len(att.Unblocks), 100)
	suspects, blocked := att.List(time.UnixMilli(0).Add(2 * time.Hour))
	is.Equal(len(suspects)+len(blocked), 0)
}
