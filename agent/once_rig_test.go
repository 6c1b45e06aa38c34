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

// rig runs plain agents, a log and a service over loopback in the test process.
type rig struct {
	t         testing.TB
	clock     *timer.Service
	log       *simlog.Log
	svc       *simsvc.Service
	svcServer *httptest.Server
	private   bool // each agent has a log of its own, which leaves only deduplication in its memory
	sends     atomic.Int64
}

func newRig(t testing.TB, private bool) *rig {
	t.Helper()
	clk := timer.New()
	rig := &rig{t: t, clock: clk, log: simlog.New(simlog.Options{Clock: clk}), svc: simsvc.New(clk), private: private}
	rig.svcServer = httptest.NewServer(rig.svc.Handler())
	t.Cleanup(rig.svcServer.Close)
	return rig
}

// node is one slot for an agent, which may be stopped and replaced.
type node struct {
	rig   *rig
	name  string
	mu    sync.Mutex
	cut   *atomic.Bool // the running agent reaches the log no more
	grp   *group.Group
	con   *link.Conn
	front *httptest.Server
	agent *agent.Agent
}

func (rig *rig) node(name string) *node {
	nod := &node{rig: rig, name: name}
	nod.start()
	rig.t.Cleanup(nod.stop)
	return nod
}

func (nod *node) start() {
	cut := &atomic.Bool{}
	log := nod.rig.log
	if nod.rig.private {
		log = simlog.New(simlog.Options{Clock: nod.rig.clock})
	}
	hdl := log.Handler()
	front := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		hdl.ServeHTTP(rw, req)
	}))
	text := fmt.Sprintf("[process]\nname = %s\ndata-centre = dc\nlisten = 127.0.0.1:0\nsecrets = none\n"+
		"[platform]\nlog = %s\n[agent]\nkind = plain\nserves = holds\nupstream = %s\n"+
		"[once]\nappend-rate = 200\nrecord-limit = 1s\n",
		nod.name, strings.TrimPrefix(front.URL, "http://"), strings.TrimPrefix(nod.rig.svcServer.URL, "http://"))
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
	nod.cut, nod.grp, nod.con, nod.front, nod.agent = cut, grp, con, front, agt
}

// dial connects to an agent as an entry does.
func (rig *rig) dial(agt *agent.Agent) (*link.Conn, error) {
	return link.Dial(context.Background(), agt.Address(), link.Options{
		Secret: []byte(rigSecret), Clock: rig.clock, Metrics: metric.New(), Log: logr.Discard(),
		Local:            proto.Peer{Name: "entry", Role: proto.RoleEntry, Incarnation: "1", DataCentre: "dc"},
		HeartbeatMessage: func() (proto.Kind, any) { return proto.KindBeat, proto.Beat{} },
	})
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// stop ends the agent as abruptly as a lost VM: nothing more of it reaches the log.
func (nod *node) stop() {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.cut.Store(true)
	_ = nod.grp.Stop()
	nod.con.Close()
	nod.front.CloseClientConnections()
	nod.front.Close()
}

func (nod *node) conn() *link.Conn {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return nod.con
}

// sent is what the sender of a call learns.
type sent struct {
	id      string
	outcome proto.Outcome
	reason  string
	body    string
	status  int
}

// send sends a call as an entry does. A lost connection leaves the outcome unknown.
func (rig *rig) send(con *link.Conn, key, body string, remaining time.Duration) sent {
	out := sent{id: fmt.Sprint(rig.sends.Add(1)), outcome: proto.OutcomeUnknown, reason: "agent-lost"}
	str, err := con.Open(context.Background(), proto.Open{
		Attempt: proto.NewAttemptID(), Kind: proto.UpstreamPlain, Account: "acc", Serves: "holds",
		Remaining: remaining, Key: key, Method: "POST", Path: "/holds", BodyBytes: int64(len(body)),
		Header: map[string]string{simsvc.HeaderKey: key, simsvc.HeaderSend: out.id},
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
