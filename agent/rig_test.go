package agent

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	rigSecret = "a-secret-of-the-rig"
	// hangTimeout only ends tests that hang.
	hangTimeout = 20 * time.Second
)

// rig runs an agent and a simulated engine, connected over loopback.
type rig struct {
	tb               testing.TB
	engine           *simeng.Engine
	url              string
	grp              *group.Group
	agent            *Agent
	agentSettings    string
	breakConnections func() // closes all connections to the engine, which continues
	stopListening    func() // makes the engine refuse new connections
}

func fastModel() simeng.Model {
	mdl := simeng.DefaultModel("m")
	mdl.TotalTokens = 100_000
	mdl.PrefillRate = 4_000_000
	mdl.StepBase = 200 * time.Microsecond
	mdl.StepPerSeq = time.Microsecond
	return mdl
}

func newRig(tb testing.TB, mdl simeng.Model, agentSettings string) *rig {
	tb.Helper()
	grp := group.New(context.Background(), "engine")
	eng := simeng.New(grp, mdl, timer.New())
	srv := httptest.NewServer(eng.Handler())
	tb.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		_ = grp.Stop()
	})
	return &rig{
		tb: tb, engine: eng, url: srv.URL, agentSettings: agentSettings,
		breakConnections: srv.CloseClientConnections,
		stopListening:    func() { _ = srv.Listener.Close() },
	}
}

// startAgent starts an agent and waits until it is healthy.
func (rig *rig) startAgent() {
	rig.tb.Helper()
	set, err := config.Parse("[process]\nname = a\ndata-centre = d\nlisten = 127.0.0.1:0\nsecrets = none\n[agent]\n"+
		"serves = m\nupstream = "+strings.TrimPrefix(rig.url, "http://")+"\n"+rig.agentSettings, "agent")
	if err != nil {
		rig.tb.Fatal(err)
	}
	sec, err := config.ParseSecrets("[deployment]\nsecret = " + rigSecret)
	if err != nil {
		rig.tb.Fatal(err)
	}
	rig.grp = group.New(context.Background(), "agent")
	rig.agent, err = New(rig.grp, set, sec, timer.New(), logr.Discard())
	if err != nil {
		rig.tb.Fatal(err)
	}
	rig.tb.Cleanup(func() { _ = rig.grp.Stop() })
	rig.eventually("healthy", func() bool { return rig.agent.report().Healthy })
}

// eventually waits until cond is true, and fails the test after hangTimeout.
func (rig *rig) eventually(what string, cond func() bool) {
	rig.tb.Helper()
	for end := time.Now().Add(hangTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			rig.tb.Fatalf("not reached: %s; ledger %+v", what, rig.agent.ledger.Usage())
		}
	}
}

// idle reports whether no memory is reserved in the ledger or on the engine, and nothing is in flight.
func (rig *rig) idle() bool {
	ids, err := rig.agent.engine.ActiveRequests(context.Background())
	usg := rig.agent.ledger.Usage()
	return err == nil && len(ids) == 0 && usg.Used == 0 && usg.Running == 0 && rig.agent.inFlight() == 0
}

// dial connects to the agent as an entry does.
func (rig *rig) dial() *link.Conn {
	con, err := link.Dial(context.Background(), rig.agent.Address(), link.Options{
		Secret: []byte(rigSecret), Local: proto.Peer{Name: "e"}, Clock: timer.New(), Metrics: metric.New(),
		Log:              logr.Discard(),
		HeartbeatMessage: func() (proto.Kind, any) { return proto.KindHeartbeat, proto.Heartbeat{} },
	})
	if err != nil {
		rig.tb.Error(err)
		return nil
	}
	return con
}

// setFaults sets the faults of the simulated engine.
func (rig *rig) setFaults(json string) {
	req, _ := http.NewRequest(http.MethodPut, rig.url+"/sim/faults", strings.NewReader(json))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		rig.tb.Fatal(err)
	}
	_ = resp.Body.Close()
}

// request is an attempt as an entry sends it.
type request struct {
	prompt, output int
	remaining      time.Duration
	onToken        func() // called with the first part of the response
	cancel         <-chan struct{}
	fpr            proto.Fingerprint
	suspected      bool
}

// send sends an attempt and returns its result. It cancels the attempt when cancel is closed.
func send(con *link.Conn, req request) (proto.Result, error) {
	body := fmt.Appendf(nil, `{"model":"m","stream":true,"max_tokens":%d,"prompt":"%s"}`,
		req.output, bytes.Repeat([]byte("word"), req.prompt))
	str, err := con.Open(context.Background(), proto.Open{
		Attempt: proto.NewAttemptID(), Serves: "m", Remaining: req.remaining, Path: "/v1/completions", Stream: true,
		Cost: proto.Cost{PromptTokens: req.prompt, OutputTokens: req.output}, BodyBytes: int64(len(body)),
		Fingerprint: req.fpr, Suspected: req.suspected,
	})
	if err != nil {
		return proto.Result{}, err
	}
	defer str.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-req.cancel:
			_ = str.Send(proto.KindCancel, proto.Cancel{})
		case <-stop:
		}
	}()
	for {
		frm, err := str.Next(context.Background())
		if err != nil {
			return proto.Result{}, err
		}
		switch frm.Kind {
		case proto.KindAccept:
			go func() {
				if _, err := str.Write(body); err == nil {
					_ = str.CloseWrite()
				}
			}()
		case proto.KindData:
			if _, err := str.ReadData(frm); err != nil {
				return proto.Result{}, err
			}
			if req.onToken != nil {
				req.onToken()
				req.onToken = nil
			}
		case proto.KindResult:
			return proto.Parse[proto.Result](frm)
		}
	}
}
