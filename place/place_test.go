package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

func engine() *cost.Engine {
	return &cost.Engine{
		Slots: 16, MemoryTokens: 315000, Step: 850 * time.Microsecond, StepPerStream: 4250 * time.Nanosecond,
		StepPer1kTokens: 2850 * time.Nanosecond, PrefillTokensPerS: 177000, PrefillPerMPairs: 184 * time.Microsecond,
		PrefillChunk: 2048, StepsPerIteration: 51,
	}
}

func views(num int) []fleet.View {
	list := make([]fleet.View, num)
	for idx := range list {
		list[idx] = fleet.View{
			Position: idx, ID: fmt.Sprint("i-", idx), Address: fmt.Sprint("10.0.0.", idx, ":80"),
			DataCentre: "z", Slots: 16, LatencyRatio: 1,
		}
	}
	return list
}

// write adds short streams that are writing to a view.
func write(vie *fleet.View, num int) {
	for range num {
		vie.Tasks = append(vie.Tasks, fleet.Task{
			Phase: fleet.Decode, KVTokens: 5000, PrefillTime: 30 * time.Millisecond,
			GapTarget: 250 * time.Millisecond, Value: 1.5,
		})
		vie.DecodeStreams++
		vie.DecodeTokens += 5000
		vie.KVTokens += 5000
	}
}

func shortJob() place.Request {
	return place.Request{
		PromptTokens: 5000, OutputTokens: 1600, LatencyTarget: 300 * time.Millisecond,
		GapTarget: 250 * time.Millisecond,
		TimeLeft:  10 * time.Second, DataCentre: "z",
	}
}

func longJob(tokens int) place.Request {
	return place.Request{
		PromptTokens: tokens, OutputTokens: 800, LatencyTarget: 3 * time.Second, GapTarget: time.Second,
		TimeLeft:   15 * time.Second,
		DataCentre: "z",
	}
}

// TestShortCallAvoidsLongRead answers the pattern of a short call that arrives while a long prompt is read: it must go
// where it is on time, even if more calls run there.
func TestShortCallAvoidsLongRead(t *testing.T) {
	iis := is.New(t)
	list := views(2)
	list[0].PrefillBacklog = 900 * time.Millisecond
	write(&list[1], 6)
	pln, ok := place.OnEngine(shortJob(), engine(), list, 0)
	iis.True(ok)
	iis.Equal(pln.Primary.ID, "i-1")
}

// TestLongPromptIsReadByMany answers the pattern of a prompt whose reading alone takes longer than its goal.
func TestLongPromptIsReadByMany(t *testing.T) {
	iis := is.New(t)
	pln, ok := place.OnEngine(longJob(250000), engine(), views(20), 0)
	iis.True(ok)
	iis.True(len(pln.Helpers) >= 2)
	iis.True(pln.FirstEvent < 3*time.Second)
}

// TestLongPromptSparesShortStreams answers the pattern of long prompts beside short streams: parts go to engines where
// nobody's pause is exceeded.
func TestLongPromptSparesShortStreams(t *testing.T) {
	iis := is.New(t)
	list := views(16)
	for idx := range 10 {
		write(&list[idx], 4)
	}
	pln, ok := place.OnEngine(longJob(154000), engine(), list, 0)
	iis.True(ok)
	iis.Equal(pln.Primary.DecodeStreams, 0)
	for _, hlp := range pln.Helpers {
		iis.Equal(hlp.View.DecodeStreams, 0) // a helper without streams
	}
}

// TestPromptLargerThanAnEngine answers the pattern of prompts that no engine can hold: memory is reserved at helpers.
func TestPromptLargerThanAnEngine(t *testing.T) {
	iis := is.New(t)
	pln, ok := place.OnEngine(longJob(600000), engine(), views(20), 0)
	iis.True(ok)
	reserved := 0
	for _, hlp := range pln.Helpers {
		iis.True(hlp.ReserveTokens <= 315000)
		reserved += hlp.ReserveTokens
	}
	iis.True(reserved >= 600000-315000)
}

// TestUnservablePromptIsRefused guards against a prompt that waits in vain because the whole fleet cannot hold it.
func TestUnservablePromptIsRefused(t *testing.T) {
	iis := is.New(t)
	_, ok := place.OnEngine(longJob(700000), engine(), views(2), 0)
	iis.True(!ok)
}

// TestShortCallsLeaveRoomForLongPrompts answers the pattern in which long prompts make up most of the reading: short
// calls share few replicas, the same at all processes.
func TestShortCallsLeaveRoomForLongPrompts(t *testing.T) {
	iis := is.New(t)
	list := views(20)
	for range 20 {
		pln, ok := place.OnEngine(shortJob(), engine(), append([]fleet.View(nil), list...), 12)
		iis.True(ok)
		iis.True(pln.Primary.Position < 8)
		write(&list[pln.Primary.Position], 1)
	}
}

// TestFailedReplicaIsAvoided guards against a repeat that goes to the replica that has just failed the call.
func TestFailedReplicaIsAvoided(t *testing.T) {
	iis := is.New(t)
	job := shortJob()
	job.ExcludeReplicas = []string{"i-0"}
	pln, ok := place.OnEngine(job, engine(), views(2), 0)
	iis.True(ok)
	iis.Equal(pln.Primary.ID, "i-1")
}

// TestRiskyReplicaIsAvoided answers the pattern of a replica that fails part of its calls while others are sound.
func TestRiskyReplicaIsAvoided(t *testing.T) {
	iis := is.New(t)
	list := views(2)
	list[0].FailureRate = 0.4
	write(&list[1], 5)
	pln, ok := place.OnEngine(shortJob(), engine(), list, 0)
	iis.True(ok)
	iis.Equal(pln.Primary.ID, "i-1")
	pln, ok = place.OnService(place.Request{DataCentre: "z"}, list)
	iis.True(ok)
	iis.Equal(pln.Primary.ID, "i-1")
}

// TestNoReplicaIsNeverAllRisky guards against a fleet that is given up as a whole.
func TestNoReplicaIsNeverAllRisky(t *testing.T) {
	iis := is.New(t)
	list := views(2)
	list[0].FailureRate, list[1].FailureRate = 0.95, 0.99
	pln, ok := place.OnEngine(shortJob(), engine(), list, 0)
	iis.True(ok)
	iis.Equal(pln.Primary.ID, "i-0")
}

// TestFullReplicaIsNotIdle answers the pattern of calls that pile up on a replica which reads long prompts and has no
// stream writing yet: its slots are taken all the same.
func TestFullReplicaIsNotIdle(t *testing.T) {
	iis := is.New(t)
	list := views(2)
	for range 24 {
		list[0].Tasks = append(list[0].Tasks, fleet.Task{KVTokens: 5000, PrefillTime: 30 * time.Millisecond})
	}
	write(&list[1], 12)
	pln, ok := place.OnEngine(shortJob(), engine(), list, 0)
	iis.True(ok)
	iis.Equal(pln.Primary.ID, "i-1")
}

// TestPartsTakeNoSlots guards against replicas that count as full because they read parts of prompts.
func TestPartsTakeNoSlots(t *testing.T) {
	iis := is.New(t)
	list := views(1)
	for range 20 {
		list[0].Tasks = append(list[0].Tasks, fleet.Task{IsPart: true, SplitPrompt: true})
	}
	pln, ok := place.OnEngine(shortJob(), engine(), list, 0)
	iis.True(ok)
	iis.True(pln.FirstEvent < 100*time.Millisecond)
}

// TestLongPromptWaitsForStreamsToEnd answers the pattern in which long prompts follow a burst of short calls: every
// engine has short streams that end within a second or two, and reading now would make all of them late.
func TestLongPromptWaitsForStreamsToEnd(t *testing.T) {
	iis := is.New(t)
	list := views(20)
	for idx := range list {
		write(&list[idx], 8)
	}
	job := longJob(300000)
	pln, ok := place.OnEngine(job, engine(), append([]fleet.View(nil), list...), 0)
	iis.True(ok)
	iis.True(pln.ShouldDefer())
	job.LatencyTarget = 500 * time.Millisecond // Waiting would make it late.
	pln, ok = place.OnEngine(job, engine(), list, 0)
	iis.True(ok)
	iis.True(!pln.ShouldDefer())
	pln, ok = place.OnEngine(longJob(300000), engine(), views(20), 0)
	iis.True(ok)
	iis.True(!pln.ShouldDefer()) // nobody is in its way
}

// TestPromptIsNotRefusedWhileAnyChoiceServesIt guards against a refusal because the choice that does the least harm
// would take too long, while another one would not.
func TestPromptIsNotRefusedWhileAnyChoiceServesIt(t *testing.T) {
	iis := is.New(t)
	list := views(16)
	for idx := range list {
		write(&list[idx], 12)
	}
	job := longJob(290000)
	job.LatencyTarget = 2 * time.Second
	job.TimeLeft = 6 * time.Second
	pln, ok := place.OnEngine(job, engine(), list, 0)
	iis.True(ok)
	iis.True(pln.FirstEvent < job.TimeLeft)
}

// TestWaitForSlotsFollowsUsualOutput guards against a predicted wait for a slot that follows the newcomer's own output,
// which may be far from that of the streams it waits for.
func TestWaitForSlotsFollowsUsualOutput(t *testing.T) {
	iis := is.New(t)
	expected := func(usual int) time.Duration {
		eng := engine()
		eng.MeanOutput = usual
		list := views(1)
		write(&list[0], 20)
		pln, ok := place.OnEngine(shortJob(), eng, list, 0)
		iis.True(ok)
		return pln.FirstEvent
	}
	iis.True(expected(3200) > 3*expected(800)/2)
}

// TestUnsureProcessSpreadsShortCalls answers the pattern in which all processes start again at once: none knows what
// the others have placed, and all take the first replicas in rank.
func TestUnsureProcessSpreadsShortCalls(t *testing.T) {
	iis := is.New(t)
	taken := func(unsure bool) int {
		ranks := make(map[int]bool)
		rnd := rand.New(rand.NewPCG(1, 2))
		for range 40 {
			job := shortJob()
			job.LoadUnknown = unsure
			job.Jitter = rnd.Float64
			pln, ok := place.OnEngine(job, engine(), views(20), 0)
			iis.True(ok)
			ranks[pln.Primary.Position] = true
		}
		return len(ranks)
	}
	iis.Equal(taken(false), 1)
	iis.True(taken(true) >= 12)
}
