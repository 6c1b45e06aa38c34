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

// launch starts requests that run until the engine is disturbed, and returns once all have a token. The function wait
// returns the reasons of their results.
func launch(rig *rig, requests ...request) (wait func() []string) {
	con := rig.dial()
	rig.tb.Cleanup(con.Close)
	started := make(chan struct{}, len(requests))
	results := make(chan string, len(requests))
	for _, req := range requests {
		req.prompt, req.output, req.remaining = 1, 20_000, hangLimit
		req.onToken = func() { started <- struct{}{} }
		go func() {
			res, err := ask(con, req)
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

func slowRig(tb testing.TB) *rig {
	mdl := simeng.DefaultModel("m")
	mdl.StepBase = time.Millisecond
	rig := newRig(tb, mdl, "")
	rig.start()
	return rig
}

func (rig *rig) verdict(fpr proto.Fingerprint) crash.Status {
	verdict, _ := rig.agent.config.suspects.Verdict(fpr)
	return verdict
}

// Guards against suspicion after a cut network, after the end of one stream or after a planned stop, and against none
// after a crash.
func TestOnlyACrashBlames(t *testing.T) {
	for _, tst := range []struct {
		name, reason string
		disturb      func(rig *rig)
		verdict      crash.Status
	}{
		{"crash", ReasonEngineCrashed, func(rig *rig) { rig.engine.Crash() }, crash.StatusSuspected},
		{"connections cut", ReasonEngineFailed, func(rig *rig) { rig.cut() }, crash.StatusFree},
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
			rig := slowRig(t)
			wait := launch(rig, request{fpr: 7}, request{fpr: 8})
			tst.disturb(rig)
			is.Equal(wait(), []string{tst.reason, tst.reason})
			is.Equal(rig.verdict(7), tst.verdict)
			is.Equal(rig.verdict(8), tst.verdict)
		})
	}
}

// Guards against a request that goes free because its caller left just before it crashed the engine.
func TestAbandonedRequestIsBlamed(t *testing.T) {
	is := is.New(t)
	rig := slowRig(t)
	rig.agent.crashes.grace = hangLimit
	ended := make(chan struct{})
	wait := launch(rig, request{fpr: 7, ended: ended})
	other := launch(rig, request{fpr: 8})
	close(ended)
	is.Equal(wait(), []string{ReasonCancelled})
	rig.engine.Crash()
	other()
	is.Equal(rig.verdict(7), crash.StatusSuspected)
	is.Equal(rig.verdict(8), crash.StatusSuspected)
}

func crashOf(id string, running ...proto.Fingerprint) proto.Crash {
	return proto.Crash{
		ID: id, Upstream: "other", At: time.Now().UnixMilli(), Running: running,
		SuspectFor: time.Hour, BlockFor: time.Hour,
	}
}

// Guards against two suspects at the same time on one engine, a suspect that waits for ever, and one that has to wait
// after another request was found to be to blame.
func TestOneSuspectAtATime(t *testing.T) {
	is := is.New(t)
	rig := slowRig(t)
	rig.agent.config.suspects.Crash(crashOf("1", 7, 8, 9), 0)
	ended := make(chan struct{})
	wait := launch(rig, request{fpr: 7, ended: ended}, request{fpr: 70}) // The other is no suspect and runs beside it.
	con := rig.dial()
	defer con.Close()
	res, err := ask(con, request{prompt: 1, output: 1, remaining: hangLimit, fpr: 8})
	is.NoErr(err)
	is.Equal(res.Outcome, proto.OutcomeNotRun)
	is.Equal(res.Reason, ReasonSuspectWaits)
	res, err = ask(con, request{prompt: 1, output: 1, remaining: hangLimit, fpr: 71, suspected: true})
	is.NoErr(err)
	is.Equal(res.Reason, ReasonSuspectWaits) // Here only the entry knows of the suspicion.

	waiting := make(chan proto.Result, 1)
	go func() {
		res, _ := ask(con, request{prompt: 1, output: 1, remaining: hangLimit, fpr: 8})
		waiting <- res
	}()
	rig.eventually("the suspect waits", func() bool {
		rig.agent.crashes.place.mu.Lock()
		defer rig.agent.crashes.place.mu.Unlock()
		return len(rig.agent.crashes.place.waiting) == 1
	})
	rig.agent.config.suspects.Crash(crashOf("2", 9), 0)
	is.Equal((<-waiting).Outcome, proto.OutcomeDone)
	is.Equal(rig.verdict(8), crash.StatusFree)
	close(ended)
	rig.engine.Crash()
	wait()
}

// Guards against a request that goes on here after it has crashed an engine elsewhere, and against one that is refused
// after its unblocking.
func TestVerdictStopsRunningRequest(t *testing.T) {
	is := is.New(t)
	rig := slowRig(t)
	suspects := rig.agent.config.suspects
	wait := launch(rig, request{fpr: 7})
	suspects.Crash(crashOf("1", 7, 8), 0)
	is.Equal(wait(), []string{ReasonSuspectWaits})
	wait = launch(rig, request{fpr: 7})
	suspects.Crash(crashOf("2", 7), 0)
	is.Equal(wait(), []string{ReasonBlocked})
	con := rig.dial()
	defer con.Close()
	req := request{prompt: 1, output: 1, remaining: hangLimit, fpr: 7}
	res, err := ask(con, req)
	is.NoErr(err)
	is.Equal(res, (&stopped{ReasonBlocked}).refusal())
	rig.eventually("nothing is left on the engine", rig.empty)

	store := rig.agent.config.store
	one, two := crashOf("1", 7, 8), crashOf("2", 7)
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
	res, err = ask(con, req)
	is.NoErr(err)
	is.Equal(res.Outcome, proto.OutcomeDone)
}

// Guards against a place that is lost or given twice, and against the likeliest culprit being tried last.
func TestPlace(t *testing.T) {
	is := is.New(t)
	var plc place
	held := func(wtr *waiter) bool {
		select {
		case <-wtr.granted:
			return true
		default:
			return false
		}
	}
	one, two, three, four := plc.enter(5), plc.enter(3), plc.enter(1), plc.enter(2)
	is.True(held(one) && !held(two) && !held(three) && !held(four))
	plc.leave(four) // gave up
	plc.leave(one)
	is.True(held(three) && !held(two) && !held(four))
	plc.leave(three)
	is.True(held(two))
	plc.leave(two)
	is.True(held(plc.enter(9)))
}
