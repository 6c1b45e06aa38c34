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

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// event is one event of a stream.
type event struct {
	raw   []byte // as the replica sent it, with the empty line at its end
	id    int64
	hasID bool
}

// eventReader splits a stream into events. Whatever follows the last complete event is never returned.
type eventReader struct {
	src *bufio.Reader
	buf []byte
}

var errLongEvent = errors.New("relay: event is too long")

// next returns the next complete event. It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF if the
// stream ends within an event. The event is valid until the next call.
func (evr *eventReader) next() (event, error) {
	evr.buf = evr.buf[:0]
	evt := event{}
	for {
		line, err := evr.src.ReadSlice('\n')
		evr.buf = append(evr.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(evr.buf) > maxEvent {
				return event{}, errLongEvent
			}
			continue
		case errors.Is(err, io.EOF) && len(evr.buf) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			evt.raw = evr.buf
			return evt, nil
		}
		if val, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			num, err := strconv.ParseInt(string(bytes.TrimSpace(val)), 10, 64)
			evt.id, evt.hasID = num, err == nil
		}
		if len(evr.buf) > maxEvent {
			return event{}, errLongEvent
		}
	}
}

// stream passes events on as they arrive. A stream that breaks can go on at another replica after the last event that
// was passed on.
func (exc *exchange) stream(res *http.Response, rep call.Reply) outcome {
	if fault := exc.fault(rep); fault != "" {
		return outcome{mayHaveRun: true, reason: reasonFailed, err: errors.New(fault)}
	}
	evr := &eventReader{src: bufio.NewReader(res.Body)}
	for {
		evt, err := evr.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return exc.endStream(res, rep)
		}
		if err != nil {
			err = fmt.Errorf("relay: read stream: %w", err)
			return outcome{mayHaveRun: true, reason: exc.brokenReason(), err: err}
		}
		if !exc.began.Swap(true) {
			exc.tickets.wrote()
		}
		if evt.hasID && exc.ses.resumes && evt.id <= exc.ses.last {
			continue // The client has it already.
		}
		if err := exc.pass(rep, evt, evr.src.Buffered() == 0); err != nil {
			return outcome{final: true, mayHaveRun: true, reason: reasonLeft, err: err}
		}
	}
}

// pass sends one event to the client.
func (exc *exchange) pass(rep call.Reply, evt event, flush bool) error {
	ses := exc.ses
	if !ses.headers {
		ses.opts.Codec.WriteReply(ses.rw.Header(), rep)
		ses.rw.WriteHeader(rep.Status)
		ses.headers = true
	}
	if _, err := ses.rw.Write(evt.raw); err != nil {
		return fmt.Errorf("relay: send event: %w", err)
	}
	exc.observePause()
	ses.note(evt, exc.tickets)
	if !flush {
		return nil
	}
	if err := http.NewResponseController(ses.rw).Flush(); err != nil {
		return fmt.Errorf("relay: send event: %w", err)
	}
	return nil
}

// observePause compares the pause before an event with the predicted one. The first event of an attempt has none.
func (exc *exchange) observePause() {
	now := exc.ses.opts.Clock.Now()
	if !exc.lastEvent.IsZero() && exc.plan.IterationTime > 0 {
		exc.plan.Primary.Replica.ObserveLatencyRatio(float64(now.Sub(exc.lastEvent)) / float64(exc.plan.IterationTime))
	}
	exc.lastEvent = now
}

// note takes an event into account that was passed on.
func (ses *session) note(evt event, tickets bookings) {
	now := ses.opts.Clock.Now()
	wasLate := ses.events > 0 && ses.late()
	if ses.events == 0 {
		ses.firstEvent = now.Sub(ses.cal.Arrived)
		ses.opts.Metrics.FirstToken(cost.Class(ses.cal.Prompt.Tokens), ses.firstEvent.Seconds())
	} else {
		ses.longestGap = max(ses.longestGap, now.Sub(ses.lastEventAt))
	}
	ses.lastEventAt = now
	ses.events++
	if evt.hasID {
		ses.last, ses.resumes = evt.id, true
	}
	if !wasLate && ses.late() {
		tickets[0].MarkTargetMissed()
	}
}

// endStream ends an answer whose last event has been passed on.
func (exc *exchange) endStream(res *http.Response, rep call.Reply) outcome {
	ses := exc.ses
	exc.finish(res, nil)
	if !ses.headers {
		ses.opts.Codec.WriteReply(ses.rw.Header(), rep)
		ses.rw.WriteHeader(rep.Status)
		ses.headers = true
	}
	return outcome{final: true, status: rep.Status, mayHaveRun: true, reason: reasonDone}
}
