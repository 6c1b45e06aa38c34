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

// BenchmarkFrames measures the frames of about a token's size that one stream carries.
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

// BenchmarkIdleStreams measures the memory that both ends of open, idle streams take, and whether it grows.
func BenchmarkIdleStreams(b *testing.B) {
	const count = 10_000
	con := benchConn(b, func(str *link.Stream, _ proto.Open) { <-str.Context().Done() })
	for b.Loop() {
		before := heap()
		streams := make([]*link.Stream, 0, count)
		for range count {
			str, err := con.Open(context.Background(), proto.Open{})
			if err != nil {
				b.Fatal(err)
			}
			streams = append(streams, str)
		}
		time.Sleep(time.Second)
		opened := heap()
		time.Sleep(2 * time.Second)
		later := heap()
		b.ReportMetric(float64(opened-before)/count, "B/stream")
		b.ReportMetric(float64(later-opened)/count, "B/stream-growth")
		for _, str := range streams {
			_ = str.Send(proto.KindCancel, proto.Cancel{})
			str.Close()
		}
	}
}

func heap() int64 {
	runtime.GC()
	var stat runtime.MemStats
	runtime.ReadMemStats(&stat)
	return int64(stat.HeapInuse + stat.StackInuse)
}
