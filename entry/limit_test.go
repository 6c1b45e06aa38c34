package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
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
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// startEntryWithLimit starts an entry with the given name. It returns the base URL once the account's limit is active.
func startEntryWithLimit(t *testing.T, name, log, agt string, limit int) string {
	t.Helper()
	grp := group.New(context.Background(), name)
	t.Cleanup(func() { _ = grp.Stop() })
	set := must[*config.Settings](t)(config.Parse("[process]\nname = "+name+"\ndata-centre = a\n"+
		"listen = 127.0.0.1:0\nsecrets = -\n[platform]\nlog = "+log+"\n[entry]\nagents = "+agt+"\n", "entry"))
	sec := must[*config.Secrets](t)(config.ParseSecrets(callerFile))
	ent := must[*entry.Entry](t)(entry.New(grp, set, sec, timer.New(), logr.Discard()))
	eventually(t, "the limit is active", func() bool {
		return ent.Ready() && ent.Configuration().Limit("huellas") == limit
	})
	return "http://" + ent.Address()
}

// appendLimit appends a confirmed plan that sets the account's limit, in tokens a second, to the log.
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

// Guards against a limit that is not enforced, against a refusal without the code and status that clients react to, and
// against agents that do not pass the demand of one entry on to the others.
func TestLimitIsShared(t *testing.T) {
	is := is.New(t)
	const limit = 1000
	_, log := startLog(t)
	appendLimit(t, log, limit)
	_, agt := startEngine(t, "a1", fastModel())
	one := startEntryWithLimit(t, "e1", log, agt, limit)
	body := `{"model":"m","max_tokens":1,"prompt":"` + strings.Repeat("abc ", 20*limit) + `"}`
	status, _ := call(t, http.MethodPost, one+"/v1/completions", body, nil)
	is.Equal(status, http.StatusOK)
	status, text := call(t, http.MethodPost, one+"/v1/completions", body, nil)
	is.Equal(status, http.StatusTooManyRequests)
	is.True(strings.Contains(text, `"code":"quota-exceeded"`) && strings.Contains(text, `"not_run":true`))
	reports := connectAsEntry(t, agt)
	for range 30 { // One report a second. The bound only keeps a failed test from hanging.
		rep := <-reports
		if rep.EntryCount == 2 && slices.ContainsFunc(rep.Demands, func(dmd proto.EntryDemand) bool {
			return dmd.Entry == "e1" && len(dmd.Accounts) == 1 && dmd.Accounts[0].Account == "huellas"
		}) {
			return
		}
	}
	t.Fatal("no report of the agent contains the demand of entry e1 and the number of entries")
}

// connectAsEntry connects to an agent as an entry does and returns the agent's reports.
func connectAsEntry(t *testing.T, agt string) <-chan proto.Report {
	t.Helper()
	reports := make(chan proto.Report, 100)
	con, err := link.Dial(context.Background(), agt, link.Options{
		Secret: []byte("deployment-secret-0123"), Clock: timer.New(), Metrics: metric.New(), Log: logr.Discard(),
		Local:            proto.Peer{Name: "spy", Role: proto.RoleEntry},
		HeartbeatMessage: func() (proto.Kind, any) { return proto.KindHeartbeat, proto.Heartbeat{} },
		OnFrame: func(_ *link.Conn, frm proto.Frame) {
			if rep, err := proto.Parse[proto.Report](frm); err == nil && frm.Kind == proto.KindReport {
				reports <- rep
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(con.Close)
	return reports
}

// Guards against calls that are sent to agents although, by the agents' reports, they cannot finish in time, and
// against refusals that are retried or lack a Retry-After.
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
	// The default time limit of 120 s leaves time to ask the agent.
	is.True(retryAfter(t, base, `{"model":"m","prompt":"x"}`) > 0)
	is.True(opens.Load() > 0)
}

// retryAfter returns the Retry-After of the response to a request, and fails the test if there is none.
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
		t.Fatalf("response with status %d has no valid Retry-After", resp.StatusCode)
	}
	return time.Duration(num) * time.Second
}
