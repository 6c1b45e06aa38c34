package load

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

func ExampleParseMix() {
	mix, err := ParseMix("1000-2000:0.9,100000-200000:0.1")
	fmt.Println(mix, err)
	// Output: [{1000 2000 0.9} {100000 200000 0.1}] <nil>
}

// plan returns a plan without requests longer than maxPrompt tokens; 0 for no limit.
func plan(maxPrompt int) Plan {
	return Plan{
		Seed: 7, Rate: 50, Duration: 20 * time.Second, Mix: DefaultMix(), MaxPrompt: maxPrompt,
		Accounts: []Account{{Name: "a"}, {Name: "b"}}, Model: "m", MaxTokens: 8,
	}
}

// Guards against comparing runs with different requests.
func TestArrivalsAreReproducible(t *testing.T) {
	is := is.New(t)
	all := plan(0).arrivals()
	is.Equal(all, plan(0).arrivals())
	var short []arrival
	for _, arr := range all {
		if arr.tokens <= 2000 {
			short = append(short, arr)
		}
	}
	is.Equal(plan(2000).arrivals(), short)
}

// Guards against a Content-Length that differs from the length of the body, which a server reports as a broken request.
func TestBodyHasItsLength(t *testing.T) {
	is := is.New(t)
	rdr, length := body(plan(0), arrival{tokens: 1234, seed: 1})
	raw, err := io.ReadAll(rdr)
	is.NoErr(err)
	is.Equal(int64(len(raw)), length)
	is.True(strings.HasSuffix(string(raw), `"}`))
}

// Guards against a malformed mix that is accepted or silently replaced.
func TestBadMixIsRefused(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"1000", "a-b:1", "2000-1000:1", "1-2:0", "1-2:NaN", ","} {
		_, err := ParseMix(text)
		is.True(trace.IsBadParameter(err))
	}
}

// Guards against refused and late requests that are counted as done.
func TestSummarizeCountsEachOutcomeOnce(t *testing.T) {
	is := is.New(t)
	reps := Summarize("t", []Sample{
		{Class: "2k", Outcome: OutcomeDone, FirstToken: 30 * time.Millisecond},
		{Class: "2k", Outcome: OutcomeRefused, Reason: "queue-full"},
		{Class: "2k", Outcome: OutcomeTimeout},
		{Class: "2k", Outcome: OutcomeIncomplete},
	}, []Sample{{Class: "2k", Outcome: OutcomeDone, FirstToken: 20 * time.Millisecond}}, time.Second)
	is.Equal(len(reps), 1)
	is.Equal(reps[0].Offered, 4)
	is.Equal(reps[0].Done, 1)
	is.Equal(reps[0].TimedOut, 1)
	is.Equal(reps[0].Incomplete, 1)
	is.Equal(reps[0].Refused["queue-full"], 1)
	is.Equal(reps[0].Slowdown, 1.5)
}
