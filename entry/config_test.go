package entry_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/agent"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/entry"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/simlog"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const secrets = `
[deployment]
secret = 0123456789abcdef0123
[operators]
olive = operator-key-olive
`

func settings(t testing.TB, role, name, extra string) (*config.Settings, *config.Secrets) {
	t.Helper()
	text := fmt.Sprintf("[process]\nname = %s\ndata-centre = dc1\nlisten = 127.0.0.1:0\nsecrets = x\n%s", name, extra)
	set, err := config.Parse(text, role)
	if err != nil {
		t.Fatal(err)
	}
	sec, err := config.ParseSecrets(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return set, sec
}

func startLog(t testing.TB) (*simlog.Log, string) {
	t.Helper()
	log := simlog.New(simlog.Options{Clock: timer.New()})
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(srv.CloseClientConnections)
	return log, strings.TrimPrefix(srv.URL, "http://")
}

func startAgent(t testing.TB, name string) *agent.Agent {
	t.Helper()
	set, sec := settings(t, "agent", name, "[agent]\nserves = m1\nupstream = 127.0.0.1:1\n")
	grp := group.New(context.Background(), name)
	t.Cleanup(func() { _ = grp.Stop() })
	agt, err := agent.New(grp, set, sec, timer.New(), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return agt
}

func startEntry(t testing.TB, name, log string, agents ...string) *entry.Entry {
	t.Helper()
	set, sec := settings(t, "entry", name, fmt.Sprintf(
		"[platform]\nlog = %s\n[entry]\nagents = %s\n", log, strings.Join(agents, ",")))
	grp := group.New(context.Background(), name)
	t.Cleanup(func() { _ = grp.Stop() })
	ent, err := entry.New(grp, set, sec, timer.New(), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return ent
}

// awaitVersion waits until a store has at least the given version. The limit only keeps a failed test
// from hanging.
func awaitVersion(t testing.TB, sto *state.Store, version int64) {
	t.Helper()
	limit := time.After(30 * time.Second)
	for {
		changed := sto.Changed()
		if sto.Version() >= version {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("store has version %d, want at least %d", sto.Version(), version)
		}
	}
}

// appendDrain appends a confirmed plan that drains an upstream to the log, and returns its offset.
func appendDrain(t testing.TB, addr, plan, upstream string) int64 {
	t.Helper()
	key := state.NewKey(state.KindUpstream, upstream)
	raw, err := state.Entry{ID: plan, Confirm: &state.Confirm{
		Plan: plan, Operator: "olive", Basis: []state.Basis{{Key: key}},
		Operations: []state.Operation{{Key: key, Value: state.Value{Upstream: &state.Upstream{Drained: true}}}},
	}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	off, err := logsvc.New(addr).Append(context.Background(), state.Stream, raw)
	if err != nil {
		t.Fatal(err)
	}
	return off
}

// Guards against a confirmed plan that does not reach the agents, so that an agent does not learn that it is drained.
// Also guards against a new entry that gets no configuration from an agent during an outage of the log, and against one
// that reports itself ready without configuration.
func TestNewEntryLearnsStateFromAgentDuringLogOutage(t *testing.T) {
	is := is.New(t)
	log, addr := startLog(t)
	agt := startAgent(t, "a1")
	first := startEntry(t, "e1", addr, agt.Address())
	off := appendDrain(t, addr, "one", "a1")
	awaitVersion(t, first.Configuration(), off)
	awaitVersion(t, agt.Configuration(), off)
	is.True(agt.Configuration().Drained("a1"))
	log.SetDown(true)
	alone := startEntry(t, "e2", addr)
	second := startEntry(t, "e3", addr, agt.Address())
	awaitVersion(t, second.Configuration(), off)
	is.True(second.Configuration().Ready())
	is.True(!alone.Configuration().Ready())
	log.SetDown(false)
	awaitVersion(t, alone.Configuration(), appendDrain(t, addr, "two", "a2"))
	is.True(alone.Configuration().Drained("a1"))
}
