package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// startRequests starts requests that run until the test interrupts them, and returns once all have a token. The
// function wait returns the reasons of their results.
func startRequests(rig *rig, requests ...request) (wait func() []string) {
	con := rig.dial()
	rig.tb.Cleanup(con.Close)
	started := make(chan struct{}, len(requests))
	results := make(chan string, len(requests))
	for _, req := range requests {
		req.prompt, req.output, req.remaining = 1, 20_000, hangTimeout
		req.onToken = func() { started <- struct{}{} }
		go func() {
			res, err := send(con, req)
			if err != nil {
				res.Reason = err.Error()
			}
			results <- res.Reason
		}()
	}
	for range requests {
		<-started
	}
	return func() (reasons []string) {
		for range requests {
			reasons = append(reasons, <-results)
		}
		return reasons
	}
}

func newSlowRig(tb testing.TB) *rig {
	mdl := simeng.DefaultModel("m")
	mdl.StepBase = time.Millisecond
	rig := newRig(tb, mdl, "")
	rig.startAgent()
	return rig
}

func (rig *rig) status(fpr proto.Fingerprint) crash.Status {
	status, _ := rig.agent.config.suspects.Status(fpr)
	return status
}

// Guards against requests that are suspected after a network failure, cancels on the engine or a planned stop, and
// against requests that are not suspected after a crash.
func TestOnlyCrashesCauseSuspicion(t *testing.T) {
	for _, tst := range []struct {
		name, reason string
		disturb      func(rig *rig)
		status       crash.Status
	}{
		{"crash", ReasonEngineCrashed, func(rig *rig) { rig.engine.Crash() }, crash.StatusSuspected},
		{"connections cut", ReasonEngineFailed, func(rig *rig) { rig.breakConnections() }, crash.StatusFree},
		{"engine drained, then stopped", ReasonEngineFailed, func(rig *rig) {
			rig.agent.mu.Lock()
			rig.agent.draining = true
			rig.agent.mu.Unlock()
			rig.engine.Crash()
		}, crash.StatusFree},
		{"requests cancelled on the engine", ReasonEngineFailed, func(rig *rig) {
			ids, _ := rig.agent.engine.ActiveRequests(t.Context())
			for _, id := range ids {
				_ = rig.agent.engine.Cancel(t.Context(), id)
			}
		}, crash.StatusFree},
	} {
		t.Run(tst.name, func(t *testing.T) {
			is := is.New(t)
			rig := newSlowRig(t)
			wait := startRequests(rig, request{fpr: 7}, request{fpr: 8})
			tst.disturb(rig)
			is.Equal(wait(), []string{tst.reason, tst.reason})
			is.Equal(rig.status(7), tst.status)
			is.Equal(rig.status(8), tst.status)
		})
	}
}

// Guards against a request that is not suspected because its caller disconnected just before it crashed the engine.
func TestCancelledRequestIsSuspected(t *testing.T) {
	is := is.New(t)
	rig := newSlowRig(t)
	rig.agent.crashes.unlistedGrace = hangTimeout
	cancel := make(chan struct{})
	wait := startRequests(rig, request{fpr: 7, cancel: cancel})
	other := startRequests(rig, request{fpr: 8})
	close(cancel)
	is.Equal(wait(), []string{ReasonCancelled})
	rig.engine.Crash()
	other()
	is.Equal(rig.status(7), crash.StatusSuspected)
	is.Equal(rig.status(8), crash.StatusSuspected)
}

func newCrash(id string, running ...proto.Fingerprint) proto.Crash {
	return proto.Crash{
		ID: id, Upstream: "other", At: time.Now().UnixMilli(), Running: running,
		SuspectFor: time.Hour, BlockFor: time.Hour,
	}
}

// Guards against two suspected requests at the same time on one engine, one that waits for ever, and one that still
// waits after another request was found to be the cause and blocked.
func TestOneSuspectAtATime(t *testing.T) {
	is := is.New(t)
	rig := newSlowRig(t)
	rig.agent.config.suspects.AddCrash(newCrash("1", 7, 8, 9), 0)
	cancel := make(chan struct{})
	// The other one is not suspected.
	wait := startRequests(rig, request{fpr: 7, cancel: cancel, suspected: true}, request{fpr: 70})
	con := rig.dial()
	defer con.Close()
	res, err := send(con, request{prompt: 1, output: 1, remaining: hangTimeout, fpr: 8, suspected: true})
	is.NoErr(err)
	is.Equal(res.Outcome, proto.OutcomeNotRun)
	is.Equal(res.Reason, ReasonSuspectWaits)
	res, err = send(con, request{prompt: 1, output: 1, remaining: hangTimeout, fpr: 71, suspected: true})
	is.NoErr(err)
	is.Equal(res.Reason, ReasonSuspectWaits) // Only the entry knows that it is suspected.

	waiting := make(chan proto.Result, 1)
	go func() {
		res, _ := send(con, request{prompt: 1, output: 1, remaining: hangTimeout, fpr: 8, suspected: true})
		waiting <- res
	}()
	rig.eventually("the suspect waits", func() bool {
		rig.agent.crashes.slot.mu.Lock()
		defer rig.agent.crashes.slot.mu.Unlock()
		return len(rig.agent.crashes.slot.waiting) == 1
	})
	rig.agent.config.suspects.AddCrash(newCrash("2", 9), 0)
	is.Equal((<-waiting).Outcome, proto.OutcomeDone)
	is.Equal(rig.status(8), crash.StatusFree)
	close(cancel)
	rig.engine.Crash()
	wait()
}

// Guards against a request that continues after it has crashed another engine, and against one that is refused after an
// operator has unblocked it.
func TestSuspicionStopsRunningRequest(t *testing.T) {
	is := is.New(t)
	rig := newSlowRig(t)
	suspects := rig.agent.config.suspects
	wait := startRequests(rig, request{fpr: 7})
	suspects.AddCrash(newCrash("1", 7, 8), 0)
	is.Equal(wait(), []string{ReasonSuspectWaits})
	wait = startRequests(rig, request{fpr: 7, suspected: true})
	suspects.AddCrash(newCrash("2", 7), 0)
	is.Equal(wait(), []string{ReasonBlocked})
	con := rig.dial()
	defer con.Close()
	req := request{prompt: 1, output: 1, remaining: hangTimeout, fpr: 7}
	res, err := send(con, req)
	is.NoErr(err)
	is.Equal(res, (&crashRefusal{ReasonBlocked}).result())
	rig.eventually("nothing is left on the engine", rig.idle)

	store := rig.agent.config.store
	one, two := newCrash("1", 7, 8), newCrash("2", 7)
	var recs [][]byte
	for _, ent := range []state.Entry{
		{Crash: &one}, {Crash: &two}, {Unblock: &crash.Unblock{Fingerprint: 7, Operator: "olive", Request: "r"}},
	} {
		ent.ID = "record"
		raw, err := ent.Encode()
		is.NoErr(err)
		recs = append(recs, raw)
	}
	is.NoErr(store.Merge(proto.State{Upto: 3, Records: recs}))
	res, err = send(con, req)
	is.NoErr(err)
	is.Equal(res.Outcome, proto.OutcomeDone)
}

// Guards against a slot that is never granted again or granted twice, and against a wrong order: the request that
// started last before the crash is the most likely cause and goes first.
func TestSuspectSlot(t *testing.T) {
	is := is.New(t)
	var slt suspectSlot
	granted := func(wtr *waiter) bool {
		select {
		case <-wtr.granted:
			return true
		default:
			return false
		}
	}
	one, two, three, four := slt.acquire(5), slt.acquire(3), slt.acquire(1), slt.acquire(2)
	is.True(granted(one) && !granted(two) && !granted(three) && !granted(four))
	slt.release(four) // stops waiting
	slt.release(one)
	is.True(granted(three) && !granted(two) && !granted(four))
	slt.release(three)
	is.True(granted(two))
	slt.release(two)
	is.True(granted(slt.acquire(9)))
}

// Guards against two copies of a suspect on two engines at once: the entry that sends an unmarked one does not know the
// crash, and so has not chosen the agent that all others choose.
func TestSuspectIsRefusedUntilItsEntryKnowsTheCrash(t *testing.T) {
	is := is.New(t)
	rig := newSlowRig(t)
	rig.agent.config.suspects.AddCrash(newCrash("1", 7), 0)
	con := rig.dial()
	defer con.Close()
	res, err := send(con, request{prompt: 1, output: 1, remaining: hangTimeout, fpr: 7})
	is.NoErr(err)
	is.Equal(res, (&crashRefusal{ReasonSuspectWaits}).result())
	res, err = send(con, request{prompt: 1, output: 1, remaining: hangTimeout, fpr: 7, suspected: true})
	is.NoErr(err)
	is.Equal(res.Outcome, proto.OutcomeDone)
}

// Guards against a report that shows a crash as known while a copy of its request may still crash this engine, and
// against one that shows neither the copy nor the crash that it caused.
func TestReportShowsHeldSuspects(t *testing.T) {
	is := is.New(t)
	rig := newSlowRig(t)
	agt := rig.agent
	agt.crashes.unlistedGrace = hangTimeout
	cancel := make(chan struct{})
	wait := startRequests(rig, request{fpr: 7, cancel: cancel}, request{fpr: 8})
	is.Equal(agt.report().KnownCrashes, nil)
	close(cancel) // The engine may still run it.
	agt.config.suspects.AddCrash(newCrash("1", 7), 0)
	rep := agt.report()
	is.Equal(rep.KnownCrashes, []string{"1"})
	is.Equal(rep.HeldSuspects, []proto.Fingerprint{7})
	rig.engine.Crash()
	wait()
	rep = agt.report()
	is.Equal(rep.HeldSuspects, nil)
	is.Equal(len(rep.KnownCrashes), 2)
	is.Equal(rep.KnownCrashes[0], "1")
	is.Equal(rig.status(7), crash.StatusBlocked)
}
