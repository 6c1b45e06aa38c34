package soak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// TestBrokenPromisesAreSeen guards against a soak that passes whatever happens.
func TestBrokenPromisesAreSeen(t *testing.T) {
	began := time.Now()
	at := began.Add
	sec := func(num int) time.Time { return at(time.Duration(num) * time.Second) }
	moved := func(sent int, srv string) call {
		return call{id: "c", path: "/moved/x", sent: sec(sent), ended: sec(sent), out: plsim.Outcome{
			Status: 200, Whole: true, Signed: true, Body: plsim.Answer("c", srv),
		}}
	}
	ran := func(chk *checker, id, path string) {
		chk.observer().Began(plsim.Run{ID: id, Path: path, Body: "body of " + id})
	}
	for promise, breaks := range map[string]func(chk *checker){
		promiseOnce: func(chk *checker) {
			ran(chk, "c", "/unsafe/x")
			ran(chk, "c", "/unsafe/x")
			chk.ended(call{id: "c", path: "/unsafe/x"})
		},
		promiseNotRun: func(chk *checker) {
			ran(chk, "c", "/unsafe/x")
			chk.ended(call{id: "c", path: "/unsafe/x", out: plsim.Outcome{Status: 503, Whole: true}})
		},
		promiseAsked: func(chk *checker) {
			ran(chk, "c", "/safe/y")
			chk.ended(call{id: "c", path: "/safe/x"})
		},
		promiseAnswer: func(chk *checker) {
			chk.ended(call{id: "c", path: "/safe/x", out: plsim.Outcome{Status: 200, Fault: "of another call"}})
		},
		promiseDrain: func(chk *checker) {
			chk.drained["i"] = at(0)
			chk.observer().Arrived("i", at(drainTime+time.Second))
		},
		promiseConfig: func(chk *checker) {
			chk.versions = []time.Time{at(0), at(time.Second)}
			chk.ended(moved(9, "s1"))
		},
		promiseForward: func(chk *checker) {
			chk.versions = []time.Time{at(0), at(time.Second)}
			chk.ended(moved(2, "s2"))
			chk.ended(moved(3, "s1"))
		},
		promiseGone: func(chk *checker) {
			ran(chk, "c", "/safe/x")
			chk.observer().Worked(plsim.Run{ID: "c"}, true, at(2*time.Second))
			chk.ended(call{id: "c", path: "/safe/x", sent: at(0), leftAt: at(time.Second), ended: at(time.Second)})
		},
		promiseStop: func(chk *checker) {
			ran(chk, "c", "/safe/x")
			chk.ended(call{id: "c", path: "/safe/x", stopping: true, out: plsim.Outcome{Err: errors.New("reset")}})
		},
		promiseAlive: func(chk *checker) { (&Soak{chk: chk}).unexpected(errors.New("exit 2")) },
	} {
		t.Run(promise, func(t *testing.T) {
			iis := is.New(t)
			chk := newChecker()
			breaks(chk)
			chk.verify()
			iis.Equal(len(chk.broken), 1)
			iis.True(strings.HasPrefix(chk.broken[0], promise))
		})
	}
}

// TestFaultsExcuseLateness guards against timed promises that are checked while a fault has not settled.
func TestFaultsExcuseLateness(t *testing.T) {
	iis := is.New(t)
	chk := newChecker()
	now := time.Now()
	chk.fault(time.Second)
	iis.True(!chk.calm(now.Add(2*time.Second), now.Add(3*time.Second)))
	iis.True(chk.calm(now.Add(time.Second+settled+slack), now.Add(9*time.Second)))
}
