package entry_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/entry"
)

// Guards against a response of a split prompt that differs from that of one large engine, and against memory that stays
// reserved after the response.
func TestLongPromptOnThreeEngines(t *testing.T) {
	is := is.New(t)
	mems, agents := startMembers(t, 3, smallModel())
	_, base := startServing(t, "", agents...)
	req := longRequest(100_000, 20)
	awaitSplit(t, base, 100_000)
	str, err := openAIClient(base).CreateCompletionStream(context.Background(), req)
	is.NoErr(err)
	got, err := readStream(str, func(num int) {
		if num == 1 {
			for _, mem := range mems {
				is.Equal(len(activeRequests(t, mem.engineAddress)), 1) // Each engine has a part.
			}
		}
	})
	is.NoErr(err)
	is.Equal(got, singleEngineAnswer(t, req))
	awaitIdle(t, mems)
}

// Guards against a prompt that is retried until its deadline although all engines together are too small for it, or
// cannot finish it in time.
func TestLongPromptRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	mdl := smallModel()
	mdl.PrefillRate = 1000
	mems, agents := startMembers(t, 2, mdl)
	_, base := startServing(t, "", agents...)
	body := func(tokens int) string {
		return `{"model":"m","max_tokens":1,"prompt":"` + strings.Repeat("word", tokens) + `"}`
	}
	status, text := call(t, http.MethodPost, base+"/v1/completions", body(100_000), nil)
	is.Equal(status, http.StatusRequestEntityTooLarge)
	is.True(strings.Contains(text, `"code":"prompt-too-long"`))
	limit := map[string]string{"X-Time-Limit": "50s"}
	eventually(t, "refused because it cannot finish in time", func() bool {
		_, text = call(t, http.MethodPost, base+"/v1/completions", body(60_000), limit)
		return strings.Contains(text, `"code":"cannot-finish-in-time"`) && strings.Contains(text, `"not_run":true`)
	})
	awaitIdle(t, mems)
}

// Guards against a prompt that is refused as too long because an engine is down temporarily.
func TestLongPromptWaitsForEngineThatIsDown(t *testing.T) {
	is := is.New(t)
	mems, agents := startMembers(t, 3, smallModel())
	ent, base := startServing(t, "", agents...)
	awaitSplit(t, base, 100_000)
	mems[2].server.CloseClientConnections()
	mems[2].server.Close()
	ask := func() (int, string) {
		return call(t, http.MethodPost, base+"/v1/completions",
			`{"model":"m","max_tokens":1,"prompt":"`+strings.Repeat("word", 100_000)+`"}`,
			map[string]string{"X-Time-Limit": "1s"})
	}
	// Until the entry knows that the engine is down, it assigns a part of the prompt to it, and the attempt fails.
	eventually(t, "the entry knows that the engine is down", func() bool {
		status, _ := ask()
		is.True(status != http.StatusRequestEntityTooLarge)
		counts, err := ent.Metrics().CounterValues("retries_total")
		is.NoErr(err)
		return counts[entry.ReasonNoUpstream] > 0
	})
	status, text := ask()
	is.Equal(status, http.StatusGatewayTimeout)
	is.True(strings.Contains(text, `"not_run":true`))
	awaitIdle(t, mems[:2])
}

// Guards against a deadlock or livelock between split prompts of two entries: memory suffices for one split prompt at a
// time.
func TestSplitPromptsOfTwoEntriesShareEngines(t *testing.T) {
	is := is.New(t)
	mems, agents := startMembers(t, 3, smallModel())
	_, one := startServing(t, "", agents...)
	_, two := startServing(t, "", agents...)
	awaitSplit(t, one, 100_000)
	awaitSplit(t, two, 100_000)
	var wait sync.WaitGroup
	errs := make([]error, 8)
	for idx := range errs {
		wait.Go(func() {
			str, err := openAIClient([]string{one, two}[idx%2]).CreateCompletionStream(
				context.Background(), longRequest(90_000+idx, 5))
			if err == nil {
				_, err = readStream(str, func(int) {})
			}
			errs[idx] = err
		})
	}
	wait.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
	awaitIdle(t, mems)
}

// Guards against a split prompt that fails, or whose response repeats or lacks a token, when an engine that holds a
// part crashes after the first tokens.
func TestSplitPromptSurvivesEngineCrash(t *testing.T) {
	is := is.New(t)
	mems, agents := startMembers(t, 4, smallModel())
	_, base := startServing(t, "", agents...)
	awaitSplit(t, base, 100_000)
	req := longRequest(100_000, 200)
	str, err := openAIClient(base).CreateCompletionStream(context.Background(), req)
	is.NoErr(err)
	got, err := readStream(str, func(num int) {
		if num != 20 {
			return
		}
		for _, mem := range mems {
			if len(activeRequests(t, mem.engineAddress)) > 0 {
				mem.engine.Crash()
				return
			}
		}
	})
	is.NoErr(err)
	is.Equal(got, singleEngineAnswer(t, req))
	awaitIdle(t, mems)
}

// Guards against parts that stay on an engine when its agent restarts, and against reservations that remain after the
// caller has disconnected.
func TestSplitPromptPartsAreFreed(t *testing.T) {
	is := is.New(t)
	mems, agents := startMembers(t, 3, smallModel())
	_, base := startServing(t, "", agents...)
	awaitSplit(t, base, 100_000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	str, err := openAIClient(base).CreateCompletionStream(ctx, longRequest(90_000, 10_000))
	is.NoErr(err)
	_, err = str.Recv()
	is.NoErr(err)
	mems[1].restart()
	cancel()
	_ = str.Close()
	awaitIdle(t, mems)
}

// Guards against reservations in a ledger and parts on an engine that remain after their request has ended, and against
// requests that never end, under engine crashes, agent restarts, lost responses to cancel requests and callers that
// disconnect, in any combination.
func TestSplitPromptSoak(t *testing.T) {
	mems, agents := startMembers(t, 5, smallModel())
	_, one := startServing(t, "", agents...)
	_, two := startServing(t, "", agents...)
	awaitSplit(t, one, 100_000)
	rng := rand.New(rand.NewPCG(splitSoakSeed, 0))
	var wait sync.WaitGroup
	for idx := range 60 {
		tokens := []int{500, 20_000, 60_000, 100_000}[rng.IntN(4)]
		timeout := 15 * time.Second
		if rng.IntN(5) == 0 {
			timeout = time.Duration(rng.IntN(300)) * time.Millisecond
		}
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			str, err := openAIClient([]string{one, two}[idx%2]).CreateCompletionStream(ctx, longRequest(tokens+idx, 20))
			if err == nil {
				_, _ = readStream(str, func(int) {})
			}
		})
		injectFault(mems[rng.IntN(len(mems))], rng)
		time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
	}
	wait.Wait()
	awaitIdle(t, mems)
}

// injectFault crashes the engine, restarts the agent, makes the engine lose its responses to the next two cancel
// requests, or does nothing.
func injectFault(mem *testMember, rng *rand.Rand) {
	switch rng.IntN(8) {
	case 0:
		mem.engine.Crash()
	case 1:
		mem.restart()
	case 2:
		req, _ := http.NewRequest(http.MethodPut, "http://"+mem.engineAddress+"/sim/faults",
			strings.NewReader(`{"lose-cancels": 2}`))
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
}
