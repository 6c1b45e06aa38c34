package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/relay"
)

// Sizes of streams to clients that read slowly. A stream is more than the sockets hold, whose buffers are small.
const (
	slowEvents     = 400
	slowEventBytes = 2 << 10
	socketBytes    = 8 << 10
	patience       = 1500 * time.Millisecond // after which a replica cuts off a response that remains unread
	// longPatience takes the place of patience for clients that never stop to read, whose streams would be cut off only
	// because the machine stalls.
	longPatience = 5 * time.Second
)

// slowReplica sends long streams and cuts off those that remain unread for the given time, or for longPatience if they
// are resumed.
type slowReplica struct {
	*replica
	cut      atomic.Int64 // streams that remained unread
	complete atomic.Int64
}

func newSlowReplica(t *testing.T, patience time.Duration) *slowReplica {
	t.Helper()
	rep := &slowReplica{}
	rep.replica = newReplica(t, func(con net.Conn, req request) bool {
		_ = con.(*net.TCPConn).SetWriteBuffer(socketBytes)
		_, _ = io.WriteString(con, streamHead(req, "Transfer-Encoding: chunked"))
		limit := patience
		if lastEventID(req) > 0 {
			limit = longPatience
		}
		for num := lastEventID(req) + 1; num <= slowEvents; num++ {
			text := slowEvent(num)
			_ = con.SetWriteDeadline(time.Now().Add(limit))
			if _, err := fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text); isTimeout(err) {
				rep.cut.Add(1)
				return !resetConn(con)
			} else if err != nil {
				return false
			}
		}
		rep.complete.Add(1)
		_, err := io.WriteString(con, "0\r\n\r\n")
		return err == nil
	})
	return rep
}

// slowEvent returns an event of a stream of a slowReplica.
func slowEvent(num int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", num, strings.Repeat("x", slowEventBytes))
}

// newSlowRig starts a relay with the given memory for bodies and events, whose sockets to clients hold little.
func newSlowRig(t *testing.T, bufferBytes int64, replicas ...*replica) *rig {
	t.Helper()
	rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1, Running: 1}, nil, replicas...)
	rig.opts.BufferBytes, rig.opts.Metrics = bufferBytes, metric.New()
	srv := httptest.NewUnstartedServer(relay.New(rig.opts))
	srv.Config.ConnState = func(con net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = con.(*net.TCPConn).SetWriteBuffer(socketBytes)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	rig.url = srv.URL
	return rig
}

// openSlowly sends a call for a stream on a connection that holds little, and returns the response.
func (rig *rig) openSlowly(ctx context.Context, t *testing.T) *http.Response {
	t.Helper()
	iis := is.New(t)
	dialer := net.Dialer{}
	cli := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			con, err := dialer.DialContext(ctx, network, addr)
			if err == nil {
				_ = con.(*net.TCPConn).SetReadBuffer(socketBytes)
			}
			return con, err
		},
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, rig.url+"/stream/x", strings.NewReader("asked"))
	iis.NoErr(err)
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	req.Header.Set("Tarragonwheel-Request-Deadline-Ms", "30000")
	req.Header.Set("Api-Key", "k")
	res, err := cli.Do(req)
	iis.NoErr(err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// readWhole reads a stream and checks that it is whole.
func readWhole(t *testing.T, body io.Reader) {
	t.Helper()
	iis := is.New(t)
	raw, err := io.ReadAll(body)
	iis.NoErr(err)
	var want strings.Builder
	for num := 1; num <= slowEvents; num++ {
		want.WriteString(slowEvent(num))
	}
	iis.True(string(raw) == want.String())
}

// gauge returns the value of a gauge.
func (rig *rig) gauge(t *testing.T, name string) int64 {
	t.Helper()
	families, err := rig.opts.Metrics.Registry().Gather()
	is.New(t).NoErr(err)
	for _, fam := range families {
		if fam.GetName() == "tarragonwheel_"+name {
			return int64(fam.GetMetric()[0].GetGauge().GetValue())
		}
	}
	t.Fatal("no gauge", name)
	return 0
}

// TestStreamIsReadForAClientThatDoesNotRead guards against a replica that cuts off a stream because its client does not
// read for some seconds.
func TestStreamIsReadForAClientThatDoesNotRead(t *testing.T) {
	iis := is.New(t)
	rep := newSlowReplica(t, patience)
	rig := newSlowRig(t, 64<<20, rep.replica)
	res := rig.openSlowly(t.Context(), t) //nolint:bodyclose // The test closes it at its end.
	time.Sleep(2 * patience)
	iis.Equal(rep.complete.Load(), int64(1))
	iis.True(rig.gauge(t, "read_ahead_bytes") > 0)
	readWhole(t, res.Body)
	iis.Equal(rep.cut.Load(), int64(0))
	iis.Equal(rep.calls.Load(), int64(1))
	iis.Equal(rig.event(t, "client-reads-slowly"), 1)
	waitForZero(t, rig)
}

// TestSlowReaderGetsAll guards against lost or doubled events of a stream whose client reads slowly all the time.
func TestSlowReaderGetsAll(t *testing.T) {
	iis := is.New(t)
	rep := newSlowReplica(t, longPatience)
	rig := newSlowRig(t, 64<<20, rep.replica)
	res := rig.openSlowly(t.Context(), t) //nolint:bodyclose // The test closes it at its end.
	readWhole(t, &slowReader{src: res.Body})
	iis.Equal(rig.event(t, "client-reads-slowly"), 1)
	iis.Equal(rep.cut.Load(), int64(0))
	iis.Equal(rep.calls.Load(), int64(1))
	waitForZero(t, rig)
}

// slowReader reads a little at a time.
type slowReader struct{ src io.Reader }

func (rdr *slowReader) Read(buf []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return rdr.src.Read(buf[:min(len(buf), 1500)])
}

// TestUnreadStreamThatIsCutOffIsResumed guards against replicas that are avoided, and calls that are refused, because
// this process left a stream unread until the replica cut it off.
func TestUnreadStreamThatIsCutOffIsResumed(t *testing.T) {
	iis := is.New(t)
	one, two := newSlowReplica(t, patience), newSlowReplica(t, patience)
	rig := newSlowRig(t, 1<<20, one.replica, two.replica) // 32 kB of it for this call
	res := rig.openSlowly(t.Context(), t)                 //nolint:bodyclose // The test closes it at its end.
	time.Sleep(3 * patience)
	iis.Equal(one.cut.Load()+two.cut.Load(), int64(1))
	readWhole(t, res.Body)
	iis.Equal(one.calls.Load()+two.calls.Load(), int64(2))
	iis.Equal(rig.event(t, "unread-stream-cut"), 1)
	iis.Equal(rig.event(t, "answer-broken-off"), 0)
	views, _ := rig.flt.ReplicaSet("s").CellViews("z", nil)
	for _, vie := range views {
		iis.Equal(vie.FailureRate, 0.0)
	}
	waitForZero(t, rig)
}

// TestManyClientsThatDoNotRead guards against memory that grows with the number of clients that do not read, and
// against other calls that are refused or wait because of them.
func TestManyClientsThatDoNotRead(t *testing.T) {
	const (
		clients     = 300
		bufferBytes = 8 << 20
	)
	iis := is.New(t)
	rep := newSlowReplica(t, patience)
	rig := newSlowRig(t, bufferBytes, rep.replica)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wgr sync.WaitGroup
	for range clients {
		wgr.Go(func() { rig.openSlowly(ctx, t) }) //nolint:bodyclose // The test closes it at its end.
	}
	wgr.Wait()
	var most int64
	for end := time.Now().Add(2 * patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		most = max(most, rig.gauge(t, "read_ahead_bytes"))
	}
	t.Log("held", most)
	iis.True(most > bufferBytes/4)
	iis.True(most <= bufferBytes/2+clients*(slowEventBytes+100)) // One event each is held in any case.
	res := rig.openSlowly(t.Context(), t)                        //nolint:bodyclose // The test closes it at its end.
	readWhole(t, res.Body)
	cancel()
	waitForZero(t, rig)
}

// waitForZero waits until no memory is held.
func waitForZero(t *testing.T, rig *rig) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if rig.gauge(t, "read_ahead_bytes") == 0 && rig.gauge(t, "buffer_bytes") == 0 {
			return
		}
	}
	t.Errorf("held: %d of %d", rig.gauge(t, "read_ahead_bytes"), rig.gauge(t, "buffer_bytes"))
}
