package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/cost"
)

// Sizes of an event of a stream, in bytes.
const (
	maxEventBytes = 1 << 20
	// smallEventBytes is the size up to which an event is not counted as memory of its call.
	smallEventBytes = 16 << 10
)

// event is a server-sent event.
type event struct {
	raw   []byte // as received, with the empty line at its end
	id    int64
	hasID bool
	// isComment is set if all lines are comments, so that the event says nothing.
	isComment bool
}

// eventReader splits a stream into events. It never returns an incomplete event.
type eventReader struct {
	reader  *bufio.Reader
	buf     []byte
	buffers *callBuffers
	taken   int  // of the memory, in bytes
	isAhead bool // the event in peeked has been read and is the next one
	peeked  event
}

var (
	errEventTooLong = errors.New("relay: stream event is too long")
	errNoEvents     = errors.New("relay: the stream has no events")
)

// next returns the next complete event. It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF if the
// stream ends within an event. The event is valid until the next call.
func (evr *eventReader) next() (event, error) {
	if evr.isAhead {
		evr.isAhead = false
		return evr.peeked, nil
	}
	evr.buf = evr.buf[:0]
	evt := event{isComment: true}
	lineStart := 0
	for {
		part, err := evr.reader.ReadSlice('\n')
		if err := evr.grow(len(part)); err != nil {
			return event{}, err
		}
		evr.buf = append(evr.buf, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(evr.buf) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(evr.buf[lineStart:], "\r\n")
		lineStart = len(evr.buf)
		if len(text) == 0 {
			evt.raw = evr.buf
			return evt, nil
		}
		evt.isComment = evt.isComment && text[0] == ':'
		if val, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			num, err := strconv.ParseInt(string(bytes.TrimSpace(val)), 10, 64)
			evt.id, evt.hasID = num, err == nil
		}
	}
}

// peek reads the next event, which the following call of next returns too. It drops comments before it.
func (evr *eventReader) peek() error {
	for {
		evt, err := evr.next()
		if err != nil {
			return err
		}
		if !evt.isComment {
			evr.peeked, evr.isAhead = evt, true
			return nil
		}
	}
}

// holdsEvent tells whether another complete event has been received.
func (evr *eventReader) holdsEvent() bool {
	buf, _ := evr.reader.Peek(evr.reader.Buffered()) // What is buffered can be read without an error.
	return bytes.Contains(buf, []byte("\n\n")) || bytes.Contains(buf, []byte("\n\r\n"))
}

// grow takes the memory that the event needs to grow by the given number of bytes. It returns errEventTooLong if the
// event becomes too long, and errBuffersFull if there is no memory.
func (evr *eventReader) grow(num int) error {
	size := len(evr.buf) + num
	if size > maxEventBytes {
		return errEventTooLong
	}
	if size <= smallEventBytes || size <= evr.taken {
		return nil
	}
	if err := evr.buffers.take(int64(size)); err != nil {
		return err
	}
	evr.taken += size
	return nil
}

// forwardStream forwards events as they arrive. If the stream breaks, a retry at another replica can resume it after
// the last event that was sent to the client.
func (att *attempt) forwardStream() outcome {
	if defect := att.replyDefect(att.reply); defect != "" {
		return outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: errors.New(defect)}
	}
	for {
		evt, err := att.nextEvent()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return att.finishStream(att.response, att.reply)
		}
		if err != nil {
			err = fmt.Errorf("relay: read stream: %w", err)
			return outcome{mayHaveRun: true, reason: att.failureReason(err), err: err}
		}
		if err := att.rest.check(&evt); err != nil {
			return att.rejectStream(err)
		}
		holdsEvent := att.holdsEvent() // Another goroutine may read the stream as soon as the event is recorded.
		if !evt.isComment {
			att.stall.recordEvent()
			att.recordFirstEvent()
			att.recordProgress()
		}
		if !att.hdl.clientHas(evt) {
			att.sentEvent = att.sentEvent || !evt.isComment
			if err := att.sendEvent(att.reply, evt, !holdsEvent); err != nil {
				return outcome{final: true, mayHaveRun: true, reason: reasonClientLeft, err: err}
			}
		}
		if !evt.isComment {
			att.stall.awaitEvent()
		}
	}
}

// rejectStream ends an attempt whose stream cannot be that of the call.
func (att *attempt) rejectStream(err error) outcome {
	hdl := att.hdl
	hdl.opts.Metrics.CountEvent("stream-rejected")
	hdl.opts.Log.Info("relay: stream is not that of the call", "call", hdl.cal.ID,
		"replica", att.placement.Primary.ID, "last-event", hdl.lastEventID, "events", hdl.eventsSent,
		"error", err.Error())
	return outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: err}
}

// recordFirstEvent records that the stream has begun, once.
func (att *attempt) recordFirstEvent() {
	if !att.firstEventReceived.Swap(true) {
		att.tasks.markDecoding()
		att.recordPace()
	}
}

// clientHas tells whether an earlier attempt has sent the event to the client.
func (hdl *callHandler) clientHas(evt event) bool {
	return evt.hasID && hdl.hasLastEventID && evt.id <= hdl.lastEventID
}

// sendEvent sends one event to the client.
func (att *attempt) sendEvent(rep call.Reply, evt event, flush bool) error {
	hdl := att.hdl
	if !hdl.headSent {
		hdl.opts.Codec.WriteReply(hdl.rw.Header(), rep)
		hdl.rw.WriteHeader(rep.Status)
		hdl.headSent = true
	}
	if _, err := hdl.rw.Write(evt.raw); err != nil {
		return fmt.Errorf("relay: send event: %w", err)
	}
	if !evt.isComment {
		att.observePause()
		hdl.recordEvent(evt, att.tasks)
	}
	if !flush {
		return nil
	}
	if err := http.NewResponseController(hdl.rw).Flush(); err != nil {
		return fmt.Errorf("relay: send event: %w", err)
	}
	return nil
}

// observePause records the pause before an event, relative to the predicted iteration time, in the latency ratio of the
// primary replica. The first event of an attempt follows no pause.
func (att *attempt) observePause() {
	now := att.hdl.opts.Clock.Now()
	if !att.lastEventAt.IsZero() && att.placement.IterationTime > 0 {
		att.placement.Primary.Replica.ObserveLatencyRatio(
			float64(now.Sub(att.lastEventAt)) / float64(att.placement.IterationTime))
	}
	att.lastEventAt = now
}

// recordEvent updates the times and the last event ID of the call for an event that was sent to the client, and marks
// its task if the call has just missed its target.
func (hdl *callHandler) recordEvent(evt event, tasks attemptTasks) {
	now := hdl.opts.Clock.Now()
	hadMissedTarget := hdl.eventsSent > 0 && hdl.missedTarget()
	if hdl.eventsSent == 0 {
		hdl.firstEvent = now.Sub(hdl.cal.Arrived)
		length := cost.Class(hdl.cal.Prompt.Tokens)
		hdl.opts.Metrics.ObserveFirstToken(length, hdl.firstEvent.Seconds())
		if hdl.placement.FirstEvent > 0 {
			predicted := hdl.placedAt.Sub(hdl.cal.Arrived) + hdl.placement.FirstEvent
			hdl.opts.Metrics.ObservePredictionError(length, (hdl.firstEvent - predicted).Seconds())
		}
	} else {
		hdl.longestGap = max(hdl.longestGap, now.Sub(hdl.lastEventAt))
	}
	hdl.lastEventAt = now
	hdl.eventsSent++
	if evt.hasID {
		hdl.largestIDStep = max(hdl.largestIDStep, evt.id-hdl.lastEventID)
		hdl.lastEventID, hdl.hasLastEventID = evt.id, true
	}
	if !hadMissedTarget && hdl.missedTarget() {
		tasks[0].MarkTargetMissed()
	}
}

// finishStream completes a response whose last event has been forwarded. A stream without events is whole only if its
// client resumed it and has them all.
func (att *attempt) finishStream(res *http.Response, rep call.Reply) outcome {
	hdl := att.hdl
	att.releaseConn(res, nil)
	isProof, err := att.checkEnd(res)
	if err != nil {
		return outcome{mayHaveRun: true, reason: reasonStreamBroken, err: err}
	}
	if !att.sentEvent && (hdl.headSent || !hdl.hasLastEventID) {
		return att.rejectStream(errNoEvents)
	}
	if isProof && att.eventsReceived > 0 { // A replica that has nothing to write does not crash.
		att.recordAnswer()
	}
	if !hdl.headSent {
		hdl.opts.Codec.WriteReply(hdl.rw.Header(), rep)
		hdl.rw.WriteHeader(rep.Status)
		hdl.headSent = true
	}
	return outcome{final: true, status: rep.Status, mayHaveRun: true, reason: reasonDone}
}
