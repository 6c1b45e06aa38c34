package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	list []string
}

func (lns *lines) logger() logr.Logger {
	return funcr.New(func(_, args string) {
		lns.mu.Lock()
		defer lns.mu.Unlock()
		lns.list = append(lns.list, args)
	}, funcr.Options{})
}

// with returns the lines that contain a text.
func (lns *lines) with(text string) []string {
	lns.mu.Lock()
	defer lns.mu.Unlock()
	var out []string
	for _, line := range lns.list {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// oddValues are records that are neither a registration nor a configuration.
var oddValues = []string{
	strings.Repeat("[", 20_000), strings.Repeat(`{"a":`, 11_000) + "1" + strings.Repeat("}", 11_000),
	`{"Service":"s","Address":"127.0.0.1:70000","Zone":"z","Version":"v","Slots":4,"State":"ready","ColdLeftMs":0,` +
		`"Sequence":1}`,
	`{"Service":"s","Address":"127.0.0.1:80","Zone":"z","Version":"v","Slots":1e400,"State":"ready","ColdLeftMs":0,` +
		`"Sequence":1}`,
	`{"Service":"s","Address":"127.0.0.1:80","Zone":"z","Version":"v","Slots":4,"State":"ready","ColdLeftMs":0,` +
		`"Sequence":` + strings.Repeat("9", 10_000) + `}`,
	`{"Version":` + strings.Repeat("9", 10_000) + `}`, `{"Version":9,"Routes":[{}]}`, `{"Version":9,"Routes":{}}`,
	"null", "5", "\x00\xff",
}

// TestOddRecordsLeaveTheOthers guards against a front that ends, stops to follow the store or forgets replicas or the
// configuration because of odd records beside them or in their place, and against a log line for each read of one.
func TestOddRecordsLeaveTheOthers(t *testing.T) {
	iis := is.New(t)
	store := &fakeStore{topics: make(map[string][][2]string)}
	putOdd := func(round int) {
		for idx, val := range oddValues {
			store.put("keyed.servers", fmt.Sprint("odd-", idx), val)
			store.put("keyed.servers", fmt.Sprint("random-", round, "-", idx), val)
			store.put("keyed.servers", "i-1", val) // A replica is registered by that ID.
			store.put("keyed.op", "config", val)
		}
		store.put("keyed.servers", "", "{}")
	}
	putOdd(0)
	var lns lines
	rig := newRigWithLog(t, store, lns.logger())
	store.put("keyed.op", "config", operatorConfig(3, "s"))
	store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	waitUntil(t, func() bool { return rig.frt.Ready() && rig.call(t) == http.StatusOK })
	for round := range 10 {
		putOdd(1 + round)
		iis.Equal(rig.call(t), http.StatusOK)
		time.Sleep(10 * time.Millisecond)
	}
	store.put("keyed.op", "config", operatorConfig(4, "gone"))
	waitUntil(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable })
	store.put("keyed.op", "config", operatorConfig(5, "s"))
	waitUntil(t, func() bool { return rig.call(t) == http.StatusOK })
	store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "draining", 2))
	waitUntil(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable })
	iis.True(len(lns.with("ignoring an odd record")) >= 3)
	iis.True(len(lns.with("odd record")) <= 65)
	for _, line := range lns.with("odd") {
		iis.True(len(line) < 1000) // It quotes a part of the record at most.
	}
}
