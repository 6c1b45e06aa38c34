package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/sashabaranov/go-openai"

	"github.com/tarragonwheel/tarragonwheel/agent"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/entry"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/simlog"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const crashingBody = `{"model":"m","prompt":"crashing-prompt","max_tokens":4}`

// crashFleet is a fleet of engines that the request crashingBody crashes. Each engine has an agent, and all entries are
// connected to all agents.
type crashFleet struct {
	entries    []*entry.Entry
	bases      []string
	engines    []string
	crashes    atomic.Int64 // number of crashes of all engines
	log        *httptest.Server
	onFinished func(dur time.Duration) // if set, called with the duration of each other stream that has finished
	// lingering, if set, returns the time for which an engine that crashes as the given one still accepts connections.
	lingering func(crash int64) time.Duration
}

func newCrashFleet(tb testing.TB, engines, entries int, withLog bool, settings string) *crashFleet {
	tb.Helper()
	flt := &crashFleet{}
	var agents []string
	for idx := range engines {
		agents = append(agents, flt.addEngine(tb, fmt.Sprint("a", idx), settings))
	}
	platform := ""
	if withLog {
		flt.log = httptest.NewServer(simlog.New(simlog.Options{Clock: timer.New()}).Handler())
		tb.Cleanup(flt.log.CloseClientConnections)
		platform = "[platform]\nlog = " + strings.TrimPrefix(flt.log.URL, "http://") + "\n"
	}
	for idx := range entries {
		ent, base := startServing(tb, platform+settings+fmt.Sprintf("[process]\nname = e%d\n", idx), agents...)
		// Entries choose the same agent for a suspect only if they are connected to the same agents.
		eventually(tb, "the entry is connected to all agents", func() bool {
			connected := 0
			ent.Upstreams(func(string, string) { connected++ })
			return connected == engines
		})
		flt.entries = append(flt.entries, ent)
		flt.bases = append(flt.bases, base)
	}
	return flt
}

func (flt *crashFleet) addEngine(tb testing.TB, name, settings string) (address string) {
	tb.Helper()
	grp := group.New(context.Background(), name)
	eng := simeng.New(grp, fastModel(), timer.New())
	hst := &engineHost{
		addr:    fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(250), rand.N(250), 1+rand.N(250)),
		handler: eng.Handler(),
	}
	eng.CrashOn("crashing-prompt", func() {
		if !hst.down.Swap(true) { // An engine that is down already cannot crash again.
			num := flt.crashes.Add(1)
			go func() {
				if flt.lingering != nil {
					time.Sleep(flt.lingering(num))
				}
				hst.restart(tb)
			}()
		}
	})
	hst.listen(tb)
	tb.Cleanup(func() { _ = grp.Stop() })
	tb.Cleanup(hst.stop)
	url := hst.addr
	flt.engines = append(flt.engines, url)
	set := must[*config.Settings](tb)(config.Parse(fmt.Sprintf("[process]\nname = %s\ndata-centre = a\n"+
		"listen = 127.0.0.1:0\nsecrets = -\n[agent]\nserves = m\nupstream = %s\n%s", name, url, settings), "agent"))
	sec := must[*config.Secrets](tb)(config.ParseSecrets(callerFile))
	return must[*agent.Agent](tb)(agent.New(grp, set, sec, timer.New(), logr.Discard())).Address()
}

// resend sends the crashing request through an entry until it is blocked, at most 20 times. It returns how often it was
// sent.
func (flt *crashFleet) resend(tb testing.TB, base string) int {
	tb.Helper()
	for num := 1; num <= 20; num++ {
		status, text := call(tb, http.MethodPost, base+"/v1/completions", crashingBody, nil)
		if status == http.StatusUnprocessableEntity {
			if !strings.Contains(text, `"code":"request-crashes-upstream"`) {
				tb.Error("request refused, but not as blocked: ", text)
			}
			return num
		}
	}
	return 20
}

// awaitBlocked waits until all entries have learned that the request is blocked.
func (flt *crashFleet) awaitBlocked(tb testing.TB) {
	for _, ent := range flt.entries {
		eventually(tb, "the entry knows that the request is blocked", func() bool {
			att := ent.Suspects().Attribution()
			return len(att.Blocked) == 1
		})
	}
}

// startOthers starts harmless streams through all entries in turn and returns once each has its first token. The
// function wait waits for their ends and returns their errors.
func (flt *crashFleet) startOthers(tb testing.TB, num, tokens int) (wait func() []error) {
	tb.Helper()
	var started, ended sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for idx := range num {
		started.Add(1)
		ended.Go(func() {
			first := sync.OnceFunc(started.Done)
			defer first()
			begin := time.Now()
			err := flt.runOther(idx, tokens, first)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
			} else if flt.onFinished != nil {
				flt.onFinished(time.Since(begin))
			}
		})
	}
	started.Wait()
	return func() []error {
		ended.Wait()
		return errs
	}
}

func (flt *crashFleet) runOther(idx, tokens int, first func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req := openai.CompletionRequest{Model: "m", Prompt: fmt.Sprint("other ", idx), MaxTokens: tokens, Stream: true}
	str, err := openAIClient(flt.bases[idx%len(flt.bases)]).CreateCompletionStream(ctx, req)
	if err != nil {
		return fmt.Errorf("other stream %d: %w", idx, err)
	}
	got, err := readStream(str, func(int) { first() })
	if err != nil {
		return fmt.Errorf("other stream %d: %w", idx, err)
	}
	for num, word := range append(strings.Fields(got), "") {
		if num < tokens && !strings.HasSuffix(word, fmt.Sprint("-", num)) || num > tokens {
			return fmt.Errorf("other stream %d: token %d is %q", idx, num, word)
		}
	}
	return nil
}

// Guards against a request that crashes one engine after another while its caller keeps sending it through all entries,
// and against other requests that fail, are refused or are cut short because of it. Covers fleets with and without a
// log, and a request that is sent through both entries at the same time.
func TestCrashingRequestCostsTwoEngines(t *testing.T) {
	for _, tst := range []struct {
		name    string
		withLog bool
		atOnce  bool
		maxLost int64
	}{
		{"log", true, false, 2},
		{"log, both at once", true, true, 4}, // By design, at most two for each entry.
		{"no log", false, false, 2},
		{"no log, both at once", false, true, 4},
	} {
		t.Run(tst.name, func(t *testing.T) { resendEverywhere(t, tst.withLog, tst.atOnce, tst.maxLost) })
	}
}

// Guards against copies of a request that are sent through two entries at the same time and crash more engines than
// copies sent one after another, because one copy is retried before the crash caused by the other is known.
func TestCopiesAtOnceCostTwoEngines(t *testing.T) {
	resendEverywhere(t, true, true, 2)
	resendEverywhere(t, false, true, 2)
}

// Guards against a third lost engine because the crash that one copy of a request caused takes long to detect: the
// engine of the second copy still accepts connections for a while after its crash.
func TestCopiesAtOnceCostTwoEnginesWithSlowDetection(t *testing.T) {
	for range 3 { // The copies may share an engine, and the second crash then comes from the retry.
		is := is.New(t)
		flt := newCrashFleet(t, 5, 2, true, "")
		flt.lingering = func(crash int64) time.Duration {
			if crash == 2 {
				return time.Second
			}
			return 0
		}
		var resends sync.WaitGroup
		for _, base := range flt.bases {
			resends.Go(func() { flt.resend(t, base) })
		}
		resends.Wait()
		is.Equal(flt.crashes.Load(), int64(2))
		flt.awaitBlocked(t)
	}
}

// resendEverywhere keeps sending a request that crashes engines through all entries, beside other streams. The entries
// send it at the same time if atOnce is set. It checks that at least 2 and at most maxLost engines crash.
func resendEverywhere(t *testing.T, withLog, atOnce bool, maxLost int64) {
	t.Helper()
	is := is.New(t)
	flt := newCrashFleet(t, 5, 2, withLog, "")
	wait := flt.startOthers(t, 20, 150)
	var resends sync.WaitGroup
	for _, base := range flt.bases {
		resends.Go(func() { flt.resend(t, base) })
		if !atOnce {
			resends.Wait()
			flt.awaitBlocked(t)
		}
	}
	resends.Wait()
	is.Equal(wait(), nil)
	lost := flt.crashes.Load()
	is.True(lost >= 2 && lost <= maxLost)
	for _, base := range flt.bases {
		flt.awaitBlocked(t)
		is.Equal(flt.resend(t, base), 1) // still blocked
	}
	is.Equal(flt.crashes.Load(), lost)
}
