package entry

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// Reason codes of requests that ran on a crashed engine.
const (
	ReasonCrashed      = "engine-crashed"
	ReasonBlocked      = edge.CodeBlocked
	ReasonSuspectWaits = "suspect-waits"
)

const (
	// freeCrashes is the number of crashed engines after which a call is still repeated outside the retry budget. A
	// call that is not to blame meets more only if several requests crash engines at the same time.
	freeCrashes = 4
	// freeRefusals is the number of refusals after a crash that are repeated outside the retry budget, about 3 s. With
	// no engine left a call then fails by the budget, rather than wait for the end of its time limit.
	freeRefusals = 8
	// crashDelay is the least pause before a repetition outside the budget, doubled up to crashDelayMost. It leaves
	// time for the news of a crash of another copy elsewhere. On machines with twice as much work as processors, 120 ms
	// pass until that crash is noticed and 70 ms until all have heard of it; after 50 ms, the repetition could crash a
	// third engine.
	crashDelay     = 300 * time.Millisecond
	crashDelayMost = 500 * time.Millisecond
	// rankDelay is added for each request that started later on the crashed engine, up to crashDelayMost: the last ones
	// started are the likeliest culprits and take the suspects' places first.
	rankDelay = 10 * time.Millisecond
	// maxFinished is the number of requests remembered as harmless.
	maxFinished = 4096

	recordPause = 100 * time.Millisecond // gathers the clears of requests that finish together
	recordAgain = 2 * time.Second        // after an append whose record has not been read back
	recordTurn  = 500 * time.Millisecond // by which each further entry waits for the one before it
)

// fingerprint identifies the content of a call to an engine, whoever sends it.
func fingerprint(cal edge.Call) proto.Fingerprint {
	if cal.Kind != proto.UpstreamEngine {
		return 0
	}
	sum := xxhash.New()
	_, _ = sum.WriteString(cal.Path + "\x00")
	_, _ = sum.Write(cal.Body)
	return proto.Fingerprint(max(1, sum.Sum64()))
}

// flights keeps copies of a request together while none of them has finished: if it crashes engines, its copies that
// pass through this entry crash one.
type flights struct {
	mu       sync.Mutex
	flying   map[proto.Fingerprint]*flight
	finished map[proto.Fingerprint]struct{}
	order    []proto.Fingerprint // of finished, oldest first
}

type flight struct {
	copies int // guarded by flights.mu

	mu    sync.Mutex
	agent string // that the last copy was sent to
}

// begin counts a copy. It returns nil for a request that is known to be harmless.
func (fls *flights) begin(fpr proto.Fingerprint) *flight {
	fls.mu.Lock()
	defer fls.mu.Unlock()
	if _, harmless := fls.finished[fpr]; harmless || fpr == 0 {
		return nil
	}
	if fls.flying == nil {
		fls.flying = make(map[proto.Fingerprint]*flight)
		fls.finished = make(map[proto.Fingerprint]struct{})
	}
	flt := fls.flying[fpr]
	if flt == nil {
		flt = &flight{}
		fls.flying[fpr] = flt
	}
	flt.copies++
	return flt
}

// end ends what begin began.
func (fls *flights) end(fpr proto.Fingerprint, flt *flight, finished bool) {
	if flt == nil {
		return
	}
	fls.mu.Lock()
	defer fls.mu.Unlock()
	flt.copies--
	if flt.copies == 0 {
		delete(fls.flying, fpr)
	}
	if _, known := fls.finished[fpr]; !finished || known {
		return
	}
	fls.finished[fpr] = struct{}{}
	fls.order = append(fls.order, fpr)
	if len(fls.order) > maxFinished {
		delete(fls.finished, fls.order[0])
		fls.order = fls.order[1:]
	}
}

// place chooses an agent. All entries send a suspect to the same one, which runs its copies one after another; it is
// not the one whose engine the request may have crashed.
func (ent *Entry) place(run *running, tried []string) *route.Placement {
	qry := ent.query(run.cal, tried)
	verdict, cas := ent.config.suspects.Verdict(run.fpr)
	run.suspected = verdict == crash.StatusSuspected
	if run.suspected {
		qry.StickyUnlessAvoided = run.fpr.String()
		qry.AvoidAgents = append([]string{cas.Upstream}, tried...)
	}
	if run.flight == nil || run.suspected {
		return ent.table.Pick(qry)
	}
	run.flight.mu.Lock()
	defer run.flight.mu.Unlock()
	qry.Prefer = run.flight.agent
	plc := ent.table.Pick(qry)
	if plc != nil {
		run.flight.agent = plc.Agent()
	}
	return plc
}

// blocked returns the refusal of a request that crashes engines.
func (run *running) blocked() (proto.Result, bool) {
	if verdict, _ := run.ent.config.suspects.Verdict(run.fpr); verdict != crash.StatusBlocked {
		return proto.Result{}, false
	}
	res := proto.Result{
		Outcome: proto.OutcomeNotRun, Reason: ReasonBlocked,
		Detail: "this request has crashed the engines that ran it; fingerprint " + run.fpr.String(),
	}
	if run.unsure {
		res.Outcome = proto.OutcomeFailed
	}
	return res, true
}

// delay asks for a repetition, and returns the pause before it or why there is none. After a crash, repetitions do
// not draw on the retry budget, which one crash of a full batch would empty.
func (run *running) delay(number int, res proto.Result, wait time.Duration) (time.Duration, string) {
	ent := run.ent
	remaining := run.cal.Deadline.Sub(ent.clock.Now())
	if !run.free(res) {
		return ent.again(number, res, remaining, wait)
	}
	pause := min(crashDelay<<min(number-1, 5), crashDelayMost)
	if verdict, cas := ent.config.suspects.Verdict(run.fpr); res.Reason == ReasonCrashed &&
		verdict == crash.StatusSuspected {
		pause += min(time.Duration(cas.Rank)*rankDelay, crashDelayMost)
	}
	if remaining <= pause+leastAttempt {
		return 0, "no-time-to-retry"
	}
	ent.metrics.Event("retry-after-crash")
	return pause, ""
}

// free tells whether a repetition does not draw on the retry budget.
func (run *running) free(res proto.Result) bool {
	switch {
	case res.Reason == ReasonSuspectWaits:
		return true
	case res.Reason == ReasonCrashed:
		run.crashes++
		run.refused = 0
		return run.crashes <= freeCrashes
	case res.Outcome == proto.OutcomeNotRun && run.crashes > 0:
		run.refused++
		return run.refused <= freeRefusals
	default:
		return false
	}
}

// finish clears a suspect that has finished.
func (run *running) finish(res proto.Result) {
	done := res.Outcome == proto.OutcomeDone
	run.ent.flights.end(run.fpr, run.flight, done)
	if verdict, cas := run.ent.config.suspects.Verdict(run.fpr); done && verdict == crash.StatusSuspected {
		run.ent.config.suspects.Clear(cas)
	}
}

// takeCrashes takes in the crashes that a report tells of, and returns whether any is new. The connected entries take
// turns in recording them.
func (cfg *configuration) takeCrashes(con *link.Conn, rep proto.Report) (fresh bool) {
	turn := 0
	for _, ent := range rep.Entries {
		if ent.Name < cfg.name {
			turn++
		}
	}
	for _, crs := range rep.Crashes {
		if !cfg.blame || !cfg.suspects.Crash(crs, time.Duration(turn)*recordTurn) {
			continue
		}
		fresh = true
		cfg.metrics.Event("crash-heard")
		cfg.log.Info("entry: engine crashed", "crash", crs.ID, "upstream", crs.Upstream,
			"fingerprints", len(crs.Running), "heard-from", con.Peer().Name)
	}
	return fresh
}

// recordCrashes appends crashes and clears to the log until ctx ends.
func (cfg *configuration) recordCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		added := cfg.suspects.Added()
		crashes, clears, next := cfg.suspects.Due(recordAgain)
		for _, crs := range crashes {
			cfg.record(ctx, state.Entry{ID: rand.Text(), Crash: &crs})
		}
		if len(clears) > 0 {
			cfg.record(ctx, state.Entry{ID: rand.Text(), Clears: clears})
		}
		if len(crashes)+len(clears) > 0 {
			_ = cfg.clock.Sleep(ctx, recordPause)
			continue
		}
		cfg.awaitDue(ctx, added, next)
	}
}

func (cfg *configuration) awaitDue(ctx context.Context, added <-chan struct{}, next time.Time) {
	lim, cancel := context.WithCancel(ctx)
	defer cancel()
	if !next.IsZero() {
		lim, cancel = cfg.clock.WithTimeout(ctx, max(0, next.Sub(cfg.clock.Now())))
		defer cancel()
	}
	select {
	case <-added:
		_ = cfg.clock.Sleep(ctx, recordPause/2)
	case <-lim.Done():
	}
}

// record appends a record. A failure needs no handling here: what is not read back is due again.
func (cfg *configuration) record(ctx context.Context, ent state.Entry) {
	raw, err := ent.Encode()
	if err == nil {
		_, err = cfg.client.Append(ctx, state.Stream, raw)
	}
	if err != nil {
		cfg.metrics.Event("crash-not-recorded")
		cfg.log.V(1).Info("entry: crash or clear not recorded", "error", err.Error())
	}
}

// Suspects returns what the entry holds of requests that ran on crashed engines.
func (ent *Entry) Suspects() *state.Suspects { return ent.config.suspects }
