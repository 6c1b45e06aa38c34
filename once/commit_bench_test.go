package once_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	offerTime   = 3 * time.Second // time for which calls are offered at each rate
	answerBytes = 200
	logRate     = 300 // appends a second that the log accepts
	manyKeys    = 100_000
)

// offer sends the given number of calls a second through three recorders. It reports the rate of appends, the latency
// of the calls, the bytes that are written to the log for each call, and the number of refused calls.
func offer(b *testing.B, calls int, appendRate float64, batchItems int) {
	for b.Loop() {
		ben := newLimitedBench(b, timer.New(), logRate)
		var logBytes, refused atomic.Int64
		recs := make([]*once.Recorder, 3)
		for idx := range recs {
			recs[idx], _ = ben.start(b, func(opts *once.Options) {
				opts.AppendRate, opts.RecordLimit, opts.BatchItems = appendRate, 2*time.Second, batchItems
				opts.Append = func(ctx context.Context, stream string, data []byte) (int64, error) {
					off, err := ben.cli.Append(ctx, stream, data)
					if err == nil {
						logBytes.Add(int64(len(data)))
					}
					return off, err
				}
			})
		}
		svc := &service{size: answerBytes}
		total := calls * int(offerTime/time.Second)
		took := make([]time.Duration, total)
		var wait sync.WaitGroup
		start := time.Now()
		for num := range total {
			time.Sleep(time.Until(start.Add(time.Duration(num) * time.Second / time.Duration(calls))))
			wait.Go(func() {
				from := time.Now()
				rqs := ben.request(fmt.Sprint(num), "b")
				if recs[num%3].Do(context.Background(), rqs, svc.run).Outcome != proto.OutcomeDone {
					refused.Add(1)
				}
				took[num] = time.Since(from)
			})
		}
		wait.Wait()
		rate := float64(ben.log.Appends()) / time.Since(start).Seconds()
		slices.Sort(took)
		b.ReportMetric(rate, "appends/s")
		b.ReportMetric(float64(took[total/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(took[total*99/100].Microseconds())/1000, "p99-ms")
		b.ReportMetric(float64(logBytes.Load())/float64(total), "log-B/call")
		b.ReportMetric(float64(refused.Load()), "refused")
	}
}

// BenchmarkCommit compares group commit at the default rate with one append for each item.
func BenchmarkCommit(b *testing.B) {
	for _, calls := range []int{10, 100, 430, 1000} {
		b.Run(fmt.Sprintf("group/%d", calls), func(b *testing.B) { offer(b, calls, 20, 0) })
		b.Run(fmt.Sprintf("single/%d", calls), func(b *testing.B) { offer(b, calls, 100_000, 1) })
	}
}

// BenchmarkMemory measures the memory of a remembered key with an answer of 200 bytes, with its answer dropped, and at
// the default of once.answer-memory.
func BenchmarkMemory(b *testing.B) {
	for name, limit := range map[string]int{"answer": 1 << 30, "default": 4 << 20, "dropped": 0} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				ben := newBench(b, timer.New())
				rec, _ := ben.start(b, func(opts *once.Options) { opts.AnswerMemory, opts.Slots = limit, 1 })
				svc := &service{size: answerBytes}
				before := heap()
				var wait sync.WaitGroup
				for part := range 100 {
					wait.Go(func() {
						for num := range manyKeys / 100 {
							rec.Do(context.Background(), ben.request(fmt.Sprint(part, " ", num), "b"), svc.run)
						}
					})
				}
				wait.Wait()
				until(b, func() bool { return rec.Remembered() == manyKeys })
				logBytes := int64(0)
				bat, err := ben.cli.Read(context.Background(), "once-holds-0", 1, manyKeys, 0)
				if err != nil {
					b.Fatal(err)
				}
				for _, rcd := range bat.Records {
					logBytes += int64(cap(rcd.Data))
				}
				bat.Records = nil
				b.ReportMetric(float64(heap()-before-logBytes)/manyKeys, "B/key")
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}
