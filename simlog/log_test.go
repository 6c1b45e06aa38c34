package simlog_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/simlog"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

func start(t *testing.T, opts simlog.Options) (*simlog.Log, *logsvc.Client) {
	t.Helper()
	log := simlog.New(opts)
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(srv.Close)
	return log, logsvc.New(strings.TrimPrefix(srv.URL, "http://"))
}

// Guards against offsets that skip, repeat or depend on another stream.
func TestAppendAndRead(t *testing.T) {
	is := is.New(t)
	_, cli := start(t, simlog.Options{Clock: timer.New()})
	ctx := context.Background()
	for want := int64(1); want <= 3; want++ {
		off, err := cli.Append(ctx, "config", []byte{byte(want)})
		is.NoErr(err)
		is.Equal(off, want)
	}
	bat, err := cli.Read(ctx, "config", 2, 10, 0)
	is.NoErr(err)
	is.Equal(len(bat.Records), 2)
	is.Equal(bat.Records[0].Data, []byte{2})
	is.Equal(bat.Next, int64(4))
}

// TestLowAppendRate guards against a simulator with a limit below one append per second that refuses all of them.
func TestLowAppendRate(t *testing.T) {
	iis := is.New(t)
	_, cli := start(t, simlog.Options{Clock: timer.New(), AppendRate: 0.1})
	_, err := cli.Append(t.Context(), "config", []byte{1})
	iis.NoErr(err)
	_, err = cli.Append(t.Context(), "config", []byte{2})
	iis.True(err != nil)
}

// Guards against a simulator that loses the record together with the response. Clients would then never be tested with
// appends that took effect although they failed.
func TestLostAnswerTakesEffect(t *testing.T) {
	is := is.New(t)
	log, cli := start(t, simlog.Options{Clock: timer.New()})
	ctx := context.Background()
	log.LoseResponses(1)
	_, err := cli.Append(ctx, "config", []byte("a"))
	is.True(trace.IsConnectionProblem(err))
	bat, err := cli.Read(ctx, "config", 1, 10, 0)
	is.NoErr(err)
	is.Equal(len(bat.Records), 1)
}

// Guards against records that can still be read after their retention time.
func TestRetention(t *testing.T) {
	is := is.New(t)
	clk, man := timer.NewManual(time.Unix(0, 0))
	_, cli := start(t, simlog.Options{Clock: clk, Retention: time.Minute})
	ctx := context.Background()
	_, err := cli.Append(ctx, "config", []byte("a"))
	is.NoErr(err)
	man.Advance(2 * time.Minute)
	_, err = cli.Append(ctx, "config", []byte("b"))
	is.NoErr(err)
	bat, err := cli.Read(ctx, "config", 1, 10, 0)
	is.NoErr(err)
	is.Equal(bat.Oldest, int64(2))
	is.Equal(len(bat.Records), 1)
}

// Guards against a long poll that an append does not end.
func TestWaitingReadReturnsNewRecord(t *testing.T) {
	is := is.New(t)
	_, cli := start(t, simlog.Options{Clock: timer.New()})
	ctx := context.Background()
	got := make(chan logsvc.Batch, 1)
	go func() {
		bat, _ := cli.Read(ctx, "config", 1, 10, 20*time.Second)
		got <- bat
	}()
	_, err := cli.Append(ctx, "config", []byte("a"))
	is.NoErr(err)
	is.Equal(len((<-got).Records), 1)
}
