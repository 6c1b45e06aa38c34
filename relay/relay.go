// Package relay forwards client calls to replicas and returns their responses.
//
// The relay buffers a call, chooses a replica for it and sends it there. It forwards a response only if it carries the
// ID of the call; one that is not a stream must also be complete. When an attempt fails, the call is sent to another
// replica if its route permits retries or if it certainly did not run. Any other call runs at most once.
package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/hedge"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/pool"
	"github.com/tarragonwheel/tarragonwheel/retry"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/share"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Codec translates between the messages of package call and HTTP.
type Codec struct {
	ReadCall          func(req *http.Request, arrived time.Time) *call.Call
	WriteCall         func(cal *call.Call, att *call.Attempt) []byte
	ReadReply         func(res *http.Response) call.Reply
	WriteReply        func(to http.Header, rep call.Reply)
	WriteErrorHeaders func(to http.Header, id string, retryAfter time.Duration)
}

// Options configure a Relay.
type Options struct {
	Clock           *timer.Service
	Log             logr.Logger
	Metrics         *metric.Set
	Codec           Codec
	Rules           func() *rules.Set // nil while no configuration is known
	Fleet           *fleet.Fleet
	Pool            *pool.Pool
	Reserver        *Reserver
	Crashes         *cause.Tracker
	RetryLimits     func() retry.SharedLimits // limits of the retry budget that all processes share
	LoadUnknown     func() bool               // whether the load from other processes is still unknown; nil for never
	BudgetProcesses func() int                // number of processes that share the retry budget
	Policy          place.Policy              // places calls on engines
	DataCentre      string                    // of this process
	// Regions returns the region of each data centre, as far as they are known; nil if none is.
	Regions func() map[string]string
	// BufferBytes bounds the bodies and events of all calls together that are held in memory; 0 for a default.
	BufferBytes int64
	// ReservationUseTimeout is the time within which a call must use the KV memory reserved for it; else the attempt is
	// ended.
	ReservationUseTimeout time.Duration
	// DrainTime is the time within which calls must stop to arrive for a replica that leaves.
	DrainTime time.Duration
	// RegistrationsAge returns how old the known registrations of replicas may be; nil if that is not known.
	RegistrationsAge func() time.Duration
	// AwaitOperatorTopic blocks while the process may have missed an evacuation because it was stopped; nil for never.
	AwaitOperatorTopic func(ctx context.Context)
	// OnReplicaLeaving is called when a replica has told this process that it leaves, unless a peer has reported it
	// before; nil for none.
	OnReplicaLeaving func(ntc fleet.LeavingNotice)
	// OnReplicaCold is called when a replica has told this process that it is cold, if that is new; nil for none.
	OnReplicaCold func(ntc fleet.ColdNotice)
	// ShareAccounts makes calls of accounts with more recent work than others pay more while replicas are busy.
	ShareAccounts bool
	// ClaimTime is how long the placement of a long prompt is announced before the prompt is sent; 0 for not at all.
	ClaimTime time.Duration
	// OnTaskChange is called when a task of a call starts, changes or ends.
	OnTaskChange func(chg fleet.TaskChange)
}

// Relay is the http.Handler of the listener for clients. It is safe for concurrent use.
type Relay struct {
	opts             Options
	started          time.Time
	closeConnections atomic.Bool // responses carry "Connection: close"
	refuseNewCalls   atomic.Bool
	inFlight         sync.WaitGroup  // calls
	lifetime         context.Context // ends with EndCalls
	endCalls         context.CancelFunc
	buffers          *buffers
	mu               sync.Mutex
	retryBudgets     map[string]*retry.SharedBudget // by service name
	shares           *share.Ledger                  // work admitted for each client account
	waiting          share.Queue                    // deferred calls
	responseTimes    *hedge.Times
}

// New returns a Relay.
func New(opts Options) *Relay {
	rly := &Relay{
		opts: opts, started: opts.Clock.Now(), buffers: newBuffers(opts.BufferBytes),
		retryBudgets: make(map[string]*retry.SharedBudget), shares: share.New(opts.Clock),
		responseTimes: hedge.New(),
	}
	rly.buffers.expose(opts)
	rly.lifetime, rly.endCalls = context.WithCancel(context.Background())
	return rly
}

// CloseConnections makes each response close its connection, so that clients reconnect to another process.
func (rly *Relay) CloseConnections() { rly.closeConnections.Store(true) }

// RefuseNewCalls makes the relay refuse new calls, and those that it has not sent to a replica yet, with status 503,
// which states that they did not run.
func (rly *Relay) RefuseNewCalls() { rly.refuseNewCalls.Store(true) }

// EndCalls ends all calls in flight. Those that may have run get status 502, the others 503, and a response that has
// begun is broken off. Call RefuseNewCalls first.
func (rly *Relay) EndCalls() { rly.endCalls() }

// WaitIdle blocks until no call is in flight. Call RefuseNewCalls first.
func (rly *Relay) WaitIdle() { rly.inFlight.Wait() }

// retryBudget returns the retry budget of a service.
func (rly *Relay) retryBudget(service string) *retry.SharedBudget {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	bud := rly.retryBudgets[service]
	if bud == nil {
		bud = retry.NewSharedBudget(rly.opts.Clock, rly.opts.RetryLimits, rly.opts.BudgetProcesses)
		rly.retryBudgets[service] = bud
	}
	return bud
}

// ServeHTTP implements http.Handler.
func (rly *Relay) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	rly.inFlight.Add(1)
	defer rly.inFlight.Done()
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	defer context.AfterFunc(rly.lifetime, func() { cancel(errCallsEnd) })()
	hdl := &callHandler{
		relay: rly, opts: &rly.opts, rw: rw, ctx: ctx, buffers: callBuffers{buffers: rly.buffers},
	}
	defer hdl.buffers.release()
	hdl.cal = rly.opts.Codec.ReadCall(req, rly.opts.Clock.Now())
	if rly.closeConnections.Load() {
		rw.Header().Set("Connection", "close")
	}
	if !hdl.prepare() || !hdl.readBody(req) {
		return
	}
	hdl.forward()
}

// errorBody is the body of an error response that the relay itself sends.
type errorBody struct {
	Error string `json:"error"`
}

// sendError ends the call with an error response of the relay's own. A retryAfter of 0 sends no Retry-After header.
func (hdl *callHandler) sendError(status int, reason string, retryAfter time.Duration) {
	hdl.opts.Metrics.CountRefusal(reason)
	hdl.opts.Metrics.CountCallRefusal(reason, hdl.labels())
	hdl.opts.Codec.WriteErrorHeaders(hdl.rw.Header(), hdl.cal.ID, retryAfter)
	body, err := json.Marshal(errorBody{Error: reason})
	if err != nil {
		hdl.opts.Log.Error(err, "relay: encode error response")
	}
	hdl.rw.WriteHeader(status)
	_, _ = hdl.rw.Write(body) // An error means that the client has disconnected.
	hdl.recordEnd(status, reason)
}

// recordEnd counts and logs a finished call. The status is 0 if no complete response was sent.
func (hdl *callHandler) recordEnd(status int, reason string) {
	hdl.opts.Metrics.CountRequest(reason)
	plc := &hdl.placement
	hdl.opts.Log.Info("relay: call ended", "call", hdl.cal.ID, "status", status, "reason", reason,
		"took", hdl.opts.Clock.Since(hdl.cal.Arrived), "attempts", hdl.attempts, "events", hdl.eventsSent,
		"prompt-tokens", hdl.cal.Prompt.Tokens, "first-event", hdl.firstEvent, "longest-gap", hdl.longestGap,
		"replica", plc.Primary.ID, "cell", plc.Primary.Cell, "position", plc.Primary.Position,
		"parts", len(plc.Helpers)+1, "predicted-first-event", plc.FirstEvent,
		"decode-streams", plc.Primary.DecodeStreams, "prefill-backlog", plc.Primary.PrefillBacklog,
		"failure-rate", plc.Primary.FailureRate, "short-replicas", plc.ShortReplicas,
		"summary-age", plc.Primary.SummaryAge, "account", hdl.account, "priority", hdl.priority(),
		"price", hdl.offer.Price, "price-factor", hdl.priceFactor, "net-value", hdl.offer.NetValue,
		"busy-for", hdl.offer.BusyFor, "deferrals", hdl.deferrals)
}
