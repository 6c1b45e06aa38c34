package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sashabaranov/go-openai"

	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simeng"
)

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
