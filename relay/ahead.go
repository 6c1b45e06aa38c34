package relay

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Times of streams whose clients read slowly.
const (
	// slowCheckInterval is the time between two checks whether a client takes events. After two that find an event on
	// its way, the stream is read ahead, long before a replica cuts off a response that remains unread.
	slowCheckInterval = 400 * time.Millisecond
	// slowWriteTimeout is the time after which a call is ended whose client takes no byte of an event.
	slowWriteTimeout = 30 * time.Second
	// unreadTime is the time for which a stream must remain unread for its end to be put down to this process.
	unreadTime = time.Second
	// caughtUpTime is how long a read takes at least if all that had arrived before has been read.
	caughtUpTime = 20 * time.Millisecond
	// roomInterval is the time after which a reader looks for memory that other calls have given back.
	roomInterval = 500 * time.Millisecond
)

// eventOverhead is the memory that an event takes beside its bytes.
const eventOverhead = 64

// readAhead reads the stream of an attempt into memory from the time on at which its client is found to be slow. Once
// it has begun, it reads the stream to its end.
type readAhead struct {
	att      *attempt
	reading  *callBuffers  // for the event that is read, used by the reader alone
	arrived  chan struct{} // receives when there is an event or the end of the stream
	freed    chan struct{} // receives when an event has been taken
	unread   time.Duration // for which the stream was left unread since all that had arrived was read; for the reader
	mu       sync.Mutex
	held     *callBuffers // for the events in queue
	queue    []event
	err      error // with which the stream ended
	isCutOff bool  // it had remained unread until then
	stopped  bool
}

// slowCheck checks whether the client takes events.
type slowCheck struct {
	timer *timer.Subscription
	slow  bool // an event was on its way to the client at the last check
}

// scheduleSlowCheck sets the timer for the next check whether the client takes events. The lock must be held.
func (wtc *stallWatch) scheduleSlowCheck() {
	if !wtc.stopped && wtc.att.ahead.Load() == nil {
		wtc.slow.timer = wtc.att.hdl.opts.Clock.After(slowCheckInterval, wtc.checkSlow)
	}
}

// checkSlow begins to read ahead if an event is on its way to the client, as at the last check: the client takes none,
// or takes them more slowly than the replica sends them.
func (wtc *stallWatch) checkSlow() {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	if wtc.sending && wtc.slow.slow && !wtc.stopped {
		wtc.att.startAhead()
		return
	}
	wtc.slow.slow = wtc.sending
	wtc.scheduleSlowCheck()
}

// startAhead begins to read the stream ahead. The goroutine of the call is sending an event, and does not read.
func (att *attempt) startAhead() {
	hdl := att.hdl
	ahd := &readAhead{
		att: att, arrived: make(chan struct{}, 1), freed: make(chan struct{}, 1),
		reading: &callBuffers{buffers: hdl.relay.buffers}, held: &callBuffers{buffers: hdl.relay.buffers},
	}
	att.ahead.Store(ahd)
	_ = http.NewResponseController(hdl.rw).SetWriteDeadline(hdl.opts.Clock.Now().Add(slowWriteTimeout))
	hdl.opts.Metrics.CountEvent("client-reads-slowly")
	hdl.opts.Log.Info("relay: client reads slowly, stream is read ahead", "call", hdl.cal.ID,
		"replica", att.placement.Primary.ID, "buffers-used", hdl.relay.buffers.used.Load(),
		"ahead", hdl.relay.buffers.ahead.Load())
	go ahd.run(&eventReader{reader: att.events.reader, buffers: ahd.reading})
}

// run reads events until the stream ends or breaks.
func (ahd *readAhead) run(evr *eventReader) {
	defer ahd.reading.release()
	clk := ahd.att.hdl.opts.Clock
	ahd.unread = slowCheckInterval
	for {
		start := clk.Now()
		evt, err := evr.next()
		if clk.Since(start) >= caughtUpTime {
			ahd.unread = 0
		}
		if err != nil {
			ahd.end(err)
			return
		}
		evt.raw = slices.Clone(evt.raw)
		if !ahd.add(evt) {
			return
		}
	}
}

// add adds an event to the queue, once there is memory for it. It returns false if the attempt has ended.
func (ahd *readAhead) add(evt event) bool {
	hdl := ahd.att.hdl
	start := hdl.opts.Clock.Now()
	for isFull := false; !ahd.tryAdd(evt); isFull = true {
		if !isFull {
			hdl.opts.Metrics.CountEvent("stream-left-unread")
		}
		tmr, due := ahd.wakeAfter(roomInterval)
		select {
		case <-ahd.freed:
		case <-due:
		case <-ahd.att.ctx.Done():
			ahd.end(ahd.att.ctx.Err())
			return false
		}
		tmr.Stop()
	}
	ahd.unread += hdl.opts.Clock.Since(start)
	return !ahd.isStopped()
}

func (ahd *readAhead) isStopped() bool {
	ahd.mu.Lock()
	defer ahd.mu.Unlock()
	return ahd.stopped
}

// wakeAfter returns a channel that is closed after some time.
func (ahd *readAhead) wakeAfter(delay time.Duration) (*timer.Subscription, chan struct{}) {
	due := make(chan struct{})
	return ahd.att.hdl.opts.Clock.After(delay, func() { close(due) }), due
}

// tryAdd adds an event to the queue if there is memory for it, or if the attempt has ended. There is always room for
// one, so that a client that takes events again gets them.
func (ahd *readAhead) tryAdd(evt event) bool {
	ahd.mu.Lock()
	defer ahd.mu.Unlock()
	if ahd.stopped {
		return true
	}
	if !ahd.held.takeAhead(evt.size(), len(ahd.queue) == 0) {
		return false
	}
	ahd.queue = append(ahd.queue, evt)
	signal(ahd.arrived)
	return true
}

// end records how the stream ended.
func (ahd *readAhead) end(err error) {
	ahd.mu.Lock()
	defer ahd.mu.Unlock()
	ahd.err, ahd.isCutOff = err, ahd.unread >= unreadTime
	signal(ahd.arrived)
}

// signal wakes the goroutine that receives from a channel with room for one.
func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// size returns the memory that an event takes in a queue.
func (evt *event) size() int64 { return int64(len(evt.raw)) + eventOverhead }

// next returns the next event, or the error with which the stream ended. The memory of the event is given back, as it
// is sent at once.
func (ahd *readAhead) next() (event, error) {
	for {
		ahd.mu.Lock()
		if len(ahd.queue) > 0 {
			evt := ahd.queue[0]
			ahd.queue = ahd.queue[1:]
			ahd.held.giveAhead(evt.size())
			signal(ahd.freed)
			ahd.mu.Unlock()
			_ = http.NewResponseController(ahd.att.hdl.rw).SetWriteDeadline(
				ahd.att.hdl.opts.Clock.Now().Add(slowWriteTimeout))
			return evt, nil
		}
		err := ahd.err
		ahd.mu.Unlock()
		if err != nil {
			return event{}, err
		}
		<-ahd.arrived
	}
}

// holdsEvent tells whether another event has been read.
func (ahd *readAhead) holdsEvent() bool {
	ahd.mu.Lock()
	defer ahd.mu.Unlock()
	return len(ahd.queue) > 0
}

// wasUnread reports whether the stream ended while this process had left it unread, so that the replica may have cut it
// off.
func (ahd *readAhead) wasUnread() bool {
	if ahd == nil {
		return false
	}
	ahd.mu.Lock()
	defer ahd.mu.Unlock()
	return ahd.isCutOff
}

// stop gives back what is held. The connection of the attempt has been closed or read to its end.
func (ahd *readAhead) stop() {
	if ahd == nil {
		return
	}
	ahd.mu.Lock()
	defer ahd.mu.Unlock()
	ahd.stopped = true
	ahd.queue = nil
	ahd.held.giveAhead(ahd.held.held)
	signal(ahd.freed)
	_ = http.NewResponseController(ahd.att.hdl.rw).SetWriteDeadline(time.Time{}) // Other calls may follow.
}

// nextEvent returns the next event of the stream.
func (att *attempt) nextEvent() (event, error) {
	if ahd := att.ahead.Load(); ahd != nil {
		return ahd.next()
	}
	return att.events.next()
}

// holdsEvent tells whether another complete event has been received.
func (att *attempt) holdsEvent() bool {
	if ahd := att.ahead.Load(); ahd != nil {
		return ahd.holdsEvent()
	}
	return att.events.holdsEvent()
}
