package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
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

// activeRequests returns the IDs of the requests on an engine.
func activeRequests(tb testing.TB, eng string) []string {
	tb.Helper()
	return must[[]string](tb)(engine.New(eng).ActiveRequests(context.Background()))
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
