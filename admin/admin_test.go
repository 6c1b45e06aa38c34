package admin_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/admin"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/entry"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/intent"
	"github.com/tarragonwheel/tarragonwheel/simlog"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const secrets = `
[deployment]
secret = 0123456789abcdef0123
[operators]
olive = operator-key-olive
piet = operator-key-piet-2
`

type node struct {
	ent  *entry.Entry
	addr string
}

func (nod node) client(key string) *admin.Client { return admin.NewClient(nod.addr, key) }

func startEntry(t *testing.T, name, log string) node {
	t.Helper()
	set, err := config.Parse(fmt.Sprintf("[process]\nname = %s\ndata-centre = dc1\nlisten = 127.0.0.1:0\n"+
		"secrets = x\n[platform]\nlog = %s\n[admin]\nlisten = 127.0.0.1:0\n", name, log), "entry")
	if err != nil {
		t.Fatal(err)
	}
	sec, err := config.ParseSecrets(secrets)
	if err != nil {
		t.Fatal(err)
	}
	grp := group.New(context.Background(), name)
	t.Cleanup(func() { _ = grp.Stop() })
	clk := timer.New()
	ent, err := entry.New(grp, set, sec, clk, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	adm, err := admin.New(grp, set, sec, clk, logr.Discard(), ent.Metrics(), admin.Source{
		Name: name, Store: ent.Configuration(), Exchange: ent.Exchange(),
		Upstreams: func() []intent.Upstream { return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, ent.Configuration(), 0)
	return node{ent, adm.Address()}
}

// awaitVersion waits until a store is ready and has reached a version. The limit only keeps a failed test from hanging.
func awaitVersion(t *testing.T, sto *state.Store, version int64) {
	t.Helper()
	limit := time.Now().Add(30 * time.Second)
	for !sto.Ready() || sto.Version() < version {
		if time.Now().After(limit) {
			t.Fatalf("configuration version %d, want %d", sto.Version(), version)
		}
		time.Sleep(time.Millisecond)
	}
}

func startLog(t *testing.T) (*simlog.Log, string) {
	t.Helper()
	log := simlog.New(simlog.Options{Clock: timer.New()})
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(srv.CloseClientConnections)
	return log, strings.TrimPrefix(srv.URL, "http://")
}

func planFor(t *testing.T, cli *admin.Client, text string) intent.Plan {
	t.Helper()
	pla, err := cli.Plan(context.Background(), admin.Declaration{File: "f.ini", Text: text + "\n[end]\n"})
	if err != nil {
		t.Fatal(err)
	}
	return pla
}

// Two operators confirm conflicting plans at two entries, while responses of the log are lost or the log is down.
// Guards against both plans or neither taking effect, an operator who gets another outcome than the log decided, and
// entries whose configurations differ afterwards.
func TestConflictingPlansAtTwoEntriesWithLostResponses(t *testing.T) {
	is := is.New(t)
	log, addr := startLog(t)
	one, two := startEntry(t, "e1", addr), startEntry(t, "e2", addr)
	for round := 0; round < 20; round++ {
		awaitVersion(t, one.ent.Configuration(), two.ent.Configuration().Version())
		awaitVersion(t, two.ent.Configuration(), one.ent.Configuration().Version())
		olive, piet := one.client("operator-key-olive"), two.client("operator-key-piet-2")
		plans := []intent.Plan{
			planFor(t, olive, fmt.Sprintf("[account a]\nlimit = %d", 2*round+1)),
			planFor(t, piet, fmt.Sprintf("[account a]\nlimit = %d", 2*round+2)),
		}
		log.LoseResponses(round % 3)
		log.SetDown(round%5 == 4)
		outs := make([]admin.Outcome, 2)
		var wait sync.WaitGroup
		for idx, cli := range []*admin.Client{olive, piet} {
			wait.Go(func() {
				out, err := cli.Confirm(context.Background(), plans[idx])
				if err != nil {
					t.Error(err)
				}
				outs[idx] = out
			})
		}
		wait.Wait()
		log.SetDown(false)
		for idx, cli := range []*admin.Client{olive, piet} {
			is.True(round%5 != 4 || outs[idx].Reason == admin.ReasonLogUnavailable)
			for outs[idx].Outcome == admin.OutcomeUnknown {
				out, err := cli.Confirm(context.Background(), plans[idx])
				is.NoErr(err)
				outs[idx] = out
			}
		}
		log.LoseResponses(0)
		if outs[0].Outcome == outs[1].Outcome {
			t.Fatalf("round %d: both operators got the same outcome: %+v", round, outs)
		}
		for idx, out := range outs {
			is.True(out.Outcome == admin.OutcomeActive || out.Outcome == admin.OutcomeNotActive)
			if out.Outcome == admin.OutcomeActive {
				is.Equal(one.ent.Configuration().Limit("a"), 2*round+1+idx)
			} else {
				is.True(len(out.Conflicts) == 1 && out.Conflicts[0].Plan == plans[1-idx].ID)
			}
		}
		again, err := olive.Confirm(context.Background(), plans[0])
		is.NoErr(err)
		is.Equal(again.Outcome, outs[0].Outcome)
	}
	awaitVersion(t, two.ent.Configuration(), one.ent.Configuration().Version())
	first, _, err := one.ent.Configuration().Encode()
	is.NoErr(err)
	second, _, err := two.ent.Configuration().Encode()
	is.NoErr(err)
	is.Equal(first, second)
}

// Guards against a confirm that is accepted or hangs while the log is down, access with a key that is not an
// operator's, and an altered plan that is accepted.
func TestConfirmIsRefused(t *testing.T) {
	is := is.New(t)
	log, addr := startLog(t)
	nod := startEntry(t, "e1", addr)
	cli := nod.client("operator-key-olive")
	pla := planFor(t, cli, "[upstream u1]\ndrained = true")
	_, err := nod.client("wrong-operator-key").Confirm(context.Background(), pla)
	is.True(trace.IsBadParameter(err))
	altered := pla
	altered.From++
	_, err = cli.Confirm(context.Background(), altered)
	is.True(trace.IsBadParameter(err))
	log.SetDown(true)
	out, err := cli.Confirm(context.Background(), pla)
	is.NoErr(err)
	is.Equal(out.Reason, admin.ReasonLogUnavailable)
	is.True(out.Outcome != admin.OutcomeActive)
	is.Equal(log.Appends(), 0)
	log.SetDown(false)
	out, err = cli.Confirm(context.Background(), pla)
	is.NoErr(err)
	is.Equal(out.Outcome, admin.OutcomeActive)
	is.True(nod.ent.Configuration().Drained("u1"))
	exp, err := cli.Explain(context.Background(), "u1")
	is.NoErr(err)
	is.Equal(exp.Objects[0].Object.Operator, "olive")
}

// Guards against reporting a plan as not in force, when its confirm is repeated, because the history has dropped it.
func TestRepeatedConfirmOfOldPlan(t *testing.T) {
	is := is.New(t)
	_, addr := startLog(t)
	cli := startEntry(t, "e1", addr).client("operator-key-olive")
	pla := planFor(t, cli, "[upstream u1]\ndrained = true")
	_, err := cli.Confirm(context.Background(), pla)
	is.NoErr(err)
	for num := range 101 {
		other := planFor(t, cli, fmt.Sprintf("[account a]\nlimit = %d", num+1))
		_, err := cli.Confirm(context.Background(), other)
		is.NoErr(err)
	}
	out, err := cli.Confirm(context.Background(), pla)
	is.NoErr(err)
	is.Equal(out.Outcome, admin.OutcomeActive)
	is.Equal(out.Version, int64(1))
}
