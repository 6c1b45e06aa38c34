package link_test

import (
	"context"
	"io"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

func benchConn(b *testing.B, onOpen func(str *link.Stream, msg proto.Open)) *link.Conn {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	opts := options("server", "secret")
	opts.OnOpen = onOpen
	srv := httptest.NewServer(link.Handler(ctx, opts, func(*link.Conn) {}))
	b.Cleanup(srv.Close)
	b.Cleanup(cancel)
	con, err := link.Dial(context.Background(), strings.TrimPrefix(srv.URL, "http://"), options("client", "secret"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(con.Close)
	return con
}

// BenchmarkFrames measures the throughput of one stream with frames of about the size of a token's event.
func BenchmarkFrames(b *testing.B) {
	con := benchConn(b, func(str *link.Stream, _ proto.Open) {
		event := make([]byte, 200)
		for {
			if _, err := str.Write(event); err != nil {
				return
			}
		}
	})
	str, err := con.Open(context.Background(), proto.Open{})
	if err != nil {
		b.Fatal(err)
	}
	defer str.Close()
	body := str.Body(context.Background())
	buf := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.ReadFull(body, buf); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleStreams measures the memory of both ends of an open, idle stream, and its growth over 2 s.
func BenchmarkIdleStreams(b *testing.B) {
	const count = 10_000
	con := benchConn(b, func(str *link.Stream, _ proto.Open) { <-str.Context().Done() })
	for b.Loop() {
		before := heapBytes()
		streams := make([]*link.Stream, 0, count)
		for range count {
			str, err := con.Open(context.Background(), proto.Open{})
			if err != nil {
				b.Fatal(err)
			}
			streams = append(streams, str)
		}
		time.Sleep(time.Second)
		opened := heapBytes()
		time.Sleep(2 * time.Second)
		later := heapBytes()
		b.ReportMetric(float64(opened-before)/count, "B/stream")
		b.ReportMetric(float64(later-opened)/count, "B/stream-growth")
		for _, str := range streams {
			_ = str.Send(proto.KindCancel, proto.Cancel{})
			str.Close()
		}
	}
}

// heapBytes returns the bytes of heap and stacks in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stat runtime.MemStats
	runtime.ReadMemStats(&stat)
	return int64(stat.HeapInuse + stat.StackInuse)
}
