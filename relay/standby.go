package relay

import (
	"errors"
	"fmt"
	"io"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// startStandby begins a standby attempt if one may be begun, and else examines the stream again later. The run in
// progress is kept until the stream of the standby attempt has begun. The lock must be held.
func (wtc *stallWatch) startStandby() {
	hdl := wtc.att.hdl
	plc := hdl.placeStandby(wtc.att.placement)
	if plc == nil {
		wtc.schedule(wtc.times.recheck)
		return
	}
	sby := hdl.newConcurrentAttempt(plc)
	done := make(chan struct{})
	wtc.standby, wtc.standbyDone = sby, done
	wtc.schedule(wtc.times.recheck)
	go func() {
		defer close(done)
		wtc.finishStandby(sby, sby.prepare())
	}()
}

// finishStandby replaces the run in progress by a standby attempt whose stream has begun, unless the run has gone on
// meanwhile. The outcome is nil if the stream has begun.
func (wtc *stallWatch) finishStandby(sby *attempt, out *outcome) {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	wtc.standby = nil
	if out == nil && wtc.examined {
		wtc.next = sby
		if !wtc.stopped {
			wtc.endAttempt()
		}
		return
	}
	if out == nil {
		out = &outcome{mayHaveRun: true, reason: reasonDone} // It began, but is not needed any more.
	}
	hdl := sby.hdl
	hdl.opts.Log.Info("relay: standby attempt ended", "call", hdl.cal.ID, "replica", sby.placement.Primary.ID,
		"outcome", out.reason, "error", out.errorText())
	sby.settle(out)
	sby.end()
}

// stop ends the watch and waits for a standby attempt. It returns one whose stream has begun, or nil. A final outcome
// of the attempt that is watched cancels the standby attempt.
func (wtc *stallWatch) stop(isFinal bool) *attempt {
	wtc.mu.Lock()
	wtc.stopped = true
	for _, tmr := range []*timer.Subscription{wtc.timer, wtc.slow.timer} {
		if tmr != nil {
			tmr.Stop()
		}
	}
	sby, done := wtc.standby, wtc.standbyDone
	wtc.mu.Unlock()
	if sby != nil {
		if isFinal {
			sby.cancel()
		}
		<-done
	}
	next := wtc.next
	if next != nil && isFinal {
		next.discard()
		return nil
	}
	return next
}

// prepare sends a standby attempt and reads the first event of its stream. It returns the outcome of the attempt if
// that fails, and nil otherwise.
func (att *attempt) prepare() *outcome {
	if out := att.open(); out != nil {
		return out
	}
	if out := att.exchange(); out != nil {
		return out
	}
	switch defect := att.replyDefect(att.reply); {
	case att.reply.NotExecuted:
		att.recordFaultyReplica()
		return &outcome{reason: reasonNotRun}
	case att.events == nil:
		return &outcome{
			mayHaveRun: true, reason: reasonReplicaFailed, err: fmt.Errorf("relay: status %d", att.reply.Status),
		}
	case defect != "":
		return &outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: errors.New(defect)}
	}
	err := att.events.peek()
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return &outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: errNoEvents}
	}
	if err != nil {
		err = fmt.Errorf("relay: read stream: %w", err)
		return &outcome{mayHaveRun: true, reason: att.failureReason(err), err: err}
	}
	if err := att.rest.check(&att.events.peeked); err != nil {
		return &outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: err}
	}
	att.recordFirstEvent()
	return nil
}
