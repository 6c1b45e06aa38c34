package relay

import (
	"math/rand"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// deferInterval is the time between two looks for a better choice.
const deferInterval = 60 * time.Millisecond

// wait lets time pass before the next look for a better choice. It returns false if the client leaves meanwhile.
func (ses *session) wait() bool {
	ses.opts.Metrics.Event("long-prompt-deferred")
	return ses.opts.Clock.Sleep(ses.ctx, deferInterval) == nil
}

// plan chooses where the call runs next, or returns the reason why it cannot.
func (ses *session) plan() (place.Placement, string) {
	left := ses.end.Sub(ses.opts.Clock.Now())
	if left < leastTime {
		return place.Placement{}, reasonTimeout
	}
	if ses.opts.Crashes.Blocked(ses.cal, ses.account) {
		return place.Placement{}, reasonBlamed
	}
	grp := ses.opts.Fleet.ReplicaSet(ses.service)
	job := ses.job(left)
	views := grp.Views()
	if len(views) == len(ses.avoid) {
		job.ExcludeReplicas = nil // Each replica has failed it once; none is better than another.
	}
	srv := ses.set.Service(ses.service)
	var pln place.Placement
	var ok bool
	if srv == nil || srv.Engine == nil {
		pln, ok = place.OnService(job, views)
	} else {
		pln, ok = ses.opts.Policy(job, srv.Engine, views, grp.LongPrefillLoad())
	}
	if !ok {
		return place.Placement{}, reasonNoReplica
	}
	return pln, ""
}

func (ses *session) job(left time.Duration) place.Request {
	prm := ses.cal.Prompt
	job := place.Request{
		Now: ses.opts.Clock.Now(), PromptTokens: prm.Tokens, OutputTokens: ses.output(), GapTarget: ses.rte.GapTarget,
		TimeLeft:   left,
		DataCentre: ses.opts.DataCentre, ExcludeReplicas: ses.avoid, Jitter: rand.Float64,
	}
	if ses.opts.LoadUnknown != nil {
		job.LoadUnknown = ses.opts.LoadUnknown()
	}
	if ses.rte.LatencyTarget > 0 {
		job.LatencyTarget = ses.rte.LatencyTarget - ses.opts.Clock.Since(ses.cal.Arrived)
	} else {
		job.LatencyTarget = left
	}
	if ses.rte.ClientIdleTimeout > 0 {
		job.ClientIdleTimeout = ses.rte.ClientIdleTimeout - ses.opts.Clock.Since(ses.waitingSince())
	}
	return job
}

// output predicts the output in tokens. The client's estimate is often far off, so it is doubled.
func (ses *session) output() int {
	prm := ses.cal.Prompt
	if prm.OutputHint > 0 {
		return min(prm.MaxOutput, 2*prm.OutputHint)
	}
	return prm.MaxOutput
}

// work is what the call means for a replica.
func (ses *session) work(pln *place.Placement) fleet.Task {
	prm := ses.cal.Prompt
	return fleet.Task{
		KVTokens: prm.Tokens + ses.output(), PrefillTime: pln.PrefillTime, GapTarget: ses.rte.GapTarget,
		Value: pln.Value,
		DueAt: ses.cal.Arrived.Add(ses.rte.LatencyTarget), TargetMissed: ses.late(),
		SplitPrompt: len(pln.Helpers) > 0,
	}
}

// logPlan logs where a call is sent and on what grounds.
func (ses *session) logPlan(pln *place.Placement) {
	if !ses.opts.Log.V(1).Enabled() {
		return
	}
	var helpers []string
	for _, hlp := range pln.Helpers {
		helpers = append(helpers, hlp.View.ID)
	}
	vie := &pln.Primary
	ses.opts.Log.V(1).Info("relay: call placed", "call", ses.cal.ID, "replica", vie.ID, "helpers", helpers,
		"tokens", ses.cal.Prompt.Tokens, "read", pln.PrefillTime, "expected", pln.FirstEvent, "writers",
		vie.DecodeStreams,
		"unread", vie.PrefillBacklog, "ahead", vie.SplitBacklog, "memory", vie.KVTokens, "works", len(vie.Tasks),
		"risk", vie.FailureRate)
}

// waitingSince returns when the client's present wait for an event began.
func (ses *session) waitingSince() time.Time {
	if ses.events > 0 {
		return ses.lastEventAt
	}
	return ses.cal.Arrived
}
