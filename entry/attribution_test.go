package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
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

// restartTime is far shorter than that of a real engine, so that engines come back within a test.
const restartTime = 300 * time.Millisecond

const crashingBody = `{"model":"m","prompt":"crashing-prompt","max_tokens":4}`

// crashFleet is a number of engines that one request crashes, each with an agent, behind entries that know all of them.
type crashFleet struct {
	entries []*entry.Entry
	bases   []string
	engines []string
	crashes atomic.Int64 // of all engines
	log     *httptest.Server
	each    func(dur time.Duration) // if set, called with the time that each other took to finish
}

func newCrashFleet(tb testing.TB, engines, entries int, withLog bool, more string) *crashFleet {
	tb.Helper()
	flt := &crashFleet{}
	var agents []string
	for idx := range engines {
		agents = append(agents, flt.addEngine(tb, fmt.Sprint("a", idx), more))
	}
	platform := ""
	if withLog {
		flt.log = httptest.NewServer(simlog.New(simlog.Options{Clock: timer.New()}).Handler())
		tb.Cleanup(flt.log.CloseClientConnections)
		platform = "[platform]\nlog = " + strings.TrimPrefix(flt.log.URL, "http://") + "\n"
	}
	for idx := range entries {
		ent, base := startServing(tb, platform+more+fmt.Sprintf("[process]\nname = e%d\n", idx), agents...)
		// Entries that know different agents choose different ones for a suspect.
		eventually(tb, "the entry knows all agents", func() bool {
			known := 0
			ent.Upstreams(func(string, string) { known++ })
			return known == engines
		})
		flt.entries = append(flt.entries, ent)
		flt.bases = append(flt.bases, base)
	}
	return flt
}

func (flt *crashFleet) addEngine(tb testing.TB, name, more string) (address string) {
	tb.Helper()
	grp := group.New(context.Background(), name)
	eng := simeng.New(grp, fastModel(), timer.New())
	hst := &host{addr: fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(250), rand.N(250), 1+rand.N(250)), handler: eng.Handler()}
	eng.CrashOn("crashing-prompt", func() {
		if !hst.down.Swap(true) { // What has ended cannot crash.
			flt.crashes.Add(1)
			go hst.restart(tb)
		}
	})
	hst.listen(tb)
	tb.Cleanup(func() { _ = grp.Stop() })
	tb.Cleanup(hst.stop)
	url := hst.addr
	flt.engines = append(flt.engines, url)
	set := must[*config.Settings](tb)(config.Parse(fmt.Sprintf("[process]\nname = %s\ndata-centre = a\n"+
		"listen = 127.0.0.1:0\nsecrets = -\n[agent]\nserves = m\nupstream = %s\n%s", name, url, more), "agent"))
	sec := must[*config.Secrets](tb)(config.ParseSecrets(callerFile))
	return must[*agent.Agent](tb)(agent.New(grp, set, sec, timer.New(), logr.Discard())).Address()
}

// host is the address of an engine, at which nobody listens while the engine restarts after a crash. The address is
// one that no other process uses, so that nobody takes the port meanwhile.
type host struct {
	addr    string
	handler http.Handler
	down    atomic.Bool

	mu      sync.Mutex
	srv     *http.Server
	stopped bool
}

func (hst *host) listen(tb testing.TB) {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	if hst.stopped {
		return
	}
	lis := must[net.Listener](tb)(net.Listen("tcp", hst.addr))
	hst.addr = lis.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if hst.down.Load() {
			panic(http.ErrAbortHandler)
		}
		hst.handler.ServeHTTP(rw, req)
	})}
	hst.srv = srv
	go func() { _ = srv.Serve(lis) }()
}

func (hst *host) close() {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	_ = hst.srv.Close()
}

func (hst *host) restart(tb testing.TB) {
	hst.close()
	time.Sleep(restartTime)
	hst.down.Store(false)
	hst.listen(tb)
}

func (hst *host) stop() {
	hst.mu.Lock()
	hst.stopped = true
	hst.mu.Unlock()
	hst.close()
}

// resend sends the crashing request through an entry until it is refused for good, and returns the number of sendings.
func (flt *crashFleet) resend(tb testing.TB, base string) int {
	tb.Helper()
	for num := 1; num <= 20; num++ {
		status, text := call(tb, http.MethodPost, base+"/v1/completions", crashingBody, nil)
		if status == http.StatusUnprocessableEntity {
			if !strings.Contains(text, `"code":"request-crashes-upstream"`) {
				tb.Error("refused with ", text)
			}
			return num
		}
	}
	return 20
}

// awaitBlocked waits until all entries have heard of the block.
func (flt *crashFleet) awaitBlocked(tb testing.TB) {
	for _, ent := range flt.entries {
		eventually(tb, "the entry knows the block", func() bool {
			bok := ent.Suspects().Book()
			return len(bok.Blocked) == 1
		})
	}
}

// others starts streams through all entries in turn and returns once each has its first token. The function wait
// returns their failures.
func (flt *crashFleet) others(tb testing.TB, num, tokens int) (wait func() []error) {
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
			err := flt.other(idx, tokens, first)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
			} else if flt.each != nil {
				flt.each(time.Since(begin))
			}
		})
	}
	started.Wait()
	return func() []error {
		ended.Wait()
		return errs
	}
}

func (flt *crashFleet) other(idx, tokens int, first func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req := openai.CompletionRequest{Model: "m", Prompt: fmt.Sprint("other ", idx), MaxTokens: tokens, Stream: true}
	str, err := stockClient(flt.bases[idx%len(flt.bases)]).CreateCompletionStream(ctx, req)
	if err != nil {
		return fmt.Errorf("other %d: %w", idx, err)
	}
	got, err := readStream(str, func(int) { first() })
	if err != nil {
		return fmt.Errorf("other %d: %w", idx, err)
	}
	for num, word := range append(strings.Fields(got), "") {
		if num < tokens && !strings.HasSuffix(word, fmt.Sprint("-", num)) || num > tokens {
			return fmt.Errorf("other %d: token %d is %q", idx, num, word)
		}
	}
	return nil
}

// Guards against a request that crashes one engine after the other while its caller sends it again through all
// entries, and against other requests that are lost, refused or cut short with it: with and without a log, and
// sent through both entries at the same moment.
func TestCrashingRequestCostsTwoEngines(t *testing.T) {
	for _, tst := range []struct {
		name    string
		withLog bool
		both    bool
		most    int64
	}{
		{"log", true, false, 2},
		{"log, both at once", true, true, 4}, // Two for each entry at most, by design.
		{"no log", false, false, 2},
		{"no log, both at once", false, true, 4},
	} {
		t.Run(tst.name, func(t *testing.T) { resendEverywhere(t, tst.withLog, tst.both, tst.most) })
	}
}

// Guards against copies of a request that are sent through two entries at the same moment and cost more engines than
// copies sent in turn, because one copy is repeated before the crash of the other is known.
func TestCopiesAtOnceCostTwoEngines(t *testing.T) {
	resendEverywhere(t, true, true, 2)
	resendEverywhere(t, false, true, 2)
}

// resendEverywhere sends a request that crashes engines again and again through all entries beside other streams.
func resendEverywhere(t *testing.T, withLog, both bool, most int64) {
	t.Helper()
	is := is.New(t)
	flt := newCrashFleet(t, 5, 2, withLog, "")
	wait := flt.others(t, 20, 150)
	var resends sync.WaitGroup
	for _, base := range flt.bases {
		resends.Go(func() { flt.resend(t, base) })
		if !both {
			resends.Wait()
			flt.awaitBlocked(t)
		}
	}
	resends.Wait()
	is.Equal(wait(), nil)
	lost := flt.crashes.Load()
	is.True(lost >= 2 && lost <= most)
	for _, base := range flt.bases {
		flt.awaitBlocked(t)
		is.Equal(flt.resend(t, base), 1) // It stays refused.
	}
	is.Equal(flt.crashes.Load(), lost)
}
