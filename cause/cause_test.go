package cause_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// call returns the call that a text stands for: a letter, and after a colon a letter for each part of its prompt, F for
// its family.
func call(text string) cause.Call {
	name, parts, _ := strings.Cut(text, ":")
	cal := cause.Call{Fingerprint: uint64(name[0])}
	for _, letter := range parts {
		part := cause.Feature(uint64(letter) << 8)
		if letter == 'F' {
			part = cause.Family(part)
		}
		cal.Parts = append(cal.Parts, part)
	}
	return cal
}

// applySteps applies steps 100 ms apart: "1+a,b:PQ" is a crash of replica 1 that breaks call a and call b with the
// parts P and Q, "1*a" one that breaks an answer beyond its beginning, "~a" is such an answer, "-a" is a complete one,
// "+5s" is a pause.
func applySteps(t *testing.T, trk *cause.Tracker, man *timer.Manual, steps string) {
	t.Helper()
	for _, step := range strings.Fields(steps) {
		man.Advance(100 * time.Millisecond)
		pos := strings.IndexAny(step, "+*~-")
		replica, kind, rest := step[:pos], step[pos], step[pos+1:]
		pause, err := time.ParseDuration(rest)
		switch {
		case kind == '~':
			trk.RecordProgress(call(rest))
		case kind == '-':
			trk.RecordAnswer(call(rest))
		case replica == "" && err == nil:
			man.Advance(pause)
		default:
			for text := range strings.SplitSeq(rest, ",") {
				trk.RecordCrash(replica, call(text), kind == '*')
			}
		}
	}
}

// blockedCalls returns the letters of the blocked calls.
func blockedCalls(trk *cause.Tracker) string {
	var out strings.Builder
	for letter := 'a'; letter <= 'z'; letter++ {
		if trk.Blocked(call(string(letter))) {
			out.WriteRune(letter)
		}
	}
	return out.String()
}

// TestBlockedCalls guards against crashes that are attributed to the wrong call, or to none.
func TestBlockedCalls(t *testing.T) {
	for _, tst := range []struct{ name, steps, blocked string }{
		{"one crash blocks no call", "1+k", ""},
		{"two crashes block their only common call", "1+k,a,b 2+k,c", "k"},
		{"repeated reports of one crash count once", "1+k 1+k 1+k", ""},
		{"a replica that is started again may crash again", "1+k +5s 1+k", "k"},
		{"an answered call is no suspect of earlier crashes", "1+k -k 2+k", ""},
		{"an answer to another call clears nothing", "1+k -a 2+k", "k"},
		{"two calls that took part in both crashes wait for a third", "1+k,a 2+k,a", ""},
		{"the third crash decides", "1+k,a 2+k,a 3+k,b", "k"},
		{"an answer decides", "1+k,a 2+k,a -a", "k"},
		{"calls beside a blocked one are no suspects", "1+k,a 2+k,b 3+k,a,b", "k"},
		{"a block does not explain crashes without the call", "1+k 2+k 3+a 4+a", "ak"},
		{"a block ends", "1+k 2+k +65s", ""},
		{"one more crash blocks again, for longer", "1+k 2+k +65s 3+k +100s", "k"},
		{"a suspicion ends", "1+k +65s 2+k", ""},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			clk, man := timer.NewManual(time.Unix(1700000000, 0))
			trk := cause.New(cause.Options{Clock: clk})
			applySteps(t, trk, man, tst.steps)
			iis.Equal(blockedCalls(trk), tst.blocked)
		})
	}
}

// TestBlockedParts guards against calls that are not refused though they share the part that crashes replicas, and
// against sound ones that are refused because they share other parts.
func TestBlockedParts(t *testing.T) {
	for _, tst := range []struct{ name, steps, blocked, free string }{
		{"the common part of different calls is blocked", "1+a:AP 2+b:BP 3+c:CP", "x:DP", "y:A y:DB"},
		{"two crashes do not suffice", "1+a:AP 2+b:BP", "", "x:DP"},
		{"one call alone says nothing about its parts", "1+a:P 2+a:P 3+a:P", "a:P", "x:P"},
		{"parts of answered calls are no suspects", "1+a:AP 2+b:AP -z:A 3+c:AP", "x:BP", "y:A"},
		{"parts that always occur together are refused together", "1+a:AP 2+b:AP 3+c:AP", "x:AP", "x:BP y:A"},
		{"a crash without the one tells them apart", "1+a:AP 2+b:AP 3+c:AP 4+d:BP", "x:CP", "y:A"},
		{"an answer tells them apart", "1+a:AP 2+b:AP 3+c:AP -z:A", "x:CP", "y:A"},
		{"replicas that are lost at once say nothing about a common part", "-z:A 1+a:A 2+b:A 3+c:A", "", "y:A"},
		{
			"calls beside a blocked part are no suspects", "1+a:P,k:Q 2+b:P,k:Q 3+c:P,k:Q,l:Q", "x:P",
			"k:Q l:Q y:Q",
		},
		{"a part that is answered again is free", "1+a:AP 2+b:BP 3+c:CP -d:P", "", "x:P"},
		{
			"answers that go beyond their beginning are no proof",
			"1+a:P ~a:P +1s 2+b:P ~b:P +1s 3+c:P ~c:P +1s 4+d:P ~d:P +1s 5+e:P", "x:P", "y:A",
		},
		{"they make a part a weaker suspect", "1+a:P ~a:P 2+b:P ~b:P 3+c:P ~c:P", "", "x:P"},
		{
			"crashes far into answers count less", "1*a:P +250ms 2*b:P +250ms 3*c:P +250ms 4*d:P", "", "x:P",
		},
		{
			"five of them block", "1*a:P +250ms 2*b:P +250ms 3*c:P +250ms 4*d:P +250ms 5*e:P", "x:P", "y:A",
		},
		{"those of replicas that are lost together count once", "1*a:P 2*b:P 3*c:P 4*d:P 5*e:P 6*f:P", "", "x:P"},
		{"those of one call are not lost together", "1*a:P 2*a:P +250ms 3*b:P 4*b:P 5*b:P", "x:P", "y:A"},
		{
			"a part of sound calls beside a blocked one is free",
			"1+a:AP,k:A 2+b:AP ~z:A 3+c:BP,l:A ~z:A", "x:P", "y:A y:B",
		},
		{
			"calls that differ only in their query are refused together after more crashes",
			"1+a:F 2+a:F +1s 3+b:F 4+b:F", "", "x:F",
		},
		{"but they are", "1+a:F 2+a:F +1s 3+b:F 4+b:F +1s 5+c:F", "x:F", "y:A"},
		{"unless some are answered", "1+a:F 2+a:F +1s 3+b:F 4+b:F -d:F +1s 5+c:F", "", "x:F"},
		{"replicas that are lost together say nothing of them", "1+a:F 2+b:F 3+c:F 4+d:F 5+e:F 6+f:F", "", "x:F"},
		{"two parts are found at the same time", "1+a:P 2+b:Q 3+c:P 4+d:Q 5+e:P 6+f:Q", "x:P x:Q", "y:A"},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			clk, man := timer.NewManual(time.Unix(1700000000, 0))
			trk := cause.New(cause.Options{Clock: clk})
			applySteps(t, trk, man, tst.steps)
			for _, text := range strings.Fields(tst.blocked) {
				iis.True(trk.Blocked(call(text)))
			}
			for _, text := range strings.Fields(tst.free) {
				iis.True(!trk.Blocked(call(text)))
			}
		})
	}
}

// TestRepeatedReportsCountOnce guards against a call that is refused by every process but one after a single crash,
// because the report of it is sent several times against loss.
func TestRepeatedReportsCountOnce(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	at := clk.Now()
	for range 3 {
		trk.AddReport(cause.Report{Replica: 1, At: at.Add(7 * time.Millisecond), Call: call("k")})
		man.Advance(2 * time.Second)
	}
	iis.True(!trk.Blocked(call("k")))
	trk.AddReport(cause.Report{Replica: 2, At: clk.Now(), Call: call("k")})
	iis.True(trk.Blocked(call("k")))
}

// TestAnswersReachOtherProcesses guards against a call that is refused by a process that has seen none of its answers.
func TestAnswersReachOtherProcesses(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	var two *cause.Tracker
	one := cause.New(cause.Options{
		Clock: clk, OnCrash: func(rpt cause.Report) { two.AddReport(rpt) },
		OnAnswers: func(list []cause.Answer) { two.AddAnswers(list) },
	})
	two = cause.New(cause.Options{Clock: clk})
	applySteps(t, one, man, "1+a 2+a")
	iis.True(two.Blocked(call("a")))
	applySteps(t, one, man, "-a")
	man.Advance(time.Second)
	iis.True(!two.Blocked(call("a")))
	iis.True(!one.Blocked(call("a")))
	applySteps(t, one, man, "1+b -b 2+b")
	man.Advance(time.Second)
	iis.True(!two.Blocked(call("b")))
	iis.True(!one.Blocked(call("b")))
}

// TestWeakerEvidenceDoesNotStandForStronger guards against a sound call that stays refused at processes that have only
// heard that its answer went beyond its beginning, because one that has seen all of it keeps silent then.
func TestWeakerEvidenceDoesNotStandForStronger(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	var sent []cause.Answer
	trk := cause.New(cause.Options{Clock: clk, OnAnswers: func(list []cause.Answer) { sent = append(sent, list...) }})
	trk.RecordCrash("1", call("a"), false)
	trk.RecordAnswer(call("a"))
	trk.AddAnswers([]cause.Answer{{Feature: call("a").Fingerprint, At: clk.Now().Add(time.Millisecond)}})
	man.Advance(time.Second)
	iis.True(slices.ContainsFunc(sent, func(ans cause.Answer) bool { return ans.Complete }))
}

// TestFrequentPartsOutlastManyOthers guards against a part of sound calls that is refused because its answers were
// forgotten among those of many others, just before several replicas are lost.
func TestFrequentPartsOutlastManyOthers(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	frequent := call("a:P").Parts[0]
	for num := range uint64(900) {
		man.Advance(5 * time.Millisecond)
		cal := cause.Call{Parts: []uint64{frequent}}
		for part := range uint64(20) {
			cal.Parts = append(cal.Parts, 1<<40+num<<8+part)
		}
		trk.RecordAnswer(cal)
		for replica := range uint64(3) {
			lost := cause.Call{Fingerprint: num<<8 + replica, Parts: []uint64{frequent}}
			trk.AddReport(cause.Report{Replica: num<<8 + replica, At: clk.Now(), Call: lost})
		}
		iis.True(!trk.Blocked(call("x:P")))
	}
}

// TestAnswerBeforeReportCounts guards against a call that is suspected again by a report that comes late.
func TestAnswerBeforeReportCounts(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	at := clk.Now()
	applySteps(t, trk, man, "1+k -k")
	for replica := range uint64(3) {
		trk.AddReport(cause.Report{Replica: replica, At: at, Call: call("k")})
	}
	iis.True(!trk.Blocked(call("k")))
}

// TestReportsRestoreBlocks guards against a process that has been restarted and sends a call on that the others refuse.
func TestReportsRestoreBlocks(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	one, two := cause.New(cause.Options{Clock: clk}), cause.New(cause.Options{Clock: clk})
	applySteps(t, one, man, "1+k,a 2+k,b -a")
	for _, rpt := range one.BlockingReports() {
		two.AddReport(rpt)
	}
	iis.Equal(blockedCalls(two), "k")
}

// TestBlocksOutlastOtherCrashes guards against a call that runs again because many replicas have crashed for other
// reasons since.
func TestBlocksOutlastOtherCrashes(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	applySteps(t, trk, man, "1+k 2+k")
	iis.Equal(blockedCalls(trk), "k")
	for num := range uint64(500) {
		trk.AddReport(cause.Report{Replica: num, At: clk.Now(), Call: cause.Call{Fingerprint: 1000 + num}})
	}
	iis.Equal(blockedCalls(trk), "k")
}

// TestReportsThatAreReadLaterStayAsTheyAre guards against reports whose parts change while they are being sent.
func TestReportsThatAreReadLaterStayAsTheyAre(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	applySteps(t, trk, man, "1+a:PQ 2+b:PQ 3+c:PQ")
	reports := trk.BlockingReports()
	applySteps(t, trk, man, "-z:P")
	for _, rpt := range reports {
		iis.Equal(rpt.Call.Parts, call("a:PQ").Parts)
	}
}

// TestBounds guards against memory that grows with the number of crashes and calls.
func TestBounds(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	for num := range uint64(20_000) { // Each call takes part in three crashes.
		for replica := range uint64(3) {
			trk.AddReport(cause.Report{Replica: num/100*3 + replica, At: clk.Now(), Call: cause.Call{Fingerprint: num}})
		}
	}
	reports := len(trk.BlockingReports())
	iis.True(reports > 0 && reports <= 128*64)
	man.Advance(2 * time.Hour)
	iis.Equal(len(trk.BlockingReports()), 0)
	iis.True(!trk.Active())
}
