package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkStream measures a stream of 40 events of about 200 bytes, which the replica sends one by one and the client
// reads at once, through the relay over loopback.
func BenchmarkStream(b *testing.B) {
	event := fmt.Sprintf("data: %s\n\n", strings.Repeat("x", 190))
	rig := newRig(b, newReplica(b, func(con net.Conn, req request) bool {
		_, _ = io.WriteString(con, streamHead(req, "Transfer-Encoding: chunked"))
		for num := range 40 {
			text := fmt.Sprintf("id: %d\n%s", num+1, event)
			_, _ = fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(con, "0\r\n\r\n")
		return err == nil
	}))
	rig.benchmark(b, "/stream/x")
}

// BenchmarkReply measures a call that is not a stream.
func BenchmarkReply(b *testing.B) {
	rig := newRig(b, newReplica(b, func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") }))
	rig.benchmark(b, "/safe/x")
}

// benchmark sends calls to a path one after the other.
func (rig *rig) benchmark(b *testing.B, path string) {
	b.Helper()
	b.ReportAllocs()
	for num := range b.N {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, rig.url+path, strings.NewReader("asked"))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Tarragonwheel-Request-Id", fmt.Sprint("c", num))
		req.Header.Set("Api-Key", "k")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		size, err := io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err != nil || size == 0 {
			b.Fatal(size, err)
		}
	}
}
