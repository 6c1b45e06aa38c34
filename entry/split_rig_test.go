package entry_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/sashabaranov/go-openai"

	"github.com/tarragonwheel/tarragonwheel/agent"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// testMember is a simulated engine with an agent beside it. The agent can be stopped and started again.
type testMember struct {
	tb            testing.TB
	name          string
	serves        string
	engine        *simeng.Engine
	server        *httptest.Server // of the engine
	engineAddress string
	agentAddress  string
	settings      string // of the agent's section
	grp           *group.Group
	agent         *agent.Agent
}

func startMember(tb testing.TB, name string, mdl simeng.Model, settings string) *testMember {
	tb.Helper()
	grp := group.New(context.Background(), name)
	mem := &testMember{tb: tb, name: name, serves: mdl.Name, agentAddress: "127.0.0.1:0", settings: settings}
	mem.engine = simeng.New(grp, mdl, timer.New())
	srv := httptest.NewServer(mem.engine.Handler())
	mem.server = srv
	mem.engineAddress = strings.TrimPrefix(srv.URL, "http://")
	mem.start()
	mem.agentAddress = mem.agent.Address()
	tb.Cleanup(func() {
		_ = mem.grp.Stop()
		srv.CloseClientConnections()
		srv.Close()
		_ = grp.Stop()
	})
	return mem
}

func (mem *testMember) start() {
	mem.grp = group.New(context.Background(), mem.name)
	set := must[*config.Settings](mem.tb)(config.Parse(fmt.Sprintf("[process]\nname = %s\ndata-centre = a\n"+
		"listen = %s\nsecrets = -\n[agent]\nserves = %s\nupstream = %s\n%s",
		mem.name, mem.agentAddress, mem.serves, mem.engineAddress, mem.settings), "agent"))
	sec := must[*config.Secrets](mem.tb)(config.ParseSecrets(callerFile))
	var err error
	// The address of an agent can remain in use for a moment after the agent has stopped.
	eventually(mem.tb, "agent listens", func() bool {
		mem.agent, err = agent.New(mem.grp, set, sec, timer.New(), logr.Discard())
		return err == nil
	})
}

func (mem *testMember) restart() {
	_ = mem.grp.Stop()
	mem.start()
}

// idle reports whether the agent has no reservations and the engine no requests.
func (mem *testMember) idle() bool {
	list, _ := mem.agent.Metrics().Registry().Gather()
	for _, fam := range list {
		if fam.GetName() == "tarragonwheel_reserved_tokens" && fam.GetMetric()[0].GetGauge().GetValue() != 0 {
			return false
		}
	}
	return len(activeRequests(mem.tb, mem.engineAddress)) == 0
}

// smallModel is a model whose engine has KV memory for 48,000 tokens, of which a part of a split prompt may take
// 38,400.
func smallModel() simeng.Model {
	mdl := simeng.DefaultModel("m")
	mdl.TotalTokens = 48_000
	mdl.PrefillRate = 1_000_000
	mdl.StepBase = time.Millisecond
	mdl.StepPerPeer = 50 * time.Microsecond
	return mdl
}

func startMembers(tb testing.TB, num int, mdl simeng.Model) (mems []*testMember, agents []string) {
	tb.Helper()
	for idx := range num {
		mem := startMember(tb, fmt.Sprintf("a%d", idx+1), mdl, "hold-share = 0.8\n")
		mems = append(mems, mem)
		agents = append(agents, mem.agentAddress)
	}
	return mems, agents
}

func awaitIdle(tb testing.TB, mems []*testMember) {
	tb.Helper()
	for _, mem := range mems {
		eventually(tb, mem.name+" is idle", mem.idle)
	}
}

func longRequest(tokens, output int) openai.CompletionRequest {
	return openai.CompletionRequest{
		Model: "m", Prompt: strings.Repeat("word", tokens), MaxTokens: output, Stream: true,
	}
}

// singleEngineAnswer returns the response to a request of one engine that is large enough for it.
func singleEngineAnswer(tb testing.TB, req openai.CompletionRequest) string {
	tb.Helper()
	mdl := smallModel()
	mdl.TotalTokens = 1_000_000
	eng, _ := startEngine(tb, "whole", mdl)
	str, err := openAIClient("http://"+eng).CreateCompletionStream(context.Background(), req)
	text := ""
	if err == nil {
		text, err = readStream(str, func(int) {})
	}
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// awaitSplit waits until a prompt of the given length can be split. The entry then knows the capacity of all members
// that such a prompt needs.
func awaitSplit(tb testing.TB, base string, tokens int) {
	tb.Helper()
	eventually(tb, "a split prompt can be served", func() bool {
		str, err := openAIClient(base).CreateCompletionStream(context.Background(), longRequest(tokens, 1))
		if err == nil {
			_, err = readStream(str, func(int) {})
		}
		return err == nil
	})
}

// splitSoakSeed fixes the requests and faults of the soak. Their interleaving still varies.
const splitSoakSeed = 20261204
