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
		Secret:  []byte(secret),
		Local:   proto.Peer{Name: name},
		Clock:   timer.New(),
		Metrics: metric.New(),
		Log:     logr.Discard(),
		Beat:    func() (proto.Kind, any) { return proto.KindBeat, proto.Beat{} },
	}
}

// serve starts a listening side whose streams are handled by onOpen and returns its address.
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

// Guards against a peer that does not know the secret being let in.
func TestWrongSecretIsRefused(t *testing.T) {
	is := is.New(t)
	addr := serve(t, echo)
	_, err := link.Dial(context.Background(), addr, options("client", "guess"))
	is.True(err != nil)
	is.True(trace.IsConnectionProblem(err) || trace.IsAccessDenied(err))
}

// Guards against bodies that are cut, reordered or delivered on another stream.
func TestBodiesKeepApart(t *testing.T) {
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
			want := bytes.Repeat([]byte{byte(idx)}, 5*link.Window+idx)
			go func() {
				_, _ = str.Write(want)
				_ = str.CloseWrite()
			}()
			got, err := io.ReadAll(str.Body(context.Background()))
			if err == nil && !bytes.Equal(got, want) {
				err = trace.BadParameter("stream %d received %d other bytes", idx, len(got))
			}
			errs <- err
		}()
	}
	for range count {
		is.NoErr(<-errs)
	}
}

// Guards against one reader that takes nothing holding up the other streams of its connection.
func TestSlowReaderHoldsUpNoOther(t *testing.T) {
	is := is.New(t)
	con := dial(t, serve(t, func(str *link.Stream, _ proto.Open) {
		_, _ = str.Write(make([]byte, 4*link.Window))
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
	is.Equal(len(got), 4*link.Window)
}

// Guards against a cancelled attempt that goes on at the other end.
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

// Guards against a caller that waits past its deadline for a connection whose peer takes nothing.
func TestOpenEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	con := dial(t, serve(t, echo))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	count := con.OpenStreams()
	for range 1000 {
		if _, err := con.Open(ctx, proto.Open{}); err != nil {
			is.Equal(con.OpenStreams(), count) // The stream that was not opened is forgotten.
			return
		}
		count++
	}
	t.Fatal("streams were opened although the context had ended")
}

// Guards against a result that is lost because its process ends while the result waits in the send queue, or is not
// read by the peer yet.
func TestShutdownDeliversWhatWasSent(t *testing.T) {
	is := is.New(t)
	con := dial(t, serve(t, func(str *link.Stream, _ proto.Open) {
		_, _ = str.Write(make([]byte, link.Window))
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
