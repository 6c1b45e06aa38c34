package agent

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

const soakSeed = 20261204

// Guards against KV memory that is never freed on the engine or in the ledger after any mixture of cancels, broken
// connections, lost responses to cancels and engine crashes, and against a reservation that is released while the
// engine still has the request.
func TestSoakReturnsAllMemory(t *testing.T) {
	t.Logf("seed %d", soakSeed)
	rig := newRig(t, fastModel(), "")
	rig.startAgent()
	const workers, each = 20, 150
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[proto.Outcome]int)
	for wkr := range workers {
		wait.Go(func() {
			rnd := rand.New(rand.NewSource(soakSeed + int64(wkr)))
			con := rig.dial()
			for range each {
				if con == nil {
					return
				}
				res, err := soakRequest(rig, con, rnd)
				if err != nil {
					con = rig.dial()
				}
				mu.Lock()
				outcomes[res.Outcome]++
				mu.Unlock()
			}
			con.Close()
		})
	}
	wait.Wait()
	t.Log(outcomes)
	rig.eventually("ledger and engine return to zero", rig.idle)
	if outcomes[proto.OutcomeDone] == 0 || outcomes[proto.OutcomeFailed] == 0 {
		t.Fatalf("outcomes %v do not include both done and failed", outcomes)
	}
}

// soakRequest runs one request. At random, it cancels the request, closes the connection, crashes the engine, or makes
// the engine lose its responses to cancels.
func soakRequest(rig *rig, con *link.Conn, rnd *rand.Rand) (proto.Result, error) {
	cancel := make(chan struct{})
	delay := time.Duration(rnd.Intn(8000)) * time.Microsecond
	var disturb func()
	switch pick := rnd.Intn(100); {
	case pick < 30:
		disturb = func() { close(cancel) }
	case pick < 35:
		disturb = con.Close
	case pick < 36:
		disturb = rig.engine.Crash
	case pick < 38:
		disturb = func() { rig.setFaults(`{"lose-cancels":3}`) }
	}
	if disturb != nil {
		done := make(chan struct{})
		timer := time.AfterFunc(delay, func() { disturb(); close(done) })
		defer func() {
			if !timer.Stop() {
				<-done
			}
		}()
	}
	prompt := 1 + rnd.Intn(2000)
	if rnd.Intn(10) == 0 {
		prompt = 20_000 + rnd.Intn(50_000)
	}
	remaining := time.Duration(1+rnd.Intn(2000)) * time.Millisecond
	return send(con, request{prompt: prompt, output: 1 + rnd.Intn(20), remaining: remaining, cancel: cancel})
}

// Guards against a restarted agent that leaves the requests of its earlier incarnation running on the engine, or
// accepts requests before it has looked for them.
func TestOrphansAreCancelledAtStart(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, fastModel(), "")
	rig.setFaults(`{"stall":true}`)
	rig.startAgent()
	con := rig.dial()
	defer con.Close()
	go func() { _, _ = send(con, request{prompt: 100, output: 10, remaining: hangTimeout}) }()
	rig.eventually("the request is on the engine", func() bool { return !rig.engineEmpty() })
	is.NoErr(rig.grp.Stop())
	is.True(!rig.engineEmpty())
	rig.startAgent()
	rig.eventually("the orphan is cancelled", rig.idle)
}

func (rig *rig) engineEmpty() bool {
	ids, err := engine.New(rig.url[len("http://"):]).ActiveRequests(context.Background())
	return err == nil && len(ids) == 0
}

// Guards against a reservation freed while the engine still lists the request, and against one never freed because the
// responses to its cancels were lost.
func TestDeadlineOnStalledEngineFreesMemory(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, fastModel(), "")
	rig.startAgent()
	rig.setFaults(`{"stall":true,"lose-cancels":2}`)
	con := rig.dial()
	defer con.Close()
	res, err := send(con, request{prompt: 100, output: 10, remaining: 100 * time.Millisecond})
	is.NoErr(err)
	is.Equal(res.Reason, ReasonTimeout)
	is.Equal(res.Outcome, proto.OutcomeFailed)
	rig.eventually("memory is free", rig.idle)
}

// Guards against a planned stop that aborts a request in flight, or accepts a request that it cannot finish.
func TestDrainFinishesWorkInFlight(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, fastModel(), "")
	rig.startAgent()
	rig.setFaults(`{"stall":true}`)
	con := rig.dial()
	defer con.Close()
	first := make(chan proto.Result, 1)
	go func() {
		res, _ := send(con, request{prompt: 100, output: 10, remaining: hangTimeout})
		first <- res
	}()
	rig.eventually("the request is on the engine", func() bool { return !rig.engineEmpty() })
	drained := make(chan struct{})
	go func() {
		rig.agent.Drain(context.Background())
		close(drained)
	}()
	rig.eventually("draining is reported", func() bool { return rig.agent.report().Draining })
	res, err := send(con, request{prompt: 100, output: 10, remaining: hangTimeout})
	is.NoErr(err)
	is.Equal(res.Outcome, proto.OutcomeNotRun)
	is.Equal(res.Reason, ReasonDraining)
	rig.setFaults(`{"stall":false}`)
	is.Equal(<-first, proto.Result{Outcome: proto.OutcomeDone})
	<-drained
	is.True(rig.idle())
}
