package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/entry"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// startLimited starts an entry under a name of its own and returns its base URL once the account's limit is in force.
func startLimited(t *testing.T, name, log, agt string, limit int) string {
	t.Helper()
	grp := group.New(context.Background(), name)
	t.Cleanup(func() { _ = grp.Stop() })
	set := must[*config.Settings](t)(config.Parse("[process]\nname = "+name+"\ndata-centre = a\n"+
		"listen = 127.0.0.1:0\nsecrets = -\n[platform]\nlog = "+log+"\n[entry]\nagents = "+agt+"\n", "entry"))
	sec := must[*config.Secrets](t)(config.ParseSecrets(callerFile))
	ent := must[*entry.Entry](t)(entry.New(grp, set, sec, timer.New(), logr.Discard()))
	eventually(t, "the limit is in force", func() bool {
		return ent.Ready() && ent.Configuration().Limit("huellas") == limit
	})
	return "http://" + ent.Address()
}

func appendLimit(t *testing.T, log string, limit int) {
	t.Helper()
	key := state.NewKey(state.KindAccount, "huellas")
	raw, err := state.Entry{ID: "plan", Confirm: &state.Confirm{
		Plan: "plan", Operator: "olive", Basis: []state.Basis{{Key: key}},
		Operations: []state.Operation{{Key: key, Value: state.Value{
			Account: &state.Account{Models: []string{"m"}, Limit: limit},
		}}},
	}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_ = must[int64](t)(logsvc.New(log).Append(context.Background(), state.Stream, raw))
}

// Guards against a limit that is not enforced, against a refusal without the code and the time by which clients behave,
// and against entries that do not learn of each other's demand and each grant the whole limit.
func TestLimitIsShared(t *testing.T) {
	is := is.New(t)
	const limit = 1000
	_, log := startLog(t)
	appendLimit(t, log, limit)
	_, agt := startEngine(t, "a1", fastModel())
	one, two := startLimited(t, "e1", log, agt, limit), startLimited(t, "e2", log, agt, limit)
	body := `{"model":"m","max_tokens":1,"prompt":"` + strings.Repeat("abc ", 20*limit) + `"}`
	status, _ := call(t, http.MethodPost, one+"/v1/completions", body, nil)
	is.Equal(status, http.StatusOK)
	status, text := call(t, http.MethodPost, one+"/v1/completions", body, nil)
	is.Equal(status, http.StatusTooManyRequests)
	is.True(strings.Contains(text, `"code":"quota-exceeded"`) && strings.Contains(text, `"not_run":true`))
	_, _ = call(t, http.MethodPost, two+"/v1/completions", body, nil)
	eventually(t, "the second entry knows of the first one's demand", func() bool {
		// The second entry owes 20 s of the limit. With half of it, that takes longer than the most it may tell.
		_ = retryAfter(t, one, body)
		return retryAfter(t, two, body) == 30*time.Second
	})
}

// Guards against agents that are asked although their reports leave no hope, and against such a refusal that is
// retried or does not tell the caller when to come back.
func TestRefusesEarlyUnderOverload(t *testing.T) {
	is := is.New(t)
	var opens atomic.Int64
	rep := proto.Report{Healthy: true, PrefillRate: 40_000, QueuedPrefill: 20 * time.Second}
	onOpen := func(str *link.Stream, _ proto.Open) {
		opens.Add(1)
		_ = str.Send(proto.KindResult, proto.Result{Outcome: proto.OutcomeNotRun, Reason: "queue-full"})
	}
	agt := fakeReportingAgent(t, proto.UpstreamEngine, func() proto.Report { return rep }, onOpen)
	_, base := startServing(t, "", agt)
	body := `{"model":"m","prompt":"x"}`
	status, text := call(t, http.MethodPost, base+"/v1/completions", body, map[string]string{"X-Time-Limit": "5s"})
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, `"code":"overloaded"`) && strings.Contains(text, `"not_run":true`))
	is.Equal(opens.Load(), int64(0))
	is.True(retryAfter(t, base, `{"model":"m","prompt":"x"}`) > 0) // The default limit of 120 s leaves time to ask.
	is.True(opens.Load() > 0)
}

func retryAfter(t *testing.T, base, body string) time.Duration {
	t.Helper()
	req := must[*http.Request](t)(http.NewRequestWithContext(
		context.Background(), http.MethodPost, base+"/v1/completions", strings.NewReader(body)))
	req.Header.Set("Authorization", "Bearer "+accountKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	seconds := json.Number(resp.Header.Get("Retry-After"))
	num, err := seconds.Int64()
	if err != nil {
		t.Fatalf("status %d without Retry-After", resp.StatusCode)
	}
	return time.Duration(num) * time.Second
}
