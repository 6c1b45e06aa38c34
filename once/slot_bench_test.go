package once_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const serviceRate = 430 // calls a second of one service

// BenchmarkSlots measures how many bytes each agent of one service reads and how many keys it remembers. With one slot,
// all keys share one stream and each call goes to an agent by its key. With more slots, each call goes to the agent of
// its key's slot.
func BenchmarkSlots(b *testing.B) {
	for _, agents := range []int{3, 16, 64} {
		appendRate := 60 / float64(agents) // the same load on the log for any number of agents
		for _, slots := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("agents=%d/slots=%d", agents, slots), func(b *testing.B) {
				for b.Loop() {
					spread(b, agents, slots, appendRate)
				}
			})
		}
	}
}

// reader counts the bytes that one agent reads from the log, in the log's JSON encoding.
type reader struct {
	rec   *once.Recorder
	bytes atomic.Int64
}

func startReaders(b *testing.B, ben *bench, count, slots int, appendRate float64) []*reader {
	list := make([]*reader, count)
	for idx := range list {
		red := &reader{}
		red.rec, _ = ben.start(b, func(opts *once.Options) {
			opts.Slots, opts.AppendRate, opts.RecordLimit = slots, appendRate, 10*time.Second
			opts.Read = func(
				ctx context.Context, stream string, from int64, limit int, wait time.Duration,
			) (logsvc.Batch, error) {
				bat, err := ben.cli.Read(ctx, stream, from, limit, wait)
				raw, _ := json.Marshal(bat)
				red.bytes.Add(int64(len(raw)))
				return bat, err
			}
		})
		list[idx] = red
	}
	return list
}

// place returns the index of the agent for a slot or a key, by rendezvous hashing.
func place(name string, agents int) int {
	best, most := 0, uint64(0)
	for idx := range agents {
		if sum := xxhash.Sum64String(fmt.Sprint(name, "\x00agent-", idx)); sum >= most {
			best, most = idx, sum
		}
	}
	return best
}

// spread sends calls at serviceRate to the agents, and reports the means over all agents and the latency of the calls.
func spread(b *testing.B, agents, slots int, appendRate float64) {
	ben := newLimitedBench(b, timer.New(), logRate)
	reds := startReaders(b, ben, agents, slots, appendRate)
	svc := &service{size: answerBytes}
	total := serviceRate * int(2*offerTime/time.Second)
	took := make([]time.Duration, total)
	var refused atomic.Int64
	var wait sync.WaitGroup
	start := time.Now()
	for num := range total {
		time.Sleep(time.Until(start.Add(time.Duration(num) * time.Second / serviceRate)))
		wait.Go(func() {
			from := time.Now()
			rqs := ben.request(fmt.Sprint(num), "b")
			name := fmt.Sprint(rqs.Key.Slot(slots))
			if slots == 1 {
				name = fmt.Sprint(num)
			}
			res := reds[place(name, agents)].rec.Do(context.Background(), rqs, svc.run)
			if res.Outcome != proto.OutcomeDone {
				refused.Add(1)
			}
			took[num] = time.Since(from)
		})
	}
	wait.Wait()
	elapsed := time.Since(start).Seconds()
	var read, keys, most int
	for _, red := range reds {
		read += int(red.bytes.Load())
		keys += red.rec.Remembered()
		most = max(most, red.rec.Remembered())
	}
	slices.Sort(took)
	b.ReportMetric(float64(read)/float64(agents)/elapsed, "read-B/s/agent")
	b.ReportMetric(float64(keys)/float64(agents), "keys/agent")
	b.ReportMetric(float64(most), "most-keys")
	b.ReportMetric(float64(ben.log.Appends())/elapsed, "appends/s")
	b.ReportMetric(float64(took[total/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[total*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(refused.Load()), "refused")
}
