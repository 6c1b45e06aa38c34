// Package once runs non-idempotent calls at most once per idempotency key. It records the calls in streams of the
// platform's log, in batches of items. A key belongs to a slot by its hash, and each slot has a stream. A process reads
// only the streams of the slots for which it gets calls.
//
// A start item is appended before a call runs. The attempt whose start item is the first for its key in log order owns
// the key: only the process incarnation that wrote it may run the call, and only before the call's deadline.
package once

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Reason codes of results.
const (
	ReasonLogUnavailable = "log-unavailable" // the call could not be recorded
	ReasonKeyReused      = "key-reused"      // the key was sent before with another request
	ReasonNoEndRecorded  = "no-end-recorded" // another process started the call and has recorded no end
	ReasonAnswerLost     = "answer-lost"     // the call ran, and its answer is no longer kept
	ReasonAbandoning     = "abandoning"      // an earlier attempt is being withdrawn and did not run
	ReasonTimeout        = "deadline-exceeded"
	ReasonCancelled      = "cancelled"
	ReasonNotReached     = "service-unreachable"
	ReasonServiceFailed  = "service-failed" // the service was contacted and gave no complete answer
)

const (
	retryAfterLog     = 5 * time.Second
	retryAfterAbandon = time.Second
	expireInterval    = time.Second
)

// ErrTooLate is returned by the gate of a Run when the call may no longer be sent to the service.
var ErrTooLate = errors.New("once: the deadline has passed")

// Options configure a Recorder.
type Options struct {
	Service      string
	Slots        int           // streams over which the keys are spread; the same for all agents of the service
	AppendRate   float64       // maximum number of appends a second, over all slots
	BatchItems   int           // maximum number of items in a batch; 0 for the default
	RecordLimit  time.Duration // timeout for reading a stream to its end, and for recording the start of a call
	Window       time.Duration // time for which a key is remembered after its last start
	AnswerMemory int           // limit of the answer bodies in memory, in bytes
	Clock        *timer.Service
	Metrics      *metric.Set
	Log          logr.Logger

	// Append and Read access the log, as the methods of logsvc.Client do.
	Append func(ctx context.Context, stream string, data []byte) (int64, error)
	Read   func(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Batch, error)
}

// Request is one attempt to send a call.
type Request struct {
	Key      Key
	Hash     RequestHash
	Deadline time.Time // on the local clock
}

// Run sends a call to the service. It calls gate immediately before the first byte is sent, and sends nothing if gate
// returns an error. The result contacted is true if anything may have reached the service.
type Run func(ctx context.Context, gate func() error) (ans Answer, contacted bool, err error)

// Result is the result of a call. Answer is set if the outcome is done and the answer is known.
type Result struct {
	Outcome    proto.Outcome
	Reason     string
	Detail     string
	RetryAfter time.Duration
	Answer     *Answer
	Ran        bool // this attempt ran the call, and not an earlier one
}

// call is a key that this process is recording or running.
type call struct {
	key     Key
	print   RequestHash
	seq     uint64
	settled bool          // the value has been sent on decided
	decided chan bool     // receives whether this attempt owns the key, once its start has been read
	done    chan struct{} // closed when result is set
	result  Result
}

// Recorder runs the calls of one service.
type Recorder struct {
	opts   Options
	writer writer
	grp    *group.Group
	slots  []*slot
	seq    atomic.Uint64
	// recordsLost is set when any stream of the log has lost records. It is never reset.
	recordsLost atomic.Bool

	mu            sync.Mutex
	pending       []*slot // slots with queued items, in the order in which they are appended
	pendingSignal chan struct{}
}

// New starts a Recorder in grp.
func New(grp *group.Group, opts Options) *Recorder {
	if opts.BatchItems <= 0 {
		opts.BatchItems = maxBatchItems
	}
	rec := &Recorder{opts: opts, writer: newWriter(), grp: grp, pendingSignal: make(chan struct{}, 1)}
	pool := &answerPool{limit: int64(opts.AnswerMemory)}
	for num := range max(opts.Slots, 1) {
		rec.slots = append(rec.slots, newSlot(rec, num, pool))
	}
	rec.gauge("once_keys", "Idempotency keys remembered.", rec.Remembered)
	rec.gauge("once_slots", "Slots whose stream is followed.", rec.Followed)
	sub := opts.Clock.Every(expireInterval, rec.expire)
	grp.OnStop(sub.Stop)
	grp.Go("commit", rec.commitLoop)
	return rec
}

func (rec *Recorder) gauge(name, help string, value func() int) {
	rec.opts.Metrics.Registry().MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "tarragonwheel", Name: name, Help: help,
	}, func() float64 { return float64(value()) }))
}

// Slots returns the number of slots.
func (rec *Recorder) Slots() int { return len(rec.slots) }

// Remembered returns the number of keys in memory.
func (rec *Recorder) Remembered() int {
	return rec.count(func(slt *slot) int { return len(slt.table.entries) })
}

// Followed returns the number of slots whose stream is followed.
func (rec *Recorder) Followed() int {
	return rec.count(func(slt *slot) int {
		if slt.following {
			return 1
		}
		return 0
	})
}

// Unfinished returns the number of running calls plus the number of items that are not in the log yet. If a process
// stops when it is 0, the ends of all of its calls are recorded.
func (rec *Recorder) Unfinished() int {
	return rec.count(func(slt *slot) int { return len(slt.calls) + len(slt.queue) + slt.appending })
}

// count returns the sum of a value over all slots. The slot's lock is held when the function is called.
func (rec *Recorder) count(of func(slt *slot) int) int {
	sum := 0
	for _, slt := range rec.slots {
		slt.mu.Lock()
		sum += of(slt)
		slt.mu.Unlock()
	}
	return sum
}

// Ready reports whether all slots that are followed have caught up with their streams.
func (rec *Recorder) Ready() bool {
	return rec.count(func(slt *slot) int {
		if slt.following && !slt.caughtUp {
			return 1
		}
		return 0
	}) == 0
}

func (rec *Recorder) expire() {
	now := rec.opts.Clock.Now()
	for _, slt := range rec.slots {
		slt.mu.Lock()
		slt.table.expire(now)
		slt.mu.Unlock()
	}
}

// Do runs a call, unless its key is known: then it waits for the call if it runs here, or returns its recorded outcome.
// The call continues until its deadline when ctx ends, so that its answer is recorded.
func (rec *Recorder) Do(ctx context.Context, rqs Request, run Run) Result {
	slt := rec.slots[rqs.Key.Slot(len(rec.slots))]
	slt.catchUp(ctx)
	slt.mu.Lock()
	if cal := slt.calls[rqs.Key]; cal != nil {
		slt.mu.Unlock()
		if cal.print != rqs.Hash {
			return keyReused()
		}
		return waitForCall(ctx, cal, false)
	}
	if ent := slt.table.entries[rqs.Key]; ent != nil {
		known := *ent
		slt.mu.Unlock()
		return slt.resultOfEntry(ctx, rqs, known)
	}
	if !slt.caughtUp || slt.readFailed || slt.stopped || rec.recordsLost.Load() {
		slt.mu.Unlock()
		return logUnavailable()
	}
	cal := slt.startCall(rqs)
	// The lock is still held, since a group that has ended starts no further goroutines.
	rec.grp.Go("call", func(ctx context.Context) error {
		slt.recordAndRun(ctx, cal, rqs, run)
		return nil
	})
	slt.mu.Unlock()
	return waitForCall(ctx, cal, true)
}

// startCall registers a call and queues its start item. The caller holds the lock.
func (slt *slot) startCall(rqs Request) *call {
	cal := &call{
		key: rqs.Key, print: rqs.Hash, seq: slt.rec.seq.Add(1), decided: make(chan bool, 1), done: make(chan struct{}),
	}
	slt.calls[cal.key] = cal
	slt.enqueue(item{Kind: itemStart, Seq: cal.seq, Key: cal.key, Print: cal.print})
	return cal
}

// waitForCall waits for the end of a call. First is set for the attempt that started the call; the others get no answer
// whose body was too long to keep.
func waitForCall(ctx context.Context, cal *call, first bool) Result {
	select {
	case <-cal.done:
		res := cal.result
		res.Ran = res.Ran && first
		if !first && res.Answer != nil && res.Answer.Lost {
			res.Answer, res.Reason = nil, ReasonAnswerLost
		}
		return res
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return Result{Outcome: proto.OutcomeUnknown, Reason: ReasonTimeout}
		}
		return Result{Outcome: proto.OutcomeUnknown, Reason: ReasonCancelled}
	}
}

// resultOfEntry returns the result of a call that is recorded in the log and does not run here.
func (slt *slot) resultOfEntry(ctx context.Context, rqs Request, ent entry) Result {
	if ent.print != rqs.Hash {
		return keyReused()
	}
	switch ent.state {
	case stateFinished:
		slt.rec.opts.Metrics.CountEvent("once-replayed")
		return slt.replay(ctx, rqs.Key, ent)
	case stateAbandoning:
		return Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAbandoning, RetryAfter: retryAfterAbandon}
	default:
		return Result{Outcome: proto.OutcomeUnknown, Reason: ReasonNoEndRecorded}
	}
}

// replay returns the answer from memory, or from the log if it has been dropped from memory.
func (slt *slot) replay(ctx context.Context, key Key, ent entry) Result {
	ans := ent.answer
	if ans == nil && ent.offset > 0 {
		ans = slt.fetchAnswer(ctx, key, ent.offset)
	}
	if ans == nil || ans.Lost {
		return Result{Outcome: proto.OutcomeDone, Reason: ReasonAnswerLost}
	}
	return Result{Outcome: proto.OutcomeDone, Answer: ans}
}

func keyReused() Result {
	return Result{
		Outcome: proto.OutcomeNotRun, Reason: ReasonKeyReused,
		Detail: "the idempotency key was used with another request",
	}
}

func logUnavailable() Result {
	return Result{
		Outcome: proto.OutcomeNotRun, Reason: ReasonLogUnavailable, RetryAfter: retryAfterLog,
		Detail: "the call cannot be recorded now and was not run",
	}
}
