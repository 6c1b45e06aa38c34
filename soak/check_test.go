package soak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// TestViolationsAreDetected guards against a checker that passes although an invariant was violated.
func TestViolationsAreDetected(t *testing.T) {
	start := time.Now()
	at := start.Add
	sec := func(num int) time.Time { return at(time.Duration(num) * time.Second) }
	movedCall := func(sent int, srv string) call {
		return call{id: "c", path: "/moved/x", sent: sec(sent), ended: sec(sent), outcome: plsim.Outcome{
			Status: 200, Complete: true, Signed: true, Body: plsim.ResponseBody("c", srv),
		}}
	}
	runCall := func(chk *checker, id, path string) {
		chk.observer().OnRunStart(plsim.Run{ID: id, Path: path, Body: "body of " + id})
	}
	for invariant, violate := range map[string]func(chk *checker){
		invariantAtMostOnce: func(chk *checker) {
			runCall(chk, "c", "/unsafe/x")
			runCall(chk, "c", "/unsafe/x")
			chk.recordCall(call{id: "c", path: "/unsafe/x"})
		},
		invariantNotExecuted: func(chk *checker) {
			runCall(chk, "c", "/unsafe/x")
			chk.recordCall(call{id: "c", path: "/unsafe/x", outcome: plsim.Outcome{Status: 503, Complete: true}})
		},
		invariantRequest: func(chk *checker) {
			runCall(chk, "c", "/safe/y")
			chk.recordCall(call{id: "c", path: "/safe/x"})
		},
		invariantResponse: func(chk *checker) {
			chk.recordCall(call{id: "c", path: "/safe/x", outcome: plsim.Outcome{
				Status: 200, Mismatch: "of another call",
			}})
		},
		invariantLost: func(chk *checker) {
			chk.checkLost(&lostCall{since: at(0), ended: sec(1), outcome: plsim.Outcome{
				Status: 503, Body: `{"error":"crashes-replicas"}`,
			}})
		},
		invariantSlow: func(chk *checker) {
			chk.checkLate(&call{id: "s1", sent: at(0), ended: sec(1), outcome: plsim.Outcome{Status: 200}})
		},
		invariantCrashes: func(chk *checker) {
			for second := range 10 {
				chk.recordCrash(plsim.Run{Path: "/safe/deadly-1", At: sec(second)})
			}
		},
		invariantLeaving: func(chk *checker) {
			chk.observer().OnArrival(plsim.Arrival{Call: "c1", Replica: "i", At: at(0), Leaving: true})
			chk.recordCall(call{id: "c1", sent: at(0), ended: at(0), outcome: plsim.Outcome{
				Status: 200, Complete: true,
			}})
			chk.observer().OnArrival(plsim.Arrival{Call: "c2", Replica: "i", At: at(drainTime + 2*time.Second)})
			chk.recordCall(call{id: "c2", sent: at(drainTime + time.Second)})
		},
		invariantPause: func(chk *checker) {
			chk.observer().OnArrival(plsim.Arrival{Call: "c0", Replica: "i", At: at(0), Pause: 3 * time.Second})
			chk.recordCall(call{id: "c0"})
			for _, id := range []string{"c1", "c2", "c3"} {
				chk.observer().OnArrival(plsim.Arrival{Call: id, Replica: "i", At: at(time.Second)})
				chk.recordCall(call{id: id})
			}
		},
		invariantEvacuated: func(chk *checker) {
			chk.evacuations = []evacuation{{dataCentre: "y", interval: interval{at(0), at(time.Minute)}}}
			for _, replica := range []string{"i-1-y", "i-2-z"} {
				chk.observer().OnArrival(plsim.Arrival{Replica: replica, At: at(evacuationTime + time.Second)})
			}
			chk.observer().OnArrival(plsim.Arrival{Replica: "i-1-y", At: at(time.Second)}) // in time
			chk.observer().OnArrival(plsim.Arrival{Replica: "i-1-y", At: at(2 * time.Minute)})
		},
		invariantFlood: func(chk *checker) {
			for num := range 40 {
				account, status := plsim.AccountFlood, 200
				if num%2 == 0 {
					account = plsim.AccountModest
				}
				if num%3 == 0 {
					status = 503
				}
				chk.recordCall(call{
					id: "c", path: plsim.SharedPath, account: account,
					outcome: plsim.Outcome{Status: status, Complete: true},
				})
			}
		},
		invariantDrain: func(chk *checker) {
			chk.drainingSince["i"] = at(0)
			chk.observer().OnArrival(plsim.Arrival{Replica: "i", At: at(drainTime + time.Second)})
		},
		invariantRemoved: func(chk *checker) {
			chk.removedSince["i"] = at(0)
			chk.observer().OnArrival(plsim.Arrival{Replica: "i", At: at(drainTime + time.Second)})
		},
		invariantConfigDelay: func(chk *checker) {
			chk.publishTimes = []time.Time{at(0), at(time.Second)}
			chk.recordCall(movedCall(9, "s1"))
		},
		invariantConfigOrder: func(chk *checker) {
			chk.publishTimes = []time.Time{at(0), at(time.Second)}
			chk.recordCall(movedCall(2, "s2"))
			chk.recordCall(movedCall(3, "s1"))
		},
		invariantCancel: func(chk *checker) {
			runCall(chk, "c", "/safe/x")
			chk.observer().OnRunEnd(plsim.Run{ID: "c"}, true, at(2*time.Second))
			chk.recordCall(call{
				id: "c", path: "/safe/x", sent: at(0), disconnectedAt: at(time.Second), ended: at(time.Second),
			})
		},
		invariantPlannedStop: func(chk *checker) {
			runCall(chk, "c", "/safe/x")
			chk.recordCall(call{
				id: "c", path: "/safe/x", duringPlannedStop: true, outcome: plsim.Outcome{Err: errors.New("reset")},
			})
		},
		invariantCold: func(chk *checker) {
			chk.observer().OnOverrun(plsim.Overrun{Replica: "i", Calls: 12, ColdSince: at(0), At: at(coldTime)})
		},
		invariantNoExit: func(chk *checker) { (&Soak{chk: chk}).recordUnexpected(errors.New("exit 2")) },
	} {
		t.Run(invariant, func(t *testing.T) {
			iis := is.New(t)
			chk := newChecker()
			violate(chk)
			chk.verifyAll()
			iis.Equal(len(chk.violations), 1)
			iis.True(strings.HasPrefix(chk.violations[0], invariant))
		})
	}
}

// TestEndlessRunIsDetected guards against a run that goes on for ever after its client has disconnected, and passes
// because it has no end.
func TestEndlessRunIsDetected(t *testing.T) {
	iis := is.New(t)
	chk := newChecker()
	now := time.Now()
	chk.observer().OnRunStart(plsim.Run{ID: "c", Path: "/safe/x", Body: "body of c"})
	chk.recordCall(call{id: "c", path: "/safe/x", sent: now, disconnectedAt: now, ended: now})
	chk.verifyAll()
	iis.Equal(len(chk.violations), 1)
	iis.True(strings.HasPrefix(chk.violations[0], invariantCancel))
}

// TestTimeLimitsAreNotCheckedAfterFaults guards against checks of time limits while a fault has not yet settled.
func TestTimeLimitsAreNotCheckedAfterFaults(t *testing.T) {
	iis := is.New(t)
	chk := newChecker()
	now := time.Now()
	chk.recordFault(time.Second)
	iis.True(!chk.faultFree(now.Add(2*time.Second), now.Add(3*time.Second)))
	iis.True(chk.faultFree(now.Add(time.Second+settleTime+slack), now.Add(9*time.Second)))
}
