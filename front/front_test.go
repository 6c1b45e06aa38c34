package front_test

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/front"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// store is a stand-in of the platform's store: keyed topics in memory. It answers 503 while it is down.
type store struct {
	mu     sync.Mutex
	topics map[string][][2]string // key and value of each record
	down   bool
}

func (str *store) put(topic, key, value string) {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.topics[topic] = append(str.topics[topic], [2]string{key, value})
}

func (str *store) setDown(down bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.down = down
}

func (str *store) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	str.mu.Lock()
	defer str.mu.Unlock()
	if str.down {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	records := str.topics[req.URL.Query().Get("Topic")]
	switch req.URL.Path {
	case "/v1/log-newest":
		newest(rw, records)
	case "/v1/log-read":
		from, _ := strconv.Atoi(req.URL.Query().Get("From"))
		body := make([]byte, 16)
		for _, rec := range records[min(from, len(records)):] {
			raw := append([]byte{byte(len(rec[0]))}, rec[0]+rec[1]...)
			body = append(binary.BigEndian.AppendUint32(body, uint32(len(raw))), raw...)
		}
		_, _ = rw.Write(body)
	}
}

func newest(rw http.ResponseWriter, records [][2]string) {
	last := make(map[string]string)
	for _, rec := range records {
		last[rec[0]] = rec[1]
	}
	items := []map[string]any{}
	for key, val := range last {
		if val != "" {
			items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString([]byte(val))})
		}
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"Items": items, "HasMore": false, "End": len(records)})
}

func operatorConfig(version int, service string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"r","Host":"127.0.0.1","PathPrefix":"/a/","Kind":"safe",
	 "Service":%q,"MaxAttempts":2}],"Services":[{"Name":%q}],"Limits":{"MaxBodyBytes":1000}}`,
		version, service, service)
}

func registration(service, addr, state string, sequence int) string {
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"z","Slots":4,"State":%q,"Sequence":%d,"born":1}`,
		service, addr, state, sequence)
}

// rig is a front with its stand-ins.
type rig struct {
	text    string // its settings
	str     *store
	frt     *front.Front
	replica *httptest.Server
}

func newRig(t *testing.T) *rig {
	t.Helper()
	rig := &rig{str: &store{topics: make(map[string][][2]string)}}
	rig.replica = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("Tarragonwheel-Request-Id", req.Header.Get("Tarragonwheel-Request-Id"))
		rw.Header().Set("Tarragonwheel-Replica-Signature", "sig")
		_, _ = io.WriteString(rw, "answer")
	}))
	t.Cleanup(rig.replica.Close)
	srv := httptest.NewServer(rig.str)
	t.Cleanup(srv.Close)
	text := fmt.Sprintf("[process]\nname = f\ndata-centre = z\nlisten = 127.0.0.1:0\ngrace = 1s\n"+
		"[front]\nready = 127.0.0.1:0\nstore = %s\ndrain-time = 300ms\nconfig-time = 300ms\n", host(srv))
	rig.text = text
	set, err := config.Parse(text, "front")
	if err != nil {
		t.Fatal(err)
	}
	grp := group.New(context.Background(), "front")
	t.Cleanup(func() { _ = grp.Stop() })
	rig.frt, err = front.New(grp, set, timer.New(), logr.Discard(), metric.New())
	if err != nil {
		t.Fatal(err)
	}
	return rig
}

func host(srv *httptest.Server) string { return strings.TrimPrefix(srv.URL, "http://") }

func (rig *rig) call(t *testing.T) int {
	t.Helper()
	link := "http://" + rig.frt.Address() + "/a/x"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, link, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}

// until calls fn until it returns true.
func until(t *testing.T, fn func() bool) {
	t.Helper()
	for !fn() {
		if t.Context().Err() != nil {
			t.Fatal("test ended")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestServesFromTheStoreAlone guards against a front that needs anything but the store to serve.
func TestServesFromTheStoreAlone(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	iis.Equal(rig.call(t), http.StatusServiceUnavailable) // It knows no configuration yet.
	iis.True(!rig.frt.Ready())
	rig.str.put("keyed.op", "config", operatorConfig(3, "s"))
	rig.str.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	until(t, func() bool { return rig.frt.Ready() && rig.call(t) == http.StatusOK })
}

// TestOutageOfTheStore guards against a front that stops serving while the store is away, or misses what changed then.
func TestOutageOfTheStore(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	rig.str.put("keyed.op", "config", operatorConfig(3, "s"))
	rig.str.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	until(t, func() bool { return rig.call(t) == http.StatusOK })
	rig.str.setDown(true)
	time.Sleep(500 * time.Millisecond) // more than a read of each topic
	iis.Equal(rig.call(t), http.StatusOK)
	iis.True(rig.frt.Ready())
	rig.str.put("keyed.servers", "i-1", registration("s", host(rig.replica), "draining", 2))
	rig.str.setDown(false)
	until(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable })
}

// TestOlderConfigurationIsIgnored guards against a front that goes back to an older version.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	rig.str.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	rig.str.put("keyed.op", "config", operatorConfig(5, "s"))
	until(t, func() bool { return rig.call(t) == http.StatusOK })
	rig.str.put("keyed.op", "config", operatorConfig(4, "other"))
	rig.str.put("keyed.op", "config", "{damaged")
	time.Sleep(400 * time.Millisecond) // more than a read
	iis.Equal(rig.call(t), http.StatusOK)
	rig.str.put("keyed.op", "config", operatorConfig(9, "other"))
	until(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable })
}

// TestDrainLeavesRotationFirst guards against a planned stop that refuses calls while the load balancer still sends
// them.
func TestDrainLeavesRotationFirst(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	rig.str.put("keyed.op", "config", operatorConfig(3, "s"))
	rig.str.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	until(t, func() bool { return rig.frt.Ready() && rig.call(t) == http.StatusOK })
	done := make(chan struct{})
	go func() {
		defer close(done)
		rig.frt.Drain(context.Background())
	}()
	until(t, func() bool { return !rig.frt.Ready() })
	iis.Equal(rig.call(t), http.StatusOK)
	<-done
}

// TestSettingsAreReloaded guards against settings that change without a signal, or with a fault.
func TestSettingsAreReloaded(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	file := filepath.Join(t.TempDir(), "front.ini")
	write := func(text string) { iis.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(rig.text)
	hup := make(chan os.Signal, 1)
	rig.frt.WatchSettings(file, hup)
	iis.Equal(rig.frt.Grace(), time.Second)
	write("[process]\nno-such-key = 1\n")
	hup <- syscall.SIGHUP
	write(strings.Replace(rig.text, "grace = 1s", "grace = 3s", 1))
	until(t, func() bool { return rig.frt.Grace() == 3*time.Second }) // without a signal
	write(strings.Replace(rig.text, "grace = 1s", "grace = 4s", 1))
	hup <- syscall.SIGHUP
	until(t, func() bool { return rig.frt.Grace() == 4*time.Second })
}
