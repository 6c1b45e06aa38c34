package agent_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/agent"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simlog"
	"github.com/tarragonwheel/tarragonwheel/simsvc"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	rigSecret  = "0123456789abcdef"
	rigTimeout = 20 * time.Second
)

// rig runs agents of a plain service, a log and the service over loopback in the test process.
type rig struct {
	t            testing.TB
	clock        *timer.Service
	log          *simlog.Log
	svc          *simsvc.Service
	svcServer    *httptest.Server
	separateLogs bool // each agent has a log of its own, so calls are deduplicated only in its memory
	sends        atomic.Int64
}

func newRig(t testing.TB, separateLogs bool) *rig {
	t.Helper()
	clk := timer.New()
	log := simlog.New(simlog.Options{Clock: clk})
	rig := &rig{t: t, clock: clk, log: log, svc: simsvc.New(clk), separateLogs: separateLogs}
	rig.svcServer = httptest.NewServer(rig.svc.Handler())
	t.Cleanup(rig.svcServer.Close)
	return rig
}

// node runs one agent, which can be stopped and replaced by a new incarnation.
type node struct {
	rig            *rig
	name           string
	mu             sync.Mutex
	logUnreachable *atomic.Bool // the running agent cannot reach the log any more
	grp            *group.Group
	con            *link.Conn
	logProxy       *httptest.Server // forwards requests to the log while it is reachable
	agent          *agent.Agent
}

func (rig *rig) startNode(name string) *node {
	nod := &node{rig: rig, name: name}
	nod.start()
	rig.t.Cleanup(nod.stop)
	return nod
}

func (nod *node) start() {
	logUnreachable := &atomic.Bool{}
	log := nod.rig.log
	if nod.rig.separateLogs {
		log = simlog.New(simlog.Options{Clock: nod.rig.clock})
	}
	hdl := log.Handler()
	logProxy := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if logUnreachable.Load() {
			panic(http.ErrAbortHandler)
		}
		hdl.ServeHTTP(rw, req)
	}))
	text := fmt.Sprintf("[process]\nname = %s\ndata-centre = dc\nlisten = 127.0.0.1:0\nsecrets = none\n"+
		"[platform]\nlog = %s\n[agent]\nkind = plain\nserves = holds\nupstream = %s\n"+
		"[once]\nappend-rate = 200\nrecord-limit = 1s\n",
		nod.name, strings.TrimPrefix(logProxy.URL, "http://"), strings.TrimPrefix(nod.rig.svcServer.URL, "http://"))
	set, err := config.Parse(text, "agent")
	must(nod.rig.t, err)
	sec, err := config.ParseSecrets("[deployment]\nsecret = " + rigSecret + "\n")
	must(nod.rig.t, err)
	grp := group.New(context.Background(), nod.name)
	agt, err := agent.New(grp, set, sec, nod.rig.clock, logr.Discard())
	must(nod.rig.t, err)
	con, err := nod.rig.dial(agt)
	must(nod.rig.t, err)
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.logUnreachable, nod.grp, nod.con, nod.logProxy, nod.agent = logUnreachable, grp, con, logProxy, agt
}

// dial connects to an agent as an entry does.
func (rig *rig) dial(agt *agent.Agent) (*link.Conn, error) {
	return link.Dial(context.Background(), agt.Address(), link.Options{
		Secret: []byte(rigSecret), Clock: rig.clock, Metrics: metric.New(), Log: logr.Discard(),
		Local:            proto.Peer{Name: "entry", Role: proto.RoleEntry, Incarnation: "1", DataCentre: "dc"},
		HeartbeatMessage: func() (proto.Kind, any) { return proto.KindHeartbeat, proto.Heartbeat{} },
	})
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// stop stops the agent as abruptly as the loss of its VM would: it appends nothing more to the log.
func (nod *node) stop() {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.logUnreachable.Store(true)
	_ = nod.grp.Stop()
	nod.con.Close()
	nod.logProxy.CloseClientConnections()
	nod.logProxy.Close()
}

func (nod *node) conn() *link.Conn {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return nod.con
}

// sendResult is the result of a call as its caller sees it. The ID is unique for each attempt to send a call.
type sendResult struct {
	id      string
	outcome proto.Outcome
	reason  string
	body    string
	status  int
}

// executions returns how often the service has run the call with the given key.
func (rig *rig) executions(key string) int {
	byKey, _ := rig.svc.Counts()
	return byKey[key]
}

// send sends a call as an entry does. A lost connection leaves the outcome unknown.
func (rig *rig) send(con *link.Conn, key, body string, remaining time.Duration) sendResult {
	out := sendResult{id: fmt.Sprint(rig.sends.Add(1)), outcome: proto.OutcomeUnknown, reason: "agent-lost"}
	str, err := con.Open(context.Background(), proto.Open{
		Attempt: proto.NewAttemptID(), Kind: proto.UpstreamPlain, Account: "acc", Serves: "holds",
		Remaining: remaining, IdempotencyKey: key, Method: "POST", Path: "/holds", BodyBytes: int64(len(body)),
		Header: map[string]string{simsvc.HeaderKey: key, simsvc.HeaderSendID: out.id},
	})
	if err != nil {
		return out
	}
	defer str.Close()
	ctx, cancel := context.WithTimeout(context.Background(), rigTimeout)
	defer cancel()
	for {
		frm, err := str.Next(ctx)
		if err != nil {
			return out
		}
		switch frm.Kind {
		case proto.KindAccept:
			_, _ = str.Write([]byte(body))
			_ = str.CloseWrite()
		case proto.KindHead:
			hed, _ := proto.Parse[proto.Head](frm)
			out.status = hed.Status
		case proto.KindData:
			part, _ := str.ReadData(frm)
			out.body += string(part)
		case proto.KindResult:
			res, err := proto.Parse[proto.Result](frm)
			must(rig.t, err)
			out.outcome, out.reason = res.Outcome, res.Reason
			return out
		}
	}
}
