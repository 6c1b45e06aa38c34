package relay_test

import (
	"context"
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
		InUse: func(context.Context, relay.Reservation) (bool, error) { return false, nil },
	})
	rig.start(t)
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
	rig.rules.Store(rules.New(spc))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/stream/x",
		strings.NewReader("asked"))
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	req.Header.Set("Tarragonwheel-Token-Usage", "30000,10")
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	_ = res.Body.Close()
	rsv := <-released
	iis.True(rsv.Tokens > 0)
	iis.True(res.StatusCode >= 500)
	for _, vie := range rig.flt.ReplicaSet("s").Views() {
		iis.True(vie.FailureRate < 0.1) // The attempt does not count as a failure of the replica.
	}
}
