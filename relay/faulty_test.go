package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// endedReplica returns a replica at whose address nothing listens.
func endedReplica(t *testing.T) *replica {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return &replica{addr: lis.Addr().String()}
}

// newHelperRig starts a relay for prompts that no replica can hold alone.
func newHelperRig(t *testing.T, reserve func(rsv relay.Reservation) error, replicas ...*replica) *rig {
	t.Helper()
	rig := newRig(t, replicas...)
	rig.opts.Reserver = relay.NewReserver(timer.New(), logr.Discard(), relay.ReplicaAPI{
		Reserve: func(_ context.Context, rsv relay.Reservation) error { return reserve(rsv) },
		Release: func(context.Context, relay.Reservation) error { return nil },
		InUse:   func(context.Context, relay.Reservation) (bool, error) { return true, nil },
		Report:  reportSound,
	})
	rig.start(t)
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
	rig.rules.Store(rules.New(spc))
	return rig
}

// TestEndedHelperIsNotChosenAgain guards against a long prompt that is refused in each attempt because of the same
// helper replica, which has ended, although the refusal names it.
func TestEndedHelperIsNotChosenAgain(t *testing.T) {
	iis := is.New(t)
	ended := endedReplica(t)
	var mu sync.Mutex
	refusals := 0
	serve := func(con net.Conn, req request) bool {
		for _, hlp := range req.helpers() {
			if hlp != ended.addr {
				continue
			}
			mu.Lock()
			refusals++
			mu.Unlock()
			_, err := fmt.Fprintf(con, "HTTP/1.1 503 X\r\nTarragonwheel-Request-Id: %s\r\n"+
				"Tarragonwheel-Not-Executed: 1\r\nAt-Server: %s\r\nContent-Length: 0\r\n\r\n", req.id(), ended.addr)
			return err == nil
		}
		return stream(con, req, 1, 3, true)
	}
	accept := func(relay.Reservation) error { return nil }
	rig := newHelperRig(t, accept, ended, newReplica(t, serve), newReplica(t, serve), newReplica(t, serve))
	for range 5 {
		res := rig.sendSplitPrompt(t)
		_ = res.Body.Close()
		iis.Equal(res.StatusCode, http.StatusOK)
	}
	mu.Lock()
	defer mu.Unlock()
	iis.True(refusals <= 1) // Later calls avoid the replica, as it has refused a connection.
}

// TestHelperWithoutMemoryIsNotChosenAgain guards against a long prompt whose reservations fail in each attempt at the
// same helper replica, while others have the memory.
func TestHelperWithoutMemoryIsNotChosenAgain(t *testing.T) {
	iis := is.New(t)
	serve := func(con net.Conn, req request) bool { return stream(con, req, 1, 3, true) }
	var mu sync.Mutex
	failed := make(map[string]int)
	reserve := func(rsv relay.Reservation) error {
		if rsv.Replica != "i-0" {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		failed[rsv.Replica]++
		return errors.New("memory is not free")
	}
	rig := newHelperRig(t, reserve,
		newReplica(t, serve), newReplica(t, serve), newReplica(t, serve), newReplica(t, serve))
	for range 3 {
		mu.Lock()
		clear(failed)
		mu.Unlock()
		res := rig.sendSplitPrompt(t)
		_ = res.Body.Close()
		iis.Equal(res.StatusCode, http.StatusOK)
		mu.Lock()
		iis.True(failed["i-0"] <= 1)
		mu.Unlock()
	}
}

// helpers returns the addresses of the helper replicas of a request.
func (req request) helpers() []string {
	var list []string
	for item := range strings.SplitSeq(req.Header.Get("Tarragonwheel-Helpers"), ",") {
		addr, _, _ := strings.Cut(item, "/")
		list = append(list, addr)
	}
	return list
}
