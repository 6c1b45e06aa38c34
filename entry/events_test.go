package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sashabaranov/go-openai"

	"github.com/tarragonwheel/tarragonwheel/entry"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simeng"
)

// countIsOne returns a condition that holds once the counter name has the value 1 for label.
func countIsOne(t *testing.T, ent *entry.Entry, name, label string) func() bool {
	t.Helper()
	return func() bool {
		counts := must[map[string]int](t)(ent.Metrics().CounterValues(name))
		return counts[label] == 1
	}
}

// startUpload connects to an entry and sends a request head with the given headers and the first bytes of a body.
func startUpload(t *testing.T, ent *entry.Entry, target, headers, body string) *net.TCPConn {
	t.Helper()
	con := must[net.Conn](t)((&net.Dialer{}).DialContext(context.Background(), "tcp", ent.Address()))
	t.Cleanup(func() { _ = con.Close() })
	_, err := fmt.Fprintf(con, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n%s",
		target, accountKey, headers, body)
	if err != nil {
		t.Fatal(err)
	}
	return con.(*net.TCPConn)
}

// Guards against a request that is run or not counted although its body was cut off during the upload.
func TestIncompleteBodyIsCounted(t *testing.T) {
	is := is.New(t)
	_, agt := startEngine(t, "a1", simeng.DefaultModel("m"))
	ent, _ := startServing(t, "", agt)
	con := startUpload(t, ent, "/v1/completions", "Content-Length: 1000\r\n", `{"model":"m","prompt":"`)
	is.NoErr(con.CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(con), nil)
	is.NoErr(err)
	text := must[[]byte](t)(io.ReadAll(resp.Body))
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.True(strings.Contains(string(text), `"code":"body-incomplete"`))
	is.True(countIsOne(t, ent, "refusals_total", "body-incomplete")())
}

// Guards against disconnects of callers that the metrics do not distinguish from failures of the system.
func TestCallerGoneIsCounted(t *testing.T) {
	is := is.New(t)
	_, agt := startEngine(t, "a1", simeng.DefaultModel("m"))
	ent, base := startServing(t, "", agt)
	str, err := openAIClient(base).CreateCompletionStream(context.Background(), openai.CompletionRequest{
		Model: "m", Prompt: "hello", MaxTokens: 50_000, Stream: true,
	})
	is.NoErr(err)
	_, err = str.Recv()
	is.NoErr(err)
	is.NoErr(str.Close())
	eventually(t, "the event is counted", countIsOne(t, ent, "events_total", "caller-gone"))
}

// Guards against a caller that stops reading and so keeps its call running beyond the deadline, and against counting it
// as disconnected.
func TestStalledCallerIsCounted(t *testing.T) {
	is := is.New(t)
	agt := fakeAgent(t, proto.UpstreamPlain, func(str *link.Stream, _ proto.Open) {
		_ = str.Send(proto.KindAccept, proto.Accept{})
		_ = str.Send(proto.KindHead, proto.Head{Status: http.StatusOK})
		part := make([]byte, 1<<16)
		for {
			if _, err := str.Write(part); err != nil {
				return
			}
		}
	})
	ent, _ := startServing(t, "", agt)
	con := startUpload(t, ent, "/v1/services/m/x", "X-Time-Limit: 3s\r\nContent-Length: 0\r\n", "")
	is.NoErr(con.SetReadBuffer(4096))
	eventually(t, "the event is counted", countIsOne(t, ent, "events_total", "caller-stalled"))
}

// Guards against an entry that reports itself ready to the balancer while all its agents are draining.
func TestNotReadyWhileAgentsDrain(t *testing.T) {
	var draining atomic.Bool
	agt := fakeReportingAgent(t, proto.UpstreamEngine, func() proto.Report {
		return proto.Report{Healthy: true, Draining: draining.Load()}
	}, func(*link.Stream, proto.Open) {})
	ent, base := startServing(t, "", agt)
	draining.Store(true)
	eventually(t, "the entry is not ready", func() bool {
		status, _ := call(t, http.MethodGet, base+"/readyz", "", nil)
		return status == http.StatusServiceUnavailable && !ent.Ready()
	})
	draining.Store(false)
	eventually(t, "the entry is ready again", ent.Ready)
}
