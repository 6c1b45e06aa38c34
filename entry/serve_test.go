package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/sashabaranov/go-openai"

	"github.com/tarragonwheel/tarragonwheel/agent"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/entry"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	accountKey = "account-key-0123456789"
	callerFile = "[deployment]\nsecret = deployment-secret-0123\n[accounts]\nhuellas = " + accountKey + "\n"
)

func must[T any](tb testing.TB) func(val T, err error) T {
	return func(val T, err error) T {
		tb.Helper()
		if err != nil {
			tb.Fatal(err)
		}
		return val
	}
}

// startEngine starts a simulated engine with an agent beside it and returns both addresses.
func startEngine(tb testing.TB, name string, mdl simeng.Model) (eng, agt string) {
	tb.Helper()
	grp := group.New(context.Background(), name)
	srv := httptest.NewServer(simeng.New(grp, mdl, timer.New()).Handler())
	tb.Cleanup(srv.Close)
	tb.Cleanup(func() { _ = grp.Stop() })
	eng = strings.TrimPrefix(srv.URL, "http://")
	set := must[*config.Settings](tb)(config.Parse(fmt.Sprintf("[process]\nname = %s\ndata-centre = a\n"+
		"listen = 127.0.0.1:0\nsecrets = -\n[agent]\nserves = %s\nupstream = %s\n", name, mdl.Name, eng), "agent"))
	sec := must[*config.Secrets](tb)(config.ParseSecrets(callerFile))
	agn := must[*agent.Agent](tb)(agent.New(grp, set, sec, timer.New(), logr.Discard()))
	return eng, agn.Address()
}

// startServing starts an entry with connections to the given agents. It returns the entry and its base URL once it is
// ready.
func startServing(tb testing.TB, settings string, agents ...string) (*entry.Entry, string) {
	tb.Helper()
	grp := group.New(context.Background(), "entry")
	tb.Cleanup(func() { _ = grp.Stop() })
	set := must[*config.Settings](tb)(config.Parse("[process]\nname = e\ndata-centre = a\nlisten = 127.0.0.1:0\n"+
		"secrets = -\n[entry]\nagents = "+strings.Join(agents, ",")+"\n"+settings, "entry"))
	sec := must[*config.Secrets](tb)(config.ParseSecrets(callerFile))
	ent := must[*entry.Entry](tb)(entry.New(grp, set, sec, timer.New(), logr.Discard()))
	base := "http://" + ent.Address()
	eventually(tb, "entry is ready", func() bool {
		status, _ := call(tb, http.MethodGet, base+"/readyz", "", nil)
		return status == http.StatusOK
	})
	return ent, base
}

// eventually waits until a condition holds, for at least 10 s, and fails the test if it does not.
func eventually(tb testing.TB, what string, cond func() bool) {
	tb.Helper()
	for range 2000 {
		if cond() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	tb.Fatal("condition not met within 10 s: ", what)
}

func call(tb testing.TB, method, url, body string, header map[string]string) (status int, text string) {
	tb.Helper()
	req := must[*http.Request](tb)(http.NewRequest(method, url, strings.NewReader(body)))
	req.Header.Set("Authorization", "Bearer "+accountKey)
	for name, val := range header {
		req.Header.Set(name, val)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, string(must[[]byte](tb)(io.ReadAll(resp.Body)))
}

func fastModel() simeng.Model {
	mdl := simeng.DefaultModel("m")
	mdl.StepBase = time.Millisecond
	return mdl
}

func openAIClient(base string) *openai.Client {
	cfg := openai.DefaultConfig(accountKey)
	cfg.BaseURL = base + "/v1"
	return openai.NewClientWithConfig(cfg)
}

func readStream(str *openai.CompletionStream, each func(num int)) (string, error) {
	defer func() { _ = str.Close() }()
	text := ""
	for num := 1; ; num++ {
		rsp, err := str.Recv()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += rsp.Choices[0].Text
		each(num)
	}
}

// Guards against responses that a common client of the OpenAI API cannot read, streamed or not.
func TestOpenAIClient(t *testing.T) {
	is := is.New(t)
	eng, agt := startEngine(t, "a1", fastModel())
	_, base := startServing(t, "", agt)
	cli := openAIClient(base)
	ctx := context.Background()

	list, err := cli.ListModels(ctx)
	is.NoErr(err)
	is.Equal(len(list.Models), 1)
	is.Equal(list.Models[0].ID, "m")

	chat, err := cli.CreateChatCompletion(ctx, openai.ChatCompletionRequest{
		Model:     "m",
		MaxTokens: 3, //nolint:staticcheck // Deprecated, but what most clients send.
		Messages:  []openai.ChatCompletionMessage{{Role: "user", Content: "hello"}},
	})
	is.NoErr(err)
	is.Equal(len(strings.Fields(chat.Choices[0].Message.Content)), 3)

	req := openai.CompletionRequest{Model: "m", Prompt: "hello", MaxTokens: 9, Stream: true}
	direct, err := openAIClient("http://"+eng).CreateCompletionStream(ctx, req)
	is.NoErr(err)
	want, err := readStream(direct, func(int) {})
	is.NoErr(err)
	str, err := cli.CreateCompletionStream(ctx, req)
	is.NoErr(err)
	got, err := readStream(str, func(int) {})
	is.NoErr(err)
	is.Equal(got, want)
}

// Guards against invalid requests that reach an upstream, are not counted or get a response without the right code.
func TestBadInput(t *testing.T) {
	_, agt := startEngine(t, "a1", fastModel())
	ent, base := startServing(t, "max-body = 1024\n", agt)
	good := `{"model":"m","prompt":"x"}`
	for _, tst := range []struct {
		code, path, body, header, value string
		status                          int
	}{
		{"malformed-body", "/v1/completions", `{"model":"m","prompt":"x`, "", "", 400},
		{"malformed-body", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":-1}`, "", "", 400},
		{"malformed-body", "/v1/completions", `{"model":"m","prompt":"x","stream":"yes"}`, "", "", 400},
		{"body-too-large", "/v1/completions", good + strings.Repeat(" ", 1024), "", "", 413},
		{"unknown-model", "/v1/chat/completions", `{"model":"other","messages":[]}`, "", "", 404},
		{"unknown-service", "/v1/services/other/x", "", "", "", 404},
		{"unknown-key", "/v1/completions", good, "Authorization", "Bearer nobody", 401},
		{"bad-time-limit", "/v1/completions", good, "X-Time-Limit", "soon", 400},
		{"bad-time-limit", "/v1/completions", good, "X-Time-Limit", "9000h", 400},
		{"bad-idempotency-key", "/v1/completions", good, "Idempotency-Key", strings.Repeat("k", 256), 400},
		{"unsupported-encoding", "/v1/completions", good, "Content-Encoding", "gzip", 415},
	} {
		t.Run(tst.code, func(t *testing.T) {
			is := is.New(t)
			before := refusals(ent, tst.code)
			hdr := map[string]string{}
			if tst.header != "" {
				hdr[tst.header] = tst.value
			}
			status, text := call(t, http.MethodPost, base+tst.path, tst.body, hdr)
			var got struct {
				Error struct {
					Code   string `json:"code"`
					NotRun bool   `json:"not_run"`
				} `json:"error"`
			}
			is.NoErr(json.Unmarshal([]byte(text), &got))
			is.Equal(status, tst.status)
			is.Equal(got.Error.Code, tst.code)
			is.True(got.Error.NotRun)
			is.Equal(refusals(ent, tst.code), before+1)
		})
	}
}

func refusals(ent *entry.Entry, reason string) float64 {
	list, _ := ent.Metrics().Registry().Gather()
	for _, fam := range list {
		for _, met := range fam.GetMetric() {
			if fam.GetName() == "tarragonwheel_refusals_total" && met.GetLabel()[0].GetValue() == reason {
				return met.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against requests that keep running on the engine after the caller has disconnected during the stream.
func TestCallerGoneLeavesNothingOnTheEngine(t *testing.T) {
	is := is.New(t)
	eng, agt := startEngine(t, "a1", simeng.DefaultModel("m"))
	_, base := startServing(t, "", agt)
	str, err := openAIClient(base).CreateCompletionStream(context.Background(), openai.CompletionRequest{
		Model: "m", Prompt: "hello", MaxTokens: 50_000, Stream: true,
	})
	is.NoErr(err)
	_, err = str.Recv()
	is.NoErr(err)
	is.Equal(len(activeRequests(t, eng)), 1)
	is.NoErr(str.Close())
	eventually(t, "the engine has no requests", func() bool { return len(activeRequests(t, eng)) == 0 })
}

// activeRequests returns the IDs of the requests on an engine.
func activeRequests(tb testing.TB, eng string) []string {
	tb.Helper()
	return must[[]string](tb)(engine.New(eng).ActiveRequests(context.Background()))
}

// Guards against a repeated or missing token when the engine drops a request mid-stream.
func TestBrokenStreamResumes(t *testing.T) {
	is := is.New(t)
	one, agtOne := startEngine(t, "a1", fastModel())
	two, agtTwo := startEngine(t, "a2", fastModel())
	_, base := startServing(t, "", agtOne, agtTwo)
	req := openai.CompletionRequest{Model: "m", Prompt: "hello", MaxTokens: 200, Stream: true}
	ctx := context.Background()
	direct, err := openAIClient("http://"+one).CreateCompletionStream(ctx, req)
	is.NoErr(err)
	want, err := readStream(direct, func(int) {})
	is.NoErr(err)
	str, err := openAIClient(base).CreateCompletionStream(ctx, req)
	is.NoErr(err)
	got, err := readStream(str, func(num int) {
		if num != 20 {
			return
		}
		for _, eng := range []string{one, two} {
			for _, id := range activeRequests(t, eng) {
				is.NoErr(engine.New(eng).Cancel(ctx, id))
			}
		}
	})
	is.NoErr(err)
	is.Equal(got, want)
}

// fakeAgent starts an agent for the service or model "m" whose streams are handled by onOpen.
func fakeAgent(t *testing.T, knd proto.UpstreamKind, onOpen func(str *link.Stream, msg proto.Open)) string {
	t.Helper()
	return fakeReportingAgent(t, knd, func() proto.Report { return proto.Report{Healthy: true} }, onOpen)
}

// fakeReportingAgent is like fakeAgent, but sends the reports that rep returns.
func fakeReportingAgent(
	tb testing.TB, knd proto.UpstreamKind, rep func() proto.Report, onOpen func(str *link.Stream, msg proto.Open),
) string {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	opts := link.Options{
		Secret: []byte("deployment-secret-0123"), Clock: timer.New(), Metrics: metric.New(), Log: logr.Discard(),
		Local:            proto.Peer{Name: "fake", Role: proto.RoleAgent, Kind: knd, Serves: "m"},
		HeartbeatMessage: func() (proto.Kind, any) { return proto.KindReport, rep() },
		OnOpen:           onOpen,
	}
	srv := httptest.NewServer(link.Handler(ctx, opts, func(*link.Conn) {}))
	tb.Cleanup(srv.Close)
	tb.Cleanup(cancel)
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards against a caller that waits beyond its deadline for an agent that does not respond, and against a response
// that does not state that the call did not run.
func TestUnresponsiveAgentTimesOut(t *testing.T) {
	is := is.New(t)
	agt := fakeAgent(t, proto.UpstreamEngine, func(str *link.Stream, _ proto.Open) { <-str.Context().Done() })
	_, base := startServing(t, "", agt)
	status, text := call(t, http.MethodPost, base+"/v1/completions", `{"model":"m","prompt":"x"}`,
		map[string]string{"X-Time-Limit": "50ms"})
	is.Equal(status, http.StatusGatewayTimeout)
	is.True(strings.Contains(text, `"code":"deadline-exceeded"`))
	is.True(strings.Contains(text, `"not_run":true`))
}

// Guards against retries of a call that is not idempotent and may have run, and against the lack of a retry when the
// agent answers that the call did not run.
func TestNonIdempotentCall(t *testing.T) {
	is := is.New(t)
	var opens atomic.Int64
	agt := fakeAgent(t, proto.UpstreamPlain, func(str *link.Stream, msg proto.Open) {
		if msg.IdempotencyKey == "" || msg.Idempotent || msg.Method != http.MethodPost || msg.Path != "/book?x=1" {
			t.Errorf("unexpected open message: %+v", msg)
		}
		if opens.Add(1) == 1 {
			_ = str.Send(proto.KindResult, proto.Result{Outcome: proto.OutcomeNotRun, Reason: "queue-full"})
			return
		}
		_ = str.Send(proto.KindAccept, proto.Accept{})
		_, _ = io.Copy(io.Discard, str.Body(str.Context()))
		str.Conn().Close()
	})
	_, base := startServing(t, "", agt)
	status, text := call(t, http.MethodPost, base+"/v1/services/m/book?x=1", "body", nil)
	is.Equal(status, http.StatusConflict)
	is.True(strings.Contains(text, `"code":"outcome-unknown"`))
	is.Equal(opens.Load(), int64(2))
}

// Guards against a caller that waits for the Retry-After of one agent, or is refused because of it, while another agent
// is free.
func TestRetryAfterOfOneAgentDoesNotDelayAnother(t *testing.T) {
	is := is.New(t)
	var opens atomic.Int64
	fast := func() proto.Report { return proto.Report{Healthy: true, PrefillRate: 1e9} } // so that it is chosen first
	busy := fakeReportingAgent(t, proto.UpstreamEngine, fast, func(str *link.Stream, _ proto.Open) {
		opens.Add(1)
		_ = str.Send(proto.KindResult, proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: "queue-full", RetryAfter: time.Minute,
		})
	})
	_, free := startEngine(t, "a1", simeng.DefaultModel("m"))
	ent, base := startServing(t, "", busy, free)
	eventually(t, "both agents are connected", func() bool {
		connected := 0
		ent.Upstreams(func(string, string) { connected++ })
		return connected == 2
	})
	for range 20 {
		status, _ := call(t, http.MethodPost, base+"/v1/completions", `{"model":"m","prompt":"`+
			strings.Repeat("word", 1000)+`"}`, map[string]string{"X-Time-Limit": "30s"})
		is.Equal(status, http.StatusOK)
	}
	is.True(opens.Load() > 0)
}
