package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// TestSoundSilenceLeadsToNoRetry guards against a run that is replaced although its replica has been silent for no
// longer than sound ones are, and its client still waits.
func TestSoundSilenceLeadsToNoRetry(t *testing.T) {
	iis := is.New(t)
	one, two := newReplica(t, pausedStream(1400*time.Millisecond)), newReplica(t, pausedStream(1400*time.Millisecond))
	rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1, Running: 2}, nil, one, two)
	rig.changeStreams(func(rte *rules.Route) { rte.ClientIdleTimeout = 2400 * time.Millisecond })
	status, body, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(withoutComments(body), events(1, 5))
	iis.Equal(one.calls.Load()+two.calls.Load(), int64(1))
}
