package link_test

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

func options(name, secret string) link.Options {
	return link.Options{
		Secret:           []byte(secret),
		Local:            proto.Peer{Name: name},
		Clock:            timer.New(),
		Metrics:          metric.New(),
		Log:              logr.Discard(),
		HeartbeatMessage: func() (proto.Kind, any) { return proto.KindHeartbeat, proto.Heartbeat{} },
	}
}

// serve starts a listener whose streams are handled by onOpen, and returns its address.
func serve(t *testing.T, onOpen func(str *link.Stream, msg proto.Open)) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	opts := options("server", "secret")
	opts.OnOpen = onOpen
	srv := httptest.NewServer(link.Handler(ctx, opts, func(*link.Conn) {}))
	t.Cleanup(srv.Close)
	t.Cleanup(cancel)
	return strings.TrimPrefix(srv.URL, "http://")
}

func dial(t *testing.T, addr string) *link.Conn {
	t.Helper()
	con, err := link.Dial(context.Background(), addr, options("client", "secret"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(con.Close)
	return con
}

// echo sends the request's body back.
func echo(str *link.Stream, _ proto.Open) {
	if _, err := io.Copy(str, str.Body(str.Context())); err == nil {
		_ = str.CloseWrite()
	}
	<-str.Context().Done()
}

// Guards against accepting a peer that does not know the deployment's secret.
func TestWrongSecretIsRefused(t *testing.T) {
	is := is.New(t)
	addr := serve(t, echo)
	_, err := link.Dial(context.Background(), addr, options("client", "guess"))
	is.True(err != nil)
	is.True(trace.IsConnectionProblem(err) || trace.IsAccessDenied(err))
}

// Guards against bodies of concurrent streams that are truncated, reordered or delivered on another stream.
func TestConcurrentBodiesDoNotMix(t *testing.T) {
	is := is.New(t)
	con := dial(t, serve(t, echo))
	const count = 20
	errs := make(chan error, count)
	for idx := range count {
		go func() {
			str, err := con.Open(context.Background(), proto.Open{})
			if err != nil {
				errs <- err
				return
			}
			defer str.Close()
			want := bytes.Repeat([]byte{byte(idx)}, 5*link.WindowBytes+idx)
			go func() {
				_, _ = str.Write(want)
				_ = str.CloseWrite()
			}()
			got, err := io.ReadAll(str.Body(context.Background()))
			if err == nil && !bytes.Equal(got, want) {
				err = trace.BadParameter("stream %d: the %d echoed bytes differ from those sent", idx, len(got))
			}
			errs <- err
		}()
	}
	for range count {
		is.NoErr(<-errs)
	}
}

// Guards against a stream that nobody reads blocking the other streams of its connection.
func TestUnreadStreamDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	con := dial(t, serve(t, func(str *link.Stream, _ proto.Open) {
		_, _ = str.Write(make([]byte, 4*link.WindowBytes))
		_ = str.CloseWrite()
		<-str.Context().Done()
	}))
	slow, err := con.Open(context.Background(), proto.Open{})
	is.NoErr(err)
	defer slow.Close()
	fast, err := con.Open(context.Background(), proto.Open{})
	is.NoErr(err)
	defer fast.Close()
	got, err := io.ReadAll(fast.Body(context.Background()))
	is.NoErr(err)
	is.Equal(len(got), 4*link.WindowBytes)
}

// Guards against an attempt that keeps running at the other end after it was cancelled.
func TestCancelEndsStreamContext(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	con := dial(t, serve(t, func(str *link.Stream, _ proto.Open) {
		<-str.Context().Done()
		close(ended)
	}))
	str, err := con.Open(context.Background(), proto.Open{})
	is.NoErr(err)
	is.NoErr(str.Send(proto.KindCancel, proto.Cancel{Reason: "caller-gone"}))
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the stream's context did not end")
	}
}

// Guards against streams that outlive their connection.
func TestLostConnectionEndsStreams(t *testing.T) {
	is := is.New(t)
	con := dial(t, serve(t, echo))
	str, err := con.Open(context.Background(), proto.Open{})
	is.NoErr(err)
	con.Close()
	_, err = str.Next(context.Background())
	is.True(err != nil)
	is.Equal(con.OpenStreams(), 0)
}

// Guards against Open blocking past the caller's deadline when the peer has stopped reading and the send queue is full.
func TestOpenEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	con := dial(t, serve(t, echo))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	count := con.OpenStreams()
	for range 1000 {
		if _, err := con.Open(ctx, proto.Open{}); err != nil {
			is.Equal(con.OpenStreams(), count) // The stream that was not opened is removed.
			return
		}
		count++
	}
	t.Fatal("streams were opened although the context had ended")
}

// Guards against losing a result because the process stops while the result is still in the send queue, or before the
// peer has read it.
func TestShutdownDeliversWhatWasSent(t *testing.T) {
	is := is.New(t)
	con := dial(t, serve(t, func(str *link.Stream, _ proto.Open) {
		_, _ = str.Write(make([]byte, link.WindowBytes))
		_ = str.Send(proto.KindResult, proto.Result{Outcome: proto.OutcomeDone})
		go func() { _ = str.Conn().Shutdown(context.Background()) }() // It waits for this handler.
		<-str.Context().Done()
	}))
	str, err := con.Open(context.Background(), proto.Open{})
	is.NoErr(err)
	kind := proto.KindData
	for kind == proto.KindData {
		frm, err := str.Next(context.Background())
		is.NoErr(err)
		kind = frm.Kind
	}
	is.Equal(kind, proto.KindResult)
}
