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

// Reason codes of crash attribution.
const (
	ReasonCrashed      = "engine-crashed"
	ReasonBlocked      = edge.CodeBlocked
	ReasonSuspectWaits = "suspect-waits"
)

const (
	// maxExemptCrashes is the number of engine crashes up to which the retries of a call are exempt from the retry
	// budget. A harmless call meets more crashes only if several requests crash engines at the same time.
	maxExemptCrashes = 4
	// maxExemptRefusals is the number of refusals after a crash whose retries are exempt from the retry budget, which
	// takes about 3 s. With no engine left, the budget then ends the call earlier than its time limit would.
	maxExemptRefusals = 8
	// minCrashPause is the shortest pause before a retry outside the budget. It doubles with each attempt, up to
	// maxCrashPause. Whether another copy of the request has crashed an engine elsewhere does not depend on it: see
	// pickSettled.
	minCrashPause = 50 * time.Millisecond
	maxCrashPause = 500 * time.Millisecond
	// positionDelay is added for each request that started later on the crashed engine, up to maxCrashPause. The
	// requests started last are the likeliest causes of the crash, and the first to get the agents' slots for suspects.
	positionDelay = 10 * time.Millisecond
	// maxHarmless is the number of finished requests that are remembered as harmless.
	maxHarmless = 4096

	clearBatchDelay = 100 * time.Millisecond // collects the clears of requests that finish together into one record
	reappendDelay   = 2 * time.Second        // until an append is retried whose record was not read back
	appendStagger   = 500 * time.Millisecond // additional wait of each entry, in the order of their names
)

// fingerprint returns a hash of the path and body of a call to an engine, whoever sends it. It is 0 for other calls.
func fingerprint(cal edge.Call) proto.Fingerprint {
	if cal.Kind != proto.UpstreamEngine {
		return 0
	}
	sum := xxhash.New()
	_, _ = sum.WriteString(cal.Path + "\x00")
	_, _ = sum.Write(cal.Body)
	return proto.Fingerprint(max(1, sum.Sum64()))
}

// copyTracker tracks the copies of each request that are in flight at this entry, so that all of them are sent to one
// agent until one has finished. If the request crashes engines, these copies together crash only one.
type copyTracker struct {
	mu            sync.Mutex
	inFlight      map[proto.Fingerprint]*copyGroup
	harmless      map[proto.Fingerprint]struct{}
	harmlessOrder []proto.Fingerprint // keys of harmless, oldest first
}

// copyGroup is the copies of a request that are in flight at this entry.
type copyGroup struct {
	count int // guarded by copyTracker.mu

	mu    sync.Mutex
	agent string // to which the last copy was sent
}

// add counts a copy and returns its group. It returns nil for a request that is known to be harmless.
func (trk *copyTracker) add(fpr proto.Fingerprint) *copyGroup {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if _, harmless := trk.harmless[fpr]; harmless || fpr == 0 {
		return nil
	}
	if trk.inFlight == nil {
		trk.inFlight = make(map[proto.Fingerprint]*copyGroup)
		trk.harmless = make(map[proto.Fingerprint]struct{})
	}
	cpg := trk.inFlight[fpr]
	if cpg == nil {
		cpg = &copyGroup{}
		trk.inFlight[fpr] = cpg
	}
	cpg.count++
	return cpg
}

// remove undoes add when a copy has ended. The request counts as harmless once a copy has finished.
func (trk *copyTracker) remove(fpr proto.Fingerprint, cpg *copyGroup, finished bool) {
	if cpg == nil {
		return
	}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	cpg.count--
	if cpg.count == 0 {
		delete(trk.inFlight, fpr)
	}
	if _, harmless := trk.harmless[fpr]; !finished || harmless {
		return
	}
	trk.harmless[fpr] = struct{}{}
	trk.harmlessOrder = append(trk.harmlessOrder, fpr)
	if len(trk.harmlessOrder) > maxHarmless {
		delete(trk.harmless, trk.harmlessOrder[0])
		trk.harmlessOrder = trk.harmlessOrder[1:]
	}
}

// pickAgent chooses an agent for the next attempt. All entries send a suspect to the same agent, which runs its copies
// one after another and is not the agent whose engine the request may have crashed.
func (ent *Entry) pickAgent(run *callRun, tried []string) *route.Placement {
	qry := ent.routeQuery(run.cal, tried)
	status, sus := ent.config.suspects.Status(run.fingerprint)
	run.suspected = status == crash.StatusSuspected
	if run.suspected {
		qry.StickyUnlessAvoided = run.fingerprint.String()
		qry.AvoidAgents = append([]string{sus.Upstream}, tried...)
	}
	if run.copies == nil || run.suspected {
		return ent.table.Pick(qry)
	}
	run.copies.mu.Lock()
	defer run.copies.mu.Unlock()
	qry.Prefer = run.copies.agent
	plc := ent.table.Pick(qry)
	if plc != nil {
		run.copies.agent = plc.Agent()
	}
	return plc
}

// blockedRefusal returns the refusal of a request that is blocked because it crashes engines.
func (run *callRun) blockedRefusal() (proto.Result, bool) {
	if status, _ := run.ent.config.suspects.Status(run.fingerprint); status != crash.StatusBlocked {
		return proto.Result{}, false
	}
	res := proto.Result{
		Outcome: proto.OutcomeNotRun, Reason: ReasonBlocked,
		Detail: "this request has crashed the engines that ran it; fingerprint " + run.fingerprint.String(),
	}
	if run.mayHaveRun {
		res.Outcome = proto.OutcomeFailed
	}
	return res, true
}

// retryPause decides whether a call may be retried. It returns the pause before the retry, or the reason code of the
// denial. Retries after a crash are exempt from the retry budget, which a single crash of an engine with a full batch
// would exhaust.
func (run *callRun) retryPause(number int, res proto.Result, wait time.Duration) (time.Duration, string) {
	ent := run.ent
	remaining := run.cal.Deadline.Sub(ent.clock.Now())
	if !run.takeExemptRetry(res) {
		return ent.requestRetry(number, res, remaining, wait)
	}
	pause := min(minCrashPause<<min(number-1, 5), maxCrashPause)
	if status, sus := ent.config.suspects.Status(run.fingerprint); res.Reason == ReasonCrashed &&
		status == crash.StatusSuspected {
		pause += min(time.Duration(sus.Position)*positionDelay, maxCrashPause)
	}
	if remaining <= pause+minAttemptTime {
		return 0, "no-time-to-retry"
	}
	ent.metrics.CountEvent("retry-after-crash")
	return pause, ""
}

// takeExemptRetry reports whether the retry after a result is exempt from the retry budget, and counts it.
func (run *callRun) takeExemptRetry(res proto.Result) bool {
	switch {
	case res.Reason == ReasonSuspectWaits:
		return true
	case res.Reason == ReasonCrashed:
		run.crashes++
		run.refusals = 0
		return run.crashes <= maxExemptCrashes
	case res.Outcome == proto.OutcomeNotRun && run.crashes > 0:
		run.refusals++
		return run.refusals <= maxExemptRefusals
	default:
		return false
	}
}

// finish ends the tracking of a call, and clears the request if it is a suspect and has succeeded.
func (run *callRun) finish(res proto.Result) {
	done := res.Outcome == proto.OutcomeDone
	run.ent.copies.remove(run.fingerprint, run.copies, done)
	if status, sus := run.ent.config.suspects.Status(run.fingerprint); done && status == crash.StatusSuspected {
		run.ent.config.suspects.AddClear(sus)
	}
}

// applyCrashes records the crashes in an agent's report, and reports whether any is new. The entries that are connected
// to the agent wait for different times before they append a crash to the log, so that usually only one does.
func (cfg *configuration) applyCrashes(con *link.Conn, rep proto.Report) (added bool) {
	position := 0
	for _, ent := range rep.Entries {
		if ent.Name < cfg.name {
			position++
		}
	}
	for _, crs := range rep.Crashes {
		if !cfg.attributeCrashes || !cfg.suspects.AddCrash(crs, time.Duration(position)*appendStagger) {
			continue
		}
		added = true
		cfg.metrics.CountEvent("crash-heard")
		cfg.log.Info("entry: engine crashed", "crash", crs.ID, "upstream", crs.Upstream,
			"fingerprints", len(crs.Running), "heard-from", con.Peer().Name)
	}
	return added
}

// appendCrashes appends crashes and clears to the log until ctx ends.
func (cfg *configuration) appendCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		added := cfg.suspects.Changed()
		crashes, clears, next := cfg.suspects.DueEvents(reappendDelay)
		for _, crs := range crashes {
			cfg.appendEntry(ctx, state.Entry{ID: rand.Text(), Crash: &crs})
		}
		if len(clears) > 0 {
			cfg.appendEntry(ctx, state.Entry{ID: rand.Text(), Clears: clears})
		}
		if len(crashes)+len(clears) > 0 {
			_ = cfg.clock.Sleep(ctx, clearBatchDelay)
			continue
		}
		cfg.awaitDue(ctx, added, next)
	}
}

// awaitDue waits until the time next, if it is not zero, or until a crash or clear is added and half a batch delay has
// passed.
func (cfg *configuration) awaitDue(ctx context.Context, added <-chan struct{}, next time.Time) {
	lim, cancel := context.WithCancel(ctx)
	defer cancel()
	if !next.IsZero() {
		lim, cancel = cfg.clock.WithTimeout(ctx, max(0, next.Sub(cfg.clock.Now())))
		defer cancel()
	}
	select {
	case <-added:
		_ = cfg.clock.Sleep(ctx, clearBatchDelay/2)
	case <-lim.Done():
	}
}

// appendEntry appends a record to the log. A failure needs no handling here: a record that is not read back from the
// log is due again.
func (cfg *configuration) appendEntry(ctx context.Context, ent state.Entry) {
	raw, err := ent.Encode()
	if err == nil {
		_, err = cfg.client.Append(ctx, state.Stream, raw)
	}
	if err != nil {
		cfg.metrics.CountEvent("crash-not-recorded")
		cfg.log.V(1).Info("entry: crash or clear not recorded", "error", err.Error())
	}
}

// Suspects returns the entry's crash attribution: the suspected and blocked requests.
func (ent *Entry) Suspects() *state.Suspects { return ent.config.suspects }
