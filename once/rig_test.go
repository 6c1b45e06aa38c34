package once_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simlog"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const testTimeout = 20 * time.Second

// bench is a simulated log with a client, and the clock of the recorders under test.
type bench struct {
	log   *simlog.Log
	cli   *logsvc.Client
	clock *timer.Service
}

func newBench(t testing.TB, clk *timer.Service) *bench {
	t.Helper()
	return newLimitedBench(t, clk, 0)
}

// newLimitedBench returns a bench whose log accepts the given number of appends a second; 0 for no limit.
func newLimitedBench(t testing.TB, clk *timer.Service, appendRate float64) *bench {
	t.Helper()
	log := simlog.New(simlog.Options{Clock: timer.New(), AppendRate: appendRate})
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(srv.Close)
	return &bench{log: log, cli: logsvc.New(strings.TrimPrefix(srv.URL, "http://")), clock: clk}
}

// start starts a recorder, as another process of the same service, with the default options after change.
func (ben *bench) start(t testing.TB, change func(opts *once.Options)) (*once.Recorder, *group.Group) {
	t.Helper()
	grp := group.New(context.Background(), "once")
	t.Cleanup(func() { _ = grp.Stop() })
	opts := once.Options{
		Service: "holds", Slots: 4, AppendRate: 1000, RecordLimit: testTimeout, Window: time.Minute,
		AnswerMemory: 1 << 20, Clock: ben.clock, Metrics: metric.New(), Log: logr.Discard(),
		Append: ben.cli.Append, Read: ben.cli.Read,
	}
	if change != nil {
		change(&opts)
	}
	rec := once.New(grp, opts)
	until(t, rec.Ready)
	return rec, grp
}

// untilDone repeats the call with key "k" and body "b" until it is done.
func (ben *bench) untilDone(t testing.TB, rec *once.Recorder, svc *service) {
	t.Helper()
	until(t, func() bool {
		return rec.Do(context.Background(), ben.request("k", "b"), svc.run).Outcome == proto.OutcomeDone
	})
}

func until(t testing.TB, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the condition was not met within %s", testTimeout)
		}
	}
}

func (ben *bench) request(key, body string) once.Request {
	return once.Request{
		Key: once.NewKey("acc", key), Hash: once.NewRequestHash("POST", "/", []byte(body)),
		Deadline: ben.clock.Now().Add(20 * time.Second),
	}
}

// service is a simulated service. It counts the calls that it runs, and answers with a body of the given size in bytes.
type service struct {
	runs atomic.Int32
	size int
}

func (svc *service) run(_ context.Context, gate func() error) (once.Answer, bool, error) {
	if err := gate(); err != nil {
		return once.Answer{}, false, err
	}
	svc.runs.Add(1)
	return once.Answer{Status: 201, ContentType: "text/plain", Body: make([]byte, svc.size)}, true, nil
}
