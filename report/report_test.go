package report

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/logs"
	"github.com/tarragonwheel/tarragonwheel/metric"
)

// endLine returns the log line of a call that ended so many milliseconds after midnight.
func endLine(millis int, reason string, status, attempts int, replica, summaryAge string) string {
	at := time.Date(2031, 5, 6, 0, 0, 0, 0, time.UTC).Add(time.Duration(millis) * time.Millisecond)
	return fmt.Sprintf("time=%s level=INFO msg=\"relay: call ended\" process=f1 call=c status=%d reason=%s took=500ms "+
		"attempts=%d events=3 prompt-tokens=1500 first-event=80ms longest-gap=0s replica=%s cell=\"\" position=0 "+
		"parts=1 predicted-first-event=70ms decode-streams=0 prefill-backlog=0s failure-rate=0 short-replicas=0 "+
		"summary-age=%s",
		at.Format(time.RFC3339Nano), status, reason, attempts, replica, summaryAge)
}

func readRun(t *testing.T, lines ...string) *Run {
	t.Helper()
	var run Run
	if err := run.ReadLog(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
		t.Fatal(err)
	}
	return &run
}

// Guards against calls that are counted twice, not at all or for another reason, and against lines that are lost
// without a word.
func TestReasonsAreCounted(t *testing.T) {
	is := is.New(t)
	run := readRun(t,
		endLine(0, "done", 200, 1, "i-1", "0s"),
		"  12.0470 node-1 "+endLine(500, "time-limit", 504, 1, "i-1", "0s"),
		endLine(600, "overload", 503, 0, `""`, "0s"),
		endLine(700, "overload", 503, 0, `""`, "0s"),
		endLine(800, "replica-failed", 503, 1, "i-2", "0s"),
		`time=2031-05-06T00:00:01Z level=INFO msg="fleet: replica drains" note="relay: call ended"`,
		`msg="logs: lines dropped" lines=7`,
		`time=2031-05-06T00:00:01Z level=INFO msg="relay: call ended" status=x`,
		`time=2031-05-06T00:00:01Z level=INFO msg="relay: call ended`,
	)
	is.Equal(run.Calls(), 5)
	is.Equal(run.dropped, 7)
	is.Equal(run.malformed, 2)
	is.Equal(len(run.processes), 1)
	is.Equal(run.incomplete(), []reasonCount{
		{Reason: "overload", Calls: 2}, {Reason: "replica-failed", Calls: 1}, {Reason: "time-limit", Calls: 1},
	})
	is.Equal(run.countReasons((*call).refused), []reasonCount{{Reason: "overload", Calls: 2}})
}

// Guards against a line of the project's own logger that cannot be read back, for example with quoted values.
func TestLinesOfLoggerAreRead(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logs.New(&out, false).Info("a: message", "text", `two "quoted" words = one`, "empty", "", "took", time.Second)
	fds, err := parseLine(out.String())
	is.NoErr(err)
	is.Equal(fds["msg"], "a: message")
	is.Equal(fds["text"], `two "quoted" words = one`)
	is.Equal(fds["empty"], "")
	is.Equal(fds["took"], "1s")
}

// Guards against loads that are attributed to another replica or divided by another time than that of the run.
func TestReplicaLoads(t *testing.T) {
	is := is.New(t)
	run := readRun(t,
		endLine(0, "done", 200, 1, "i-1", "0s"),
		endLine(1000, "done", 200, 1, "i-2", "0s"),
		endLine(1500, "done", 200, 2, "i-2", "0s"),
		endLine(2000, "overload", 503, 0, `""`, "0s"),
	)
	is.Equal(run.replicaLoads(), []replicaLoad{{"i-2", 0.5}, {"i-1", 0.25}})
}

// Guards against prompts that are shown in a class of other lengths.
func TestLengthClasses(t *testing.T) {
	is := is.New(t)
	classes, low, high := readRun(t, endLine(0, "done", 200, 1, "i-1", "0s")).lengthClasses()
	is.Equal([]int{low, high}, []int{11, 11}) // from 1,024 to 2,047 tokens
	is.Equal(len(classes[11].measured), 1)
	is.Equal(classes[11].measured[0], 0.08)
	is.Equal(classes[11].predicted[0], 0.07)
}

// Guards against a page without one of its plots, and against one that needs other files or runs code of a log line.
func TestPageHasAllPlots(t *testing.T) {
	is := is.New(t)
	run := readRun(t,
		endLine(0, "done", 200, 1, "i-1", "250ms"),
		endLine(100, "<script>", 503, 0, `""`, "0s"),
	)
	mts := metric.New()
	mts.CountRequest("<script>")
	mts.CountEvent("log-line-dropped")
	mts.ObserveSummaryAge(0.25)
	for range 2 { // of two processes
		rec := httptest.NewRecorder()
		mts.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		is.NoErr(run.ReadMetrics(rec.Body))
	}
	is.Equal(run.incomplete()[0].Metrics, 2.0)
	var out bytes.Buffer
	is.NoErr(run.WritePage(&out, "Title"))
	page := out.String()
	is.Equal(strings.Count(page, "<svg"), 4)
	is.True(strings.Contains(page, "<td>0.25</td><td>2</td>"))
	is.True(strings.Contains(page, "<td>log-line-dropped</td><td>2</td>"))
	for _, foreign := range []string{"<script", "src=", "<?xml"} {
		is.True(!strings.Contains(page, foreign))
	}
}

// Guards against a failure, or an empty drawing, when a run has nothing to show in a plot, and against a page without
// any call.
func TestPageOfSmallRuns(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(readRun(t, endLine(0, "no-route", 404, 0, `""`, "0s")).WritePage(&out, "Title"))
	is.Equal(strings.Count(out.String(), "No calls of this kind."), 2) // load and age
	is.True(trace.IsNotFound(readRun(t).WritePage(&out, "Title")))
}
