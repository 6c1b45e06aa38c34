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

// fingerprint gives each letter of a test's script a fingerprint.
func fingerprint(letter rune) proto.Fingerprint { return proto.Fingerprint(letter) }

// play applies steps, one a second: "+abc" is a crash with these running, "-a" clears, "~a" unblocks.
func play(bok *crash.Attribution, steps string) time.Time {
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
			bok.AddCrash(crs)
			bok.AddCrash(crs) // A repeated record must have no effect.
		case '-':
			_, cas := bok.Status(fingerprint(letter), now)
			bok.ClearSuspect(proto.Clear{Fingerprint: fingerprint(letter), Crash: cas.Crash})
		case '~':
			bok.Unblock(crash.Unblock{Fingerprint: fingerprint(letter), Operator: "o", Request: fmt.Sprint(idx)})
		}
	}
	return now
}

// Guards against a verdict that falls on the wrong request, or on none.
func TestRules(t *testing.T) {
	for _, tst := range []struct{ name, steps, suspects, blocked string }{
		{"all that ran are suspects", "+kab", "abk", ""},
		{"one crash blocked nobody, even alone", "+k", "k", ""},
		{"the only suspect is blocked, which explains both crashes", "+kab -a +kcd", "", "k"},
		{"a second crash at the same moment blocked by what both have in common", "+kab +kcd", "", "k"},
		{"a block does not explain the crashes of others", "+kab +xyz +kc", "xyz", "k"},
		{"several suspects block nobody", "+kab +kac", "abck", ""},
		{"no suspect among those running", "+ab +cd", "abcd", ""},
		{"a blocked request explains later crashes", "+k +k +kab", "", "k"},
		{"a finished suspect is cleared", "+kab -a", "bk", ""},
		{"a blocked request is not cleared by finishing", "+k +k -k", "", "k"},
		{"an unblocked block is free", "+k +k ~k", "", ""},
		{"an unblocked request may be suspected again", "+k +k ~k +k", "k", ""},
		{"a suspicion that has expired blocked nobody", "+k -z -z -z -z -z -z -z -z -z -z +k", "k", ""},
	} {
		t.Run(tst.name, func(t *testing.T) {
			is := is.New(t)
			var bok crash.Attribution
			suspects, blocked := bok.List(play(&bok, tst.steps))
			is.Equal(letters(suspects), tst.suspects)
			is.Equal(letters(blocked), tst.blocked)
		})
	}
}

func letters(list []crash.Suspicion) string {
	var out []string
	for _, cas := range list {
		out = append(out, string(rune(cas.Fingerprint)))
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// Guards against a late clear of an earlier crash that lifts the suspicion of a later one.
func TestClearOfEarlierCrash(t *testing.T) {
	is := is.New(t)
	var bok crash.Attribution
	now := play(&bok, "+ka +kab")
	bok.ClearSuspect(proto.Clear{Fingerprint: fingerprint('k'), Crash: "crash-0"})
	verdict, _ := bok.Status(fingerprint('k'), now)
	is.Equal(verdict, crash.StatusSuspected)
}

// Guards against a book that crashes make grow without bound, and against one that still refuses after expiry.
func TestBounds(t *testing.T) {
	is := is.New(t)
	var bok crash.Attribution
	for num := range 10_000 {
		crs := proto.Crash{ID: fmt.Sprint(num), At: int64(num), SuspectFor: time.Hour, BlockFor: time.Hour}
		crs.Running = []proto.Fingerprint{proto.Fingerprint(num/2 + 1), proto.Fingerprint(1e6 + num)}
		bok.AddCrash(crs)
		crs.ID += "-other"
		crs.Running = []proto.Fingerprint{proto.Fingerprint(2e6 + num)}
		bok.AddCrash(crs)
		bok.Unblock(crash.Unblock{Fingerprint: 1, Operator: "o", Request: crs.ID})
	}
	is.True(len(bok.Suspects) > 1000 && len(bok.Suspects) <= 1024) // A block has just freed some.
	is.Equal(len(bok.Blocked), 256)
	is.Equal(len(bok.Crashes), 128)
	is.Equal(len(bok.Unblocks), 100)
	suspects, blocked := bok.List(time.UnixMilli(0).Add(2 * time.Hour))
	is.Equal(len(suspects)+len(blocked), 0)
}
