package relay_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// newClaimRig starts a relay with two replicas whose long prompts are claimed. The function is called with each change
// of its tasks.
func newClaimRig(t *testing.T, served *atomic.Int64, onChange func(rig *rig, chg fleet.TaskChange)) *rig {
	t.Helper()
	serve := func(con net.Conn, req request) bool {
		served.Add(1)
		return stream(con, req, 1, 3, true)
	}
	rig := newRig(t, newReplica(t, serve), newReplica(t, serve))
	rig.opts.ClaimTime = 20 * time.Millisecond
	rig.opts.OnTaskChange = func(chg fleet.TaskChange) { onChange(rig, chg) }
	rig.start(t)
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: &cost.Engine{
		Slots: 4, MemoryTokens: 100000, Step: time.Millisecond, PrefillTokensPerS: 50000, PrefillChunk: 2048,
		StepsPerIteration: 10,
	}}}
	rig.rules.Store(rules.New(spc))
	return rig
}

// TestPromptYieldsToSimultaneousClaim guards against two long prompts on the same replicas, which two processes have
// placed at the same moment: the one that goes second is placed again, with the other one in view.
func TestPromptYieldsToSimultaneousClaim(t *testing.T) {
	iis := is.New(t)
	var served, claims, withdrawn atomic.Int64
	rig := newClaimRig(t, &served, func(rig *rig, chg fleet.TaskChange) {
		switch {
		case chg.Ended && served.Load() == 0:
			withdrawn.Add(1)
		case !chg.Ended && claims.Add(1) == 1: // Another process has claimed the same replica.
			other := fleet.Task{ID: 99, PrefillTime: chg.Task.PrefillTime / 2, StartedAt: chg.Task.StartedAt}
			time.AfterFunc(time.Millisecond, func() {
				rig.flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{{Replica: chg.Replica, Task: other}})
			})
		}
	})
	res := rig.sendSplitPrompt(t)
	_ = res.Body.Close()
	iis.Equal(res.StatusCode, http.StatusOK)
	iis.True(withdrawn.Load() > 0)
	iis.Equal(served.Load(), int64(1))
}

// TestClaimedTasksEndWithTheCall guards against tasks of a claim that count as load of their replicas for good.
func TestClaimedTasksEndWithTheCall(t *testing.T) {
	iis := is.New(t)
	var served, begun, ended atomic.Int64
	rig := newClaimRig(t, &served, func(_ *rig, chg fleet.TaskChange) {
		if chg.Ended {
			ended.Add(1)
		} else if chg.Task.Phase == fleet.Prefill {
			begun.Add(1)
		}
	})
	res := rig.sendSplitPrompt(t)
	_ = res.Body.Close()
	iis.Equal(res.StatusCode, http.StatusOK)
	for end := time.Now().Add(5 * time.Second); ended.Load() < begun.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	iis.True(ended.Load() >= begun.Load()) // Helper tasks end with the prefill and once more with the call.
	iis.True(begun.Load() > 0)
}
