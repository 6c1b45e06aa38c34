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
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/front"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// fakeStore stands in for the platform's store: it keeps keyed topics in memory. It answers 503 while it is down.
type fakeStore struct {
	mu     sync.Mutex
	topics map[string][][2]string // key and value of each record
	down   bool
}

func (sto *fakeStore) put(topic, key, value string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.topics[topic] = append(sto.topics[topic], [2]string{key, value})
}

func (sto *fakeStore) setDown(down bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.down = down
}

func (sto *fakeStore) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.down {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	records := sto.topics[req.URL.Query().Get("Topic")]
	switch req.URL.Path {
	case "/v1/log-newest":
		writeNewest(rw, records)
	case "/v1/log-read":
		from, _ := strconv.Atoi(req.URL.Query().Get("From"))
		body := make([]byte, 16) // the end of the topic, and the offset of its first record, 0
		binary.BigEndian.PutUint64(body, uint64(len(records)))
		for _, rec := range records[min(from, len(records)):] {
			raw := append([]byte{byte(len(rec[0]))}, rec[0]+rec[1]...)
			body = append(binary.BigEndian.AppendUint32(body, uint32(len(raw))), raw...)
		}
		_, _ = rw.Write(body)
	}
}

// writeNewest writes the newest record of each key as the single page of a listing.
func writeNewest(rw http.ResponseWriter, records [][2]string) {
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
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"z","Version":"v1","Slots":4,"State":%q,"ColdLeftMs":0,
	 "Sequence":%d,"born":1}`,
		service, addr, state, sequence)
}

// rig is a front with a fake store and one replica.
type rig struct {
	settings string // of the front, as INI
	store    *fakeStore
	frt      *front.Front
	replica  *httptest.Server
}

func newRig(t *testing.T) *rig {
	t.Helper()
	return newRigWithStore(t, &fakeStore{topics: make(map[string][][2]string)})
}

// newRigWithStore starts a front on a store that may hold records already.
func newRigWithStore(t *testing.T, store *fakeStore) *rig {
	t.Helper()
	return startRig(t, store, logr.Discard(), time.Second)
}

// newRigWithLog starts a front on a store that writes to the given log.
func newRigWithLog(t *testing.T, store *fakeStore, log logr.Logger) *rig {
	t.Helper()
	return startRig(t, store, log, time.Second)
}

// newRigWithGrace starts a front that is killed after the given time when it stops.
func newRigWithGrace(t *testing.T, grace time.Duration) *rig {
	t.Helper()
	return startRig(t, &fakeStore{topics: make(map[string][][2]string)}, logr.Discard(), grace)
}

func startRig(t *testing.T, store *fakeStore, log logr.Logger, grace time.Duration) *rig {
	t.Helper()
	rig := &rig{store: store}
	rig.replica = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("Tarragonwheel-Request-Id", req.Header.Get("Tarragonwheel-Request-Id"))
		rw.Header().Set("Tarragonwheel-Replica-Signature", "sig")
		_, _ = io.WriteString(rw, "answer")
	}))
	t.Cleanup(rig.replica.Close)
	rig.frt, rig.settings = startFront(t, rig.store, frontOptions{log: log, grace: grace, lines: frontTimes})
	return rig
}

// frontTimes are the settings of a front's times.
const frontTimes = "drain-time = 300ms\nconfig-time = 300ms\n"

// frontOptions are the options of a front under test.
type frontOptions struct {
	log   logr.Logger
	grace time.Duration // after which it is killed when it stops
	lines string        // added to its settings
}

// withLines returns the options of a front without a log whose settings get the given lines.
func withLines(lines string) frontOptions {
	return frontOptions{log: logr.Discard(), grace: time.Second, lines: lines}
}

// startFront starts a front on a store and returns it and its settings.
func startFront(t *testing.T, store http.Handler, opts frontOptions) (frt *front.Front, settings string) {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	settings = fmt.Sprintf("[process]\nname = f\ndata-centre = z\nlisten = 127.0.0.1:0\ngrace = %s\n"+
		"[front]\nready = 127.0.0.1:0\nstore = %s\n", opts.grace, host(srv)) + opts.lines
	set, err := config.Parse(settings, "front")
	if err != nil {
		t.Fatal(err)
	}
	grp := group.New(context.Background(), "front")
	t.Cleanup(func() { _ = grp.Stop() })
	frt, err = front.New(grp, set, timer.New(), opts.log, metric.New())
	if err != nil {
		t.Fatal(err)
	}
	return frt, settings
}

func host(srv *httptest.Server) string { return strings.TrimPrefix(srv.URL, "http://") }

// call sends a GET request through the front and returns the status of the response.
func (rig *rig) call(t *testing.T) int {
	t.Helper()
	return callFront(t, rig.frt)
}

// callFront sends a GET request through a front and returns the status of the response.
func callFront(t *testing.T, frt *front.Front) int {
	t.Helper()
	rawURL := "http://" + frt.Address() + "/a/x"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, rawURL, nil)
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

// waitUntil calls fn until it returns true.
func waitUntil(t *testing.T, fn func() bool) {
	t.Helper()
	for !fn() {
		if t.Context().Err() != nil {
			t.Fatal("test ended")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
