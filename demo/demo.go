// Package demo runs entries, agents and simulated engines in one process on loopback, and shows how the system serves
// prompts of very different lengths.
package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/agent"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/entry"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/httpd"
	"github.com/tarragonwheel/tarragonwheel/load"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	model      = "listing-text"
	engines    = 8
	entries    = 2
	readyLimit = 10 * time.Second
	readyPoll  = 50 * time.Millisecond

	// The whole demo takes less than 45 s: the run with only short requests, the run with the whole mix, and the time
	// limit of the last request.
	baselineTime = 4 * time.Second
	mixTime      = 13 * time.Second
	timeLimit    = 21 * time.Second

	requestRate = 36 // per second
	// At this rate, in tokens per second, a prompt of a million tokens finishes within the time limit.
	prefillRate = 80_000
	maxTokens   = 24     // output tokens of each request
	shortPrompt = 10_000 // longest prompt, in tokens, in the run with only short requests
)

// demoSecrets has keys that are valid only inside the demo process.
//
//nolint:gosec // Not a credential of any deployment.
const demoSecrets = `
[deployment]
secret = demo-secret-of-this-process
[accounts]
huellas = demo-key-of-huellas
kalvis = demo-key-of-kalvis
[operators]
demo = demo-key-of-the-operator
`

// Options configure a demo run.
type Options struct {
	Seed  uint64 // of the mix of requests
	Short bool   // run for a few seconds only, for tests
}

// Run starts the system, sends the mix of requests and writes a table of latencies and outcomes to out.
func Run(ctx context.Context, opts Options, out io.Writer) error {
	grp := group.New(ctx, "demo")
	defer func() { _ = grp.Stop() }()
	sys, err := start(grp)
	if err != nil {
		return fmt.Errorf("demo: start: %w", err)
	}
	_, _ = fmt.Fprintf(out, "%d entries, %d agents and engines on loopback; seed %d\n", entries, engines, opts.Seed)
	pln := sys.plan(opts)
	short := pln
	short.MaxPrompt = shortPrompt
	short.Duration = min(baselineTime, pln.Duration)
	_, _ = fmt.Fprintf(out, "offering short requests alone for %s, then the whole mix for %s\n",
		short.Duration, pln.Duration)
	run := load.NewRunner(sys.entries[0].Address(), sys.clock)
	baseline := run.Run(ctx, short)
	mixed := run.Run(ctx, pln)
	if err := load.WriteTable(out, load.Summarize("mix", mixed, baseline, pln.Duration)); err != nil {
		return fmt.Errorf("demo: write table: %w", err)
	}
	return sys.writeCounts(out)
}

// system is the running entries and agents.
type system struct {
	clock   *timer.Service
	entries []*entry.Entry
	agents  []*agent.Agent
}

// start starts engines, agents and entries, and waits until the first entry is ready.
func start(grp *group.Group) (*system, error) {
	sys := &system{clock: timer.New()}
	sec, err := config.ParseSecrets(demoSecrets)
	if err != nil {
		return nil, err
	}
	var addrs []string
	for idx := range engines {
		addr, err := serveEngine(grp, sys.clock)
		if err != nil {
			return nil, err
		}
		agt, err := startAgent(grp, sys.clock, sec, idx, addr)
		if err != nil {
			return nil, err
		}
		sys.agents = append(sys.agents, agt)
		addrs = append(addrs, agt.Address())
	}
	for idx := range entries {
		ent, err := startEntry(grp, sys.clock, sec, idx, addrs)
		if err != nil {
			return nil, err
		}
		sys.entries = append(sys.entries, ent)
	}
	return sys, sys.waitReady(grp.Context())
}

func serveEngine(grp *group.Group, clk *timer.Service) (string, error) {
	mdl := simeng.DefaultModel(model)
	mdl.PrefillRate = prefillRate
	eng := simeng.New(grp, mdl, clk)
	srv, err := httpd.Serve(grp, "engine", "127.0.0.1:0", eng.Handler())
	if err != nil {
		return "", err
	}
	return srv.Address(), nil
}

func startAgent(
	grp *group.Group, clk *timer.Service, sec *config.Secrets, idx int, engineAddr string,
) (*agent.Agent, error) {
	text := fmt.Sprintf("[process]\nname = agent-%d\ndata-centre = dc%d\nlisten = 127.0.0.1:0\nsecrets = none\n"+
		"[agent]\nserves = %s\nupstream = %s\n", idx+1, idx%3+1, model, engineAddr)
	set, err := config.Parse(text, "agent")
	if err != nil {
		return nil, err
	}
	agt, err := agent.New(grp, set, sec, clk, logr.Discard())
	if err != nil {
		return nil, fmt.Errorf("agent %d: %w", idx+1, err)
	}
	return agt, nil
}

func startEntry(
	grp *group.Group, clk *timer.Service, sec *config.Secrets, idx int, agents []string,
) (*entry.Entry, error) {
	text := fmt.Sprintf("[process]\nname = entry-%d\ndata-centre = dc%d\nlisten = 127.0.0.1:0\nsecrets = none\n"+
		"[entry]\nagents = %s\n", idx+1, idx%3+1, strings.Join(agents, ","))
	set, err := config.Parse(text, "entry")
	if err != nil {
		return nil, err
	}
	ent, err := entry.New(grp, set, sec, clk, logr.Discard())
	if err != nil {
		return nil, fmt.Errorf("entry %d: %w", idx+1, err)
	}
	return ent, nil
}

// waitReady waits until the first entry is ready. It returns an error after readyLimit.
func (sys *system) waitReady(ctx context.Context) error {
	start := sys.clock.Now()
	for !sys.entries[0].Ready() {
		if sys.clock.Since(start) > readyLimit {
			return trace.ConnectionProblem(nil, "entry not ready after %s", readyLimit)
		}
		if err := sys.clock.Sleep(ctx, readyPoll); err != nil {
			return err
		}
	}
	return nil
}

// plan returns the plan of the run with the whole mix.
func (sys *system) plan(opts Options) load.Plan {
	pln := load.Plan{
		Seed:      opts.Seed,
		Rate:      requestRate,
		Duration:  mixTime,
		Mix:       load.DefaultMix(),
		Model:     model,
		MaxTokens: maxTokens,
		TimeLimit: timeLimit,
		Accounts: []load.Account{
			{Name: "huellas", Key: "demo-key-of-huellas"},
			{Name: "kalvis", Key: "demo-key-of-kalvis"},
		},
	}
	if opts.Short {
		pln.Duration = time.Second
		pln.Mix = []load.Share{{Low: 1_000, High: 4_000, Weight: 1}}
	}
	return pln
}

// writeCounts writes the numbers of refusals and retries at all entries, by reason.
func (sys *system) writeCounts(out io.Writer) error {
	refused := make(map[string]int)
	retried := make(map[string]int)
	for _, ent := range sys.entries {
		if err := addCounts(refused, ent, "refusals_total"); err != nil {
			return err
		}
		if err := addCounts(retried, ent, "retries_total"); err != nil {
			return err
		}
	}
	writeReasons(out, "refused", refused)
	writeReasons(out, "retried", retried)
	return nil
}

// addCounts adds an entry's values of a counter to the total by reason.
func addCounts(total map[string]int, ent *entry.Entry, name string) error {
	counts, err := ent.Metrics().CounterValues(name)
	if err != nil {
		return fmt.Errorf("demo: read metrics: %w", err)
	}
	for reason, num := range counts {
		total[reason] += num
	}
	return nil
}

func writeReasons(out io.Writer, title string, counts map[string]int) {
	if len(counts) == 0 {
		_, _ = fmt.Fprintf(out, "%s: none\n", title)
		return
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(out, "%s: %s %d\n", title, reason, counts[reason])
	}
}
