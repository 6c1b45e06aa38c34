package simeng

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const segmentTokens = 1000

// startSegmentEngine starts an engine with little memory, and returns it with a client for it and its address.
func startSegmentEngine(t *testing.T) (*Engine, *engine.Client, string) {
	t.Helper()
	grp := group.New(context.Background(), "engine")
	mdl := DefaultModel("m")
	mdl.TotalTokens = 2500
	eng := New(grp, mdl, timer.New())
	srv := httptest.NewServer(eng.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		_ = grp.Stop()
	})
	addr := strings.TrimPrefix(srv.URL, "http://")
	return eng, engine.New(addr), addr
}

// segmentRequest returns a completion request with a prompt of 3*segmentTokens tokens.
func segmentRequest(id string, output int, rng *engine.SegmentRange) engine.Request {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"prompt":"%s"}`,
		output, strings.Repeat("word", 3*segmentTokens))
	return engine.Request{
		ID: id, Path: "/v1/completions", Length: int64(len(body)), Body: strings.NewReader(body), SegmentRange: rng,
	}
}

// Guards against a held segment that is not counted or listed, is released when its connection closes, or is not freed
// by a cancel, and against a completion whose usage does not count the segments of other engines.
func TestSegmentIsHeldUntilCancelled(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	one, cliOne, addrOne := startSegmentEngine(t)
	_, cliTwo, _ := startSegmentEngine(t)
	hel, err := cliOne.PrefillSegment(ctx, segmentRequest("s1", 5, &engine.SegmentRange{To: 2 * segmentTokens}))
	is.NoErr(err)
	hel.Close()
	used, _, _ := one.usage()
	is.Equal(used, 2*segmentTokens)
	is.Equal(one.activeIDs(), []string{"s1"})

	rest := &engine.SegmentRange{From: 2 * segmentTokens, EarlierSegments: []string{engine.SegmentRef(addrOne, "s1")}}
	resp, err := cliTwo.Complete(ctx, segmentRequest("c1", 5, rest))
	is.NoErr(err)
	raw, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(strings.Contains(string(raw), "[DONE]"))
	is.True(strings.Contains(string(raw), `"prompt_tokens":3000,"completion_tokens":5`))

	is.NoErr(cliOne.Cancel(ctx, "s1"))
	used, _, _ = one.usage()
	is.Equal(used, 0)
}

// Guards against a completion that starts or continues without an earlier segment that it needs.
func TestCompletionEndsWithItsSegment(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	one, cliOne, addrOne := startSegmentEngine(t)
	two, cliTwo, _ := startSegmentEngine(t)
	rest := &engine.SegmentRange{From: 2 * segmentTokens, EarlierSegments: []string{engine.SegmentRef(addrOne, "s1")}}
	resp, err := cliTwo.Complete(ctx, segmentRequest("c1", 5, rest))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(resp.StatusCode != http.StatusOK)
	beyond := &engine.SegmentRange{From: 7 * segmentTokens, To: 8 * segmentTokens}
	_, err = cliOne.PrefillSegment(ctx, segmentRequest("s1", 5, beyond))
	is.True(trace.IsBadParameter(err))

	hel, err := cliOne.PrefillSegment(ctx, segmentRequest("s1", 5, &engine.SegmentRange{To: 2 * segmentTokens}))
	is.NoErr(err)
	defer hel.Close()
	resp, err = cliTwo.Complete(ctx, segmentRequest("c2", 1400, rest))
	is.NoErr(err)
	one.Crash()
	raw, _ := io.ReadAll(resp.Body)
	is.NoErr(resp.Body.Close())
	is.True(!strings.Contains(string(raw), "[DONE]"))
	hel.Wait()
	is.Equal(one.activeIDs(), []string{})
	is.Equal(two.activeIDs(), []string{})
}
