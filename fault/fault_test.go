package fault_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fault"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const hangTimeout = 20 * time.Second // fails a test that would hang

// echoRoute returns a proxy with a route "r" to an echo server.
func echoRoute(t *testing.T) (*fault.Proxy, *fault.Route) {
	t.Helper()
	is := is.New(t)
	lis, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			sock, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(sock, sock)
				_ = sock.Close()
			}()
		}
	}()
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	prx := fault.New(grp, timer.New())
	rte, err := prx.Add("r", "127.0.0.1:0", lis.Addr().String())
	is.NoErr(err)
	return prx, rte
}

// dial connects to the route, with a deadline that fails a test that would hang.
func dial(t *testing.T, rte *fault.Route) *net.TCPConn {
	t.Helper()
	sock, err := net.DialTimeout("tcp", rte.Address(), hangTimeout)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = sock.Close() })
	_ = sock.SetDeadline(time.Now().Add(hangTimeout))
	return sock.(*net.TCPConn)
}

// exchange sends text and reads as many bytes back.
func exchange(sock net.Conn, text string) (string, error) {
	if _, err := io.WriteString(sock, text); err != nil {
		return "", err
	}
	buf := make([]byte, len(text))
	_, err := io.ReadFull(sock, buf)
	return string(buf), err
}

// waitBytes waits until the route has delivered count bytes.
func waitBytes(rte *fault.Route, count int64) {
	for rte.Bytes() < count {
		time.Sleep(time.Millisecond)
	}
}

// Guards against bytes that are lost, reordered or truncated at the end under delay, jitter and loss.
func TestDelayKeepsTheStreamWhole(t *testing.T) {
	is := is.New(t)
	_, rte := echoRoute(t)
	is.NoErr(rte.Set(fault.Faults{
		Delay: time.Millisecond, Jitter: 3 * time.Millisecond, Loss: 0.02, Up: fault.ModePass, Down: fault.ModePass,
	}))
	sock := dial(t, rte)
	sent := make([]byte, 1<<20)
	for idx := range sent {
		sent[idx] = byte(idx * 31 >> 3)
	}
	go func() {
		_, _ = sock.Write(sent)
		_ = sock.CloseWrite()
	}()
	got, err := io.ReadAll(sock)
	is.NoErr(err)
	is.Equal(string(got) == string(sent), true)
}

// Guards against a cut that does not reset open connections, lets new ones through, or cannot be healed.
func TestCutResetsAndHeals(t *testing.T) {
	is := is.New(t)
	_, rte := echoRoute(t)
	sock := dial(t, rte)
	_, err := exchange(sock, "before")
	is.NoErr(err)
	is.NoErr(rte.Set(fault.Faults{Cut: true, Up: fault.ModePass, Down: fault.ModePass}))
	_, err = exchange(sock, "during")
	is.True(err != nil)
	conn, err := net.DialTimeout("tcp", rte.Address(), hangTimeout)
	if err == nil {
		_, err = exchange(conn, "during")
		_ = conn.Close()
	}
	is.True(err != nil)
	rte.Heal()
	got, err := exchange(dial(t, rte), "after")
	is.NoErr(err)
	is.Equal(got, "after")
}

// Guards against held bytes that arrive out of order or never, and against holding the other direction as well.
func TestHoldDeliversAfterwards(t *testing.T) {
	for _, held := range []fault.Faults{
		{Up: fault.ModeHold, Down: fault.ModePass},
		{Up: fault.ModePass, Down: fault.ModeHold},
		{Up: fault.ModePass, Down: fault.ModePass, Freeze: true},
	} {
		is := is.New(t)
		_, rte := echoRoute(t)
		sock := dial(t, rte)
		_, err := exchange(sock, "before")
		is.NoErr(err)
		waitBytes(rte, 2*int64(len("before")))
		is.NoErr(rte.Set(held))
		_, err = io.WriteString(sock, "held")
		is.NoErr(err)
		if held.Down == fault.ModeHold {
			waitBytes(rte, 2*int64(len("before"))+4)
		}
		if held.Down != fault.ModeHold {
			is.Equal(rte.Bytes(), 2*int64(len("before")))
		}
		rte.Heal()
		got, err := exchange(sock, "+after")
		is.NoErr(err)
		is.Equal(got, "held+a")
	}
}

// Guards against a connection that continues after bytes in its middle were dropped.
func TestDropNeverLeavesAGap(t *testing.T) {
	is := is.New(t)
	_, rte := echoRoute(t)
	sock := dial(t, rte)
	_, err := exchange(sock, "before")
	is.NoErr(err)
	is.NoErr(rte.Set(fault.Faults{Up: fault.ModeDrop, Down: fault.ModePass}))
	_, err = io.WriteString(sock, "lost")
	is.NoErr(err)
	rte.Heal()
	got, err := exchange(sock, "after")
	// The bytes may not have reached the proxy before the fault was removed; then none are lost.
	is.True(err != nil || got == "losta")
}

// Guards against control requests that accept invalid values or reset faults that they do not name.
func TestControl(t *testing.T) {
	is := is.New(t)
	prx, rte := echoRoute(t)
	srv := httptest.NewServer(prx.Handler())
	defer srv.Close()
	post := func(path string) int {
		resp, err := http.Post(srv.URL+path, "", nil)
		is.NoErr(err)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(post("/routes/r?delay=20ms&up=hold"), http.StatusOK)
	is.Equal(post("/routes/r?loss=0.5"), http.StatusOK)
	is.Equal(rte.Faults(), fault.Faults{
		Delay: 20 * time.Millisecond, Loss: 0.5, Up: fault.ModeHold, Down: fault.ModePass,
	})
	is.Equal(post("/routes/r?loss=2"), http.StatusBadRequest)
	is.Equal(post("/routes/r?cut=maybe"), http.StatusBadRequest)
	is.Equal(post("/routes/r?latency=1s"), http.StatusBadRequest)
	is.Equal(post("/routes/none?cut=true"), http.StatusNotFound)
	is.Equal(post("/routes/r/heal"), http.StatusOK)
	is.Equal(rte.Faults(), fault.None())
}
