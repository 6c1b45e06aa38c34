// Package once runs non-idempotent calls at most once. It records them in a stream of the platform's log, in batches.
//
// The first start item of a key in log order owns the key. Only the incarnation of the process that wrote it may run
// the call, before the call's deadline.
package once

import (
	"context"
	"errors"
	"sync"
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
	ReasonNoEnd          = "no-end-recorded" // another process started the call and has recorded no end
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

// ErrTooLate is returned by a gate when the call may no longer contact the service.
var ErrTooLate = errors.New("once: the deadline has passed")

// Options configure a Recorder.
type Options struct {
	Service      string
	AppendRate   float64 // appends a second
	BatchItems   int     // most items of a batch; 0 for the default
	RecordLimit  time.Duration
	Window       time.Duration
	AnswerMemory int // bytes
	Clock        *timer.Service
	Metrics      *metric.Set
	Log          logr.Logger

	// Append and Read access the log, as the methods of logsvc.Client do.
	Append func(ctx context.Context, stream string, data []byte) (int64, error)
	Read   func(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Batch, error)
}

// Request is one sending of a call.
type Request struct {
	Key      Key
	Print    Print
	Deadline time.Time // on the local clock
}

// Run runs a call. It invokes gate immediately before the first byte is sent to the service, and sends nothing if gate
// returns an error. It tells whether anything may have reached the service.
type Run func(ctx context.Context, gate func() error) (ans Answer, contacted bool, err error)

// Result is what became of a call. Answer is set if the outcome is done and the answer is known.
type Result struct {
	Outcome    proto.Outcome
	Reason     string
	Detail     string
	RetryAfter time.Duration
	Answer     *Answer
	Ran        bool // this sending is the one that ran the call
}

// call is a key that this process is recording or running.
type call struct {
	key     Key
	print   Print
	seq     uint64
	settled bool          // decided has its value
	decided chan bool     // whether this attempt owns the key
	done    chan struct{} // closed when result is set
	result  Result
}

// Recorder runs the calls of one service.
type Recorder struct {
	opts   Options
	stream string
	writer writer
	grp    *group.Group

	mu    sync.Mutex
	table *table
	calls map[Key]*call
	queue []item
	seq   uint64
	ready bool // the stream has been read up to the start of this process
	down  bool // the last read failed
	ended bool // the group is stopping
	wake  chan struct{}
}

// New starts a Recorder in grp.
func New(grp *group.Group, opts Options) *Recorder {
	if opts.BatchItems <= 0 {
		opts.BatchItems = maxBatchItems
	}
	rec := &Recorder{
		opts:   opts,
		stream: StreamPrefix + opts.Service,
		writer: newWriter(),
		grp:    grp,
		table:  newTable(opts.Window, opts.AnswerMemory),
		calls:  make(map[Key]*call),
		wake:   make(chan struct{}, 1),
	}
	opts.Metrics.Registry().MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "tarragonwheel", Name: "once_keys", Help: "Idempotency keys remembered.",
	}, func() float64 { return float64(rec.Remembered()) }))
	sub := opts.Clock.Every(expireInterval, rec.expire)
	grp.OnStop(sub.Stop)
	grp.Go("commit", rec.commitLoop)
	grp.Go("follow", rec.followLoop)
	return rec
}

// Remembered returns the number of keys in memory.
func (rec *Recorder) Remembered() int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.table.entries)
}

// Ready tells whether the stream has been read up to the start of this process.
func (rec *Recorder) Ready() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.ready
}

func (rec *Recorder) expire() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.table.expire(rec.opts.Clock.Now())
}

// Do runs a call, joins it if it is running here, or returns what is known of it. The call goes on until its deadline
// when ctx ends, so that its answer is recorded.
func (rec *Recorder) Do(ctx context.Context, rqs Request, run Run) Result {
	rec.mu.Lock()
	if cal := rec.calls[rqs.Key]; cal != nil {
		rec.mu.Unlock()
		if cal.print != rqs.Print {
			return keyReused()
		}
		return join(ctx, cal, false)
	}
	if ent := rec.table.entries[rqs.Key]; ent != nil {
		known := *ent
		rec.mu.Unlock()
		return rec.settle(ctx, rqs, known)
	}
	if !rec.ready || rec.down || rec.ended {
		rec.mu.Unlock()
		return logUnavailable()
	}
	cal := rec.open(rqs)
	// Under the lock, since a group that has ended takes no further goroutines.
	rec.grp.Go("call", func(ctx context.Context) error {
		rec.conduct(ctx, cal, rqs, run)
		return nil
	})
	rec.mu.Unlock()
	return join(ctx, cal, true)
}

// open registers a call and queues its start. The caller holds the lock.
func (rec *Recorder) open(rqs Request) *call {
	rec.seq++
	cal := &call{
		key: rqs.Key, print: rqs.Print, seq: rec.seq, decided: make(chan bool, 1), done: make(chan struct{}),
	}
	rec.calls[cal.key] = cal
	rec.enqueue(item{Kind: itemStart, Seq: cal.seq, Key: cal.key, Print: cal.print})
	return cal
}

func join(ctx context.Context, cal *call, first bool) Result {
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

// settle answers from what is known of a key that is not being run here.
func (rec *Recorder) settle(ctx context.Context, rqs Request, ent entry) Result {
	if ent.print != rqs.Print {
		return keyReused()
	}
	switch ent.state {
	case stateFinished:
		rec.opts.Metrics.Event("once-replayed")
		return rec.replay(ctx, rqs.Key, ent)
	case stateSurrendered:
		return Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAbandoning, RetryAfter: retryAfterAbandon}
	default:
		return Result{Outcome: proto.OutcomeUnknown, Reason: ReasonNoEnd}
	}
}

// replay returns the answer from memory, or from the log if it has been dropped from memory.
func (rec *Recorder) replay(ctx context.Context, key Key, ent entry) Result {
	ans := ent.answer
	if ans == nil && ent.offset > 0 {
		ans = rec.fetch(ctx, key, ent.offset)
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
