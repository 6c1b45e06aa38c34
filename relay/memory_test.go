package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// smallEngine returns an engine that cannot hold the prompt of the test alone.
func smallEngine() *cost.Engine {
	return &cost.Engine{
		Slots: 4, MemoryTokens: 20000, Step: time.Millisecond, PrefillTokensPerS: 1e6, PrefillChunk: 2048,
		StepsPerIteration: 10,
	}
}

// TestUnusedReservationIsReleased guards against KV memory that stays reserved for a call that a replica does not
// begin.
func TestUnusedReservationIsReleased(t *testing.T) {
	iis := is.New(t)
	silent := func(con net.Conn, _ request) bool {
		_, _ = con.Read(make([]byte, 1))
		return false
	}
	released := make(chan relay.Reservation, 10)
	clk := timer.New()
	rig := newRig(t, newReplica(t, silent), newReplica(t, silent))
	rig.opts.ReservationUseTimeout = 100 * time.Millisecond
	rig.opts.Reserver = relay.NewReserver(clk, logr.Discard(), relay.ReplicaAPI{
		Reserve: func(context.Context, relay.Reservation) error { return nil },
		Release: func(_ context.Context, rsv relay.Reservation) error {
			released <- rsv
			return nil
		},
		InUse:  func(context.Context, relay.Reservation) (bool, error) { return false, nil },
		Report: reportSound,
	})
	rig.start(t)
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
	rig.rules.Store(rules.New(spc))
	res := rig.sendSplitPrompt(t)
	_ = res.Body.Close()
	rsv := <-released
	iis.True(rsv.Tokens > 0)
	iis.True(res.StatusCode >= 500)
	for _, vie := range rig.flt.ReplicaSet("s").Views() {
		iis.True(vie.FailureRate < 0.1) // The attempt does not count as a failure of the replica.
	}
}

// TestRunIsKeptWhileAHelperReplicaIsSilent guards against a sound run that is given up because a helper replica does
// not say for a while whether its reserved memory is used.
func TestRunIsKeptWhileAHelperReplicaIsSilent(t *testing.T) {
	iis := is.New(t)
	slow := func(con net.Conn, req request) bool {
		time.Sleep(300 * time.Millisecond)
		return stream(con, req, 1, 3, true)
	}
	one, two := newReplica(t, slow), newReplica(t, slow)
	rig := newRig(t, one, two)
	rig.opts.ReservationUseTimeout = 100 * time.Millisecond
	rig.opts.Reserver = relay.NewReserver(timer.New(), logr.Discard(), relay.ReplicaAPI{
		Reserve: func(context.Context, relay.Reservation) error { return nil },
		Release: func(context.Context, relay.Reservation) error { return nil },
		InUse: func(context.Context, relay.Reservation) (bool, error) {
			return false, errors.New("no report")
		},
		Report: reportSound,
	})
	rig.start(t)
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
	rig.rules.Store(rules.New(spc))
	res := rig.sendSplitPrompt(t)
	defer func() { _ = res.Body.Close() }()
	iis.Equal(res.StatusCode, http.StatusOK)
	iis.Equal(one.calls.Load()+two.calls.Load(), int64(1))
}

// sendSplitPrompt sends a call whose prompt no replica can hold alone.
func (rig *rig) sendSplitPrompt(t *testing.T) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/stream/x",
		strings.NewReader("asked"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Api-Key", "k")
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	req.Header.Set("Tarragonwheel-Token-Usage", "30000,10")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return res
}
