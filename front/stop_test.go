package front_test

import (
	"bufio"
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
)

// recordingReplica is a replica that records the IDs of the calls that it gets.
type recordingReplica struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (rep *recordingReplica) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Tarragonwheel-Request-Id")
	rep.mu.Lock()
	rep.seen[id] = true
	rep.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	rw.Header().Set("Tarragonwheel-Request-Id", id)
	rw.Header().Set("Tarragonwheel-Replica-Signature", "sig")
	_, _ = io.WriteString(rw, "answer")
}

func (rep *recordingReplica) hasSeen(id string) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.seen[id]
}

// exchange sends one request on a connection and reads the response.
func exchange(con net.Conn, brd *bufio.Reader, id string) (status int, closes bool, err error) {
	_, err = fmt.Fprintf(con, "POST /b/x HTTP/1.1\r\nHost: 127.0.0.1\r\nTarragonwheel-Request-Id: %s\r\n"+
		"Content-Length: 5\r\n\r\nasked", id)
	if err != nil {
		return 0, true, err
	}
	res, err := http.ReadResponse(brd, nil)
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadAll(res.Body)
	return res.StatusCode, res.Close, err
}

// TestPlannedStopUnderLoadCutsNothing guards against calls that are cut off without an answer after they have been sent
// to a replica, on connections that are kept or that were accepted in the moment of the stop. A refused call must not
// have run.
func TestPlannedStopUnderLoadCutsNothing(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	rep := &recordingReplica{seen: make(map[string]bool)}
	srv := httptest.NewServer(rep)
	t.Cleanup(srv.Close)
	rig.store.put("keyed.op", "config", strings.Replace(operatorConfig(3, "s"), `"Routes":[`,
		`"Routes":[{"Name":"b","Host":"127.0.0.1","PathPrefix":"/b/","Kind":"unsafe","Service":"s"},`, 1))
	rig.store.put("keyed.servers", "i-1", registration("s", host(srv), "ready", 1))
	waitUntil(t, func() bool { return rig.frt.Ready() && rig.call(t) == http.StatusOK })
	stopped := make(chan struct{})
	answered, cut := make(chan int, 100_000), make(chan string, 100_000)
	var wgr sync.WaitGroup
	for client := range 20 {
		wgr.Go(func() {
			for num := 0; ; {
				con, err := net.Dial("tcp", rig.frt.Address())
				if err != nil {
					return // The listener is closed.
				}
				brd := bufio.NewReader(con)
				// Every other client uses each connection once.
				for closes := false; !closes; closes = closes || client%2 == 0 {
					num++
					id := fmt.Sprint("c-", client, "-", num)
					var status int
					status, closes, err = exchange(con, brd, id)
					switch {
					case err != nil && rep.hasSeen(id), status == http.StatusServiceUnavailable && rep.hasSeen(id):
						cut <- fmt.Sprint(id, " status ", status, " error ", err)
					case err == nil:
						answered <- status
					}
				}
				_ = con.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	go func() {
		defer close(stopped)
		rig.frt.Drain(context.Background())
	}()
	<-stopped
	wgr.Wait()
	iis.True(len(answered) > 100)
	select {
	case failure := <-cut:
		t.Errorf("%d calls were cut, such as %s", len(cut)+1, failure)
	default:
	}
}

// TestDrainWaitsForCalls guards against a planned stop that ends while a call is at its replica, so that its connection
// is cut, and against clients that are not told to use another connection.
func TestDrainWaitsForCalls(t *testing.T) {
	iis := is.New(t)
	rig := newRigWithGrace(t, 6*time.Second)
	var arrived atomic.Bool
	release := make(chan struct{})
	endSlow := sync.OnceFunc(func() { close(release) })
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Tarragonwheel-Request-Id")
		rw.Header().Set("Tarragonwheel-Request-Id", id)
		rw.Header().Set("Tarragonwheel-Replica-Signature", "sig")
		if id == "slow" {
			arrived.Store(true)
			<-release
		}
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(endSlow)
	rig.store.put("keyed.op", "config", strings.Replace(operatorConfig(3, "s"), "/a/", "/b/", 1))
	rig.store.put("keyed.servers", "i-1", registration("s", host(srv), "ready", 1))
	waitUntil(t, func() bool { return !rig.refusesCalls() })
	slow := make(chan error, 1)
	go func() {
		_, _, err := rig.exchange("slow")
		slow <- err
	}()
	waitUntil(t, arrived.Load)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		rig.frt.Drain(context.Background())
	}()
	waitUntil(t, func() bool { return !rig.frt.Ready() })
	_, closes, err := rig.exchange("other")
	iis.NoErr(err)
	iis.True(closes)
	waitUntil(t, rig.refusesCalls)
	select {
	case <-stopped:
		t.Error("stopped with a call at its replica")
	case <-time.After(300 * time.Millisecond):
	}
	endSlow()
	iis.NoErr(<-slow)
	<-stopped
}

// exchange sends one request on a new connection and reads the response.
func (rig *rig) exchange(id string) (status int, closes bool, err error) {
	con, err := net.Dial("tcp", rig.frt.Address())
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = con.Close() }()
	return exchange(con, bufio.NewReader(con), id)
}

// refusesCalls reports whether the front refuses new calls or connections.
func (rig *rig) refusesCalls() bool {
	status, _, err := rig.exchange("new")
	return err != nil || status == http.StatusServiceUnavailable
}

// TestRestartForgetsWhatIsGone guards against a process that uses after its restart a replica that has left or a key
// that has been withdrawn, because it reads old records of the store.
func TestRestartForgetsWhatIsGone(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	withKey := func(version int, key string) string {
		return strings.TrimSuffix(operatorConfig(version, "s"), "}") +
			fmt.Sprintf(`,"Tenants":[{"Name":"n","ApiKeys":[%q]}]}`, key)
	}
	rig.store.put("keyed.op", "config", withKey(3, "withdrawn"))
	gone := &recordingReplica{seen: make(map[string]bool)}
	srv := httptest.NewServer(gone)
	t.Cleanup(srv.Close)
	rig.store.put("keyed.servers", "i-1", registration("s", host(srv), "ready", 1))
	rig.store.put("keyed.servers", "i-2", registration("s", host(rig.replica), "ready", 1))
	waitUntil(t, rig.frt.Ready)
	rig.store.put("keyed.op", "config", withKey(4, "valid"))
	rig.store.put("keyed.servers", "i-1", "")
	restarted := newRigWithStore(t, rig.store)
	waitUntil(t, restarted.frt.Ready)
	call := func(key, id string) int {
		rawURL := "http://" + restarted.frt.Address() + "/a/x"
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, rawURL, nil)
		iis.NoErr(err)
		req.Header.Set("Api-Key", key)
		req.Header.Set("Tarragonwheel-Request-Id", id)
		res, err := http.DefaultClient.Do(req)
		iis.NoErr(err)
		_ = res.Body.Close()
		return res.StatusCode
	}
	iis.Equal(call("withdrawn", "c-0"), http.StatusUnauthorized)
	iis.Equal(call("", "c-1"), http.StatusUnauthorized)
	for num := range 20 {
		iis.Equal(call("valid", fmt.Sprint("c-", num)), http.StatusOK)
		iis.True(!gone.hasSeen(fmt.Sprint("c-", num)))
	}
}
