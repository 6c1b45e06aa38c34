// Package relay forwards the calls of clients to replicas and their answers back.
//
// A call is read whole, placed on a replica, and its answer is passed on only if it is the replica's whole answer to
// this very call. What may be repeated is sent elsewhere when a replica fails; everything else is sent at most once.
package relay

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/pool"
	"github.com/tarragonwheel/tarragonwheel/retry"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Codec translates between the program's messages and the bytes on connections.
type Codec struct {
	ReadCall     func(req *http.Request, arrived time.Time) *call.Call
	WriteCall    func(cal *call.Call, att *call.Attempt) []byte
	ReadReply    func(res *http.Response) call.Reply
	WriteReply   func(to http.Header, rep call.Reply)
	WriteRefusal func(to http.Header, id string, retryAfter time.Duration)
}

// Options configure a Relay.
type Options struct {
	Clock         *timer.Service
	Log           logr.Logger
	Metrics       *metric.Set
	Codec         Codec
	Rules         func() *rules.Set // nil while no configuration is known
	Fleet         *fleet.Fleet
	Pool          *pool.Pool
	Reserver      *Reserver
	Crashes       *CrashTracker
	RetryLimits   func() retry.SharedLimits // limits on retries that all processes share
	LoadUnknown   func() bool               // whether the load of other processes is not known yet; nil for never
	BudgetSharers func() int                // processes that share the retry budget
	Policy        place.Policy              // places calls on engines
	DataCentre    string
	// HoldLimit is the time within which reserved memory must be used.
	HoldLimit time.Duration
	// OnTaskChange is called on each change of a task that a call puts on a replica.
	OnTaskChange func(replica uint32, wrk fleet.Task, ended bool)
}

// Relay is the handler of the clients' listener. It is safe for concurrent use.
type Relay struct {
	opts     Options
	started  time.Time
	closing  atomic.Bool // answers close their connections
	refusing atomic.Bool // new calls are refused
	running  sync.WaitGroup
	mu       sync.Mutex
	shares   map[string]*retry.SharedBudget // by service
}

// New returns a Relay.
func New(opts Options) *Relay {
	return &Relay{opts: opts, started: opts.Clock.Now(), shares: make(map[string]*retry.SharedBudget)}
}

// CloseConnections makes each answer close its connection, so that clients go elsewhere.
func (rly *Relay) CloseConnections() { rly.closing.Store(true) }

// RefuseNewCalls makes the relay refuse new calls as not run.
func (rly *Relay) RefuseNewCalls() { rly.refusing.Store(true) }

// WaitIdle returns when no call is in flight. New calls must be refused before.
func (rly *Relay) WaitIdle() { rly.running.Wait() }

func (rly *Relay) share(service string) *retry.SharedBudget {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	shr := rly.shares[service]
	if shr == nil {
		shr = retry.NewSharedBudget(rly.opts.Clock, rly.opts.RetryLimits, rly.opts.BudgetSharers)
		rly.shares[service] = shr
	}
	return shr
}

// ServeHTTP implements http.Handler.
func (rly *Relay) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	rly.running.Add(1)
	defer rly.running.Done()
	ses := &session{relay: rly, opts: &rly.opts, rw: rw, ctx: req.Context()}
	ses.cal = rly.opts.Codec.ReadCall(req, rly.opts.Clock.Now())
	if rly.closing.Load() {
		rw.Header().Set("Connection", "close")
	}
	if !ses.route() || !ses.readBody(req) {
		return
	}
	ses.run()
}

// refusal is the body of an answer of this program's own.
type refusal struct {
	Error string `json:"error"`
}

// answer sends an answer of this program's own.
func (ses *session) answer(status int, reason string, retryAfter time.Duration) {
	ses.opts.Metrics.Refusal(reason)
	ses.opts.Codec.WriteRefusal(ses.rw.Header(), ses.cal.ID, retryAfter)
	body, err := json.Marshal(refusal{Error: reason})
	if err != nil {
		ses.opts.Log.Error(err, "relay: encode a refusal")
	}
	ses.rw.WriteHeader(status)
	_, _ = ses.rw.Write(body) // The client may have left; there is nobody else to tell.
	ses.finish(status, reason)
}

// finish logs how a call ended.
func (ses *session) finish(status int, reason string) {
	ses.opts.Metrics.Request(reason)
	ses.opts.Log.Info("relay: call ended", "call", ses.cal.ID, "status", status, "reason", reason,
		"took", ses.opts.Clock.Since(ses.cal.Arrived), "attempts", ses.sends, "events", ses.events,
		"tokens", ses.cal.Prompt.Tokens, "first", ses.firstEvent, "gap", ses.longestGap,
		"replica", ses.placed.Primary.ID, "rank", ses.placed.Primary.Position, "parts", len(ses.placed.Helpers)+1,
		"expected", ses.placed.FirstEvent, "writers", ses.placed.Primary.DecodeStreams, "unread",
		ses.placed.Primary.PrefillBacklog,
		"risk", ses.placed.Primary.FailureRate, "short-ranks", ses.placed.ShortReplicas)
}
