package soak

import (
	"syscall"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

const (
	// falseNoticeTime is the time after which a replica that falsely says that it leaves is replaced. It is shorter
	// than the time after which fronts that have no other replica may use it again.
	falseNoticeTime = 4 * drainTime
	// noticeLead is the time from the notice of a replica until a front that has just got it is disturbed.
	noticeLead = 50 * time.Millisecond
	// pauseNotice is the time within which calls that were in flight may still reach a replica that asks for a pause.
	pauseNotice      = 500 * time.Millisecond
	maxCallsInPause  = 2
	plannedPauseTime = 2 * time.Second
)

// pauses are what replicas say when they refuse calls: times, and values that stand for none.
var pauses = []plsim.Pause{
	{Value: "0.8", Time: 800 * time.Millisecond},
	{Value: "2", Time: 2 * time.Second},
	{Value: " 3 ", Time: 3 * time.Second},
	{Value: "0"},
	{Value: "-2"},
	{Value: "soon"},
}

// pauseReplica makes a random replica refuse calls and ask for a pause for the given time.
func (sok *Soak) pauseReplica(pse plsim.Pause, dur time.Duration) {
	sok.mu.Lock()
	rep := sok.live[sok.rnd.IntN(len(sok.live))].server
	sok.mu.Unlock()
	rep.SetPause(&pse)
	time.AfterFunc(dur, func() { rep.SetPause(nil) })
}

// leaveReplica makes a replica say in its responses that it leaves, and removes and stops it later. Its registration
// stays as it is meanwhile.
func (sok *Soak) leaveReplica() {
	rep := sok.replaceReplica()
	rep.server.SetLeaving(true)
	time.AfterFunc(2*drainTime, func() {
		sok.store.RemoveReplica(rep.id)
		rep.server.Stop()
	})
}

// leaveFalsely makes a replica say that it leaves, although it stays registered as ready and serves. It is replaced
// later.
func (sok *Soak) leaveFalsely() {
	if !sok.lying.CompareAndSwap(false, true) {
		return
	}
	rep := sok.replaceReplica()
	rep.server.SetLeaving(true)
	time.AfterFunc(falseNoticeTime, func() {
		sok.store.RemoveReplica(rep.id)
		rep.server.Stop()
		sok.lying.Store(false)
	})
}

// disturbAfterNotice makes a replica leave, falsely or not, or ask for a pause, and just after that freezes a front for
// the given time, or starts it again.
func (sok *Soak) disturbAfterNotice(frt *front, dur time.Duration) {
	switch sok.rnd.IntN(3) {
	case 0:
		sok.leaveFalsely()
	case 1:
		sok.leaveReplica()
	case 2:
		sok.pauseReplica(pauses[sok.rnd.IntN(len(pauses))], dur)
	}
	time.Sleep(noticeLead)
	if sok.rnd.IntN(2) == 0 {
		go sok.restart(frt, syscall.SIGKILL)
		return
	}
	frt.signal(syscall.SIGSTOP)
	time.AfterFunc(dur, func() { frt.signal(syscall.SIGCONT) })
}

// sender is a run of a front.
type sender struct{ front, run int }

// senderAt is a run of a front and a replica to which it has sent calls.
type senderAt struct {
	sender
	replica string
}

// verifyNotices checks which calls reached replicas after they had said that they leave or asked for a pause. The
// caller holds mu.
func (chk *checker) verifyNotices() {
	calls := make(map[string]*call, len(chk.calls))
	for idx := range chk.calls {
		calls[chk.calls[idx].id] = &chk.calls[idx]
	}
	byPair := make(map[senderAt][]plsim.Arrival)
	perCall := make(map[string]int)
	for _, arv := range chk.arrivals {
		perCall[arv.Call]++
		if cal := calls[arv.Call]; cal != nil {
			pair := senderAt{sender{cal.front, cal.run}, arv.Replica}
			byPair[pair] = append(byPair[pair], arv)
		}
	}
	for pair, list := range byPair {
		chk.verifyLeavingNotices(pair, list, calls, perCall)
		for _, arv := range list {
			chk.verifyPause(pair, list, arv)
		}
	}
}

// verifyLeavingNotices checks that a front sent no calls to a replica later than the drain time after it had passed on
// a response that said that the replica leaves. A call that reached several replicas does not show whose response was
// passed on.
func (chk *checker) verifyLeavingNotices(
	pair senderAt, list []plsim.Arrival, calls map[string]*call, perCall map[string]int,
) {
	var told time.Time
	for _, arv := range list {
		cal := calls[arv.Call]
		if arv.Leaving && cal.outcome.Status == 200 && cal.outcome.Complete && perCall[arv.Call] == 1 &&
			(told.IsZero() || cal.ended.Before(told)) {
			told = cal.ended
		}
	}
	if told.IsZero() {
		return
	}
	for _, arv := range list {
		late := calls[arv.Call].sent.Sub(told) - drainTime
		chk.recordCheck(invariantLeaving, late <= 0, "front %d sent %s to %s, %v after the drain time", pair.front,
			arv.Call, pair.replica, late)
	}
}

// verifyPause checks how many calls of a front reached a replica within the pause that it had asked for in the response
// to another one.
func (chk *checker) verifyPause(pair senderAt, list []plsim.Arrival, asked plsim.Arrival) {
	end := asked.At.Add(asked.Pause)
	if asked.Pause <= pauseNotice+slack || !chk.faultFree(asked.At.Add(-time.Second), end) {
		return
	}
	num := 0
	for _, arv := range list {
		if arv.At.After(asked.At.Add(pauseNotice+slack)) && arv.At.Before(end.Add(-slack)) {
			num++
		}
	}
	chk.recordCheck(invariantPause, num <= maxCallsInPause, "front %d sent %d calls to %s within its pause", pair.front,
		num, pair.replica)
}
