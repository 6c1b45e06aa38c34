package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless writes the same bytes until the connection is closed.
func endless(con net.Conn, text string) bool {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(16 << 10) // What the caller does not read costs the test little.
	}
	block := []byte(strings.Repeat(text, 1+(4<<10)/len(text)))
	for {
		if _, err := con.Write(block); err != nil {
			return false
		}
	}
}

// endlessReplies are responses without end, by the place from which they do not end.
var endlessReplies = map[string]func(con net.Conn, req request) bool{
	"status line": func(con net.Conn, _ request) bool {
		_, _ = io.WriteString(con, "HTTP/1.1 200 ")
		return endless(con, "x")
	},
	"header": func(con net.Conn, _ request) bool {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nX-Long: ")
		return endless(con, "x")
	},
	"headers": func(con net.Conn, _ request) bool {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n")
		return endless(con, "X-Many: x\r\n")
	},
	"folded header": func(con net.Conn, _ request) bool {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nX-Folded: x\r\n")
		return endless(con, " x\r\n")
	},
	"zero bytes": func(con net.Conn, _ request) bool { return endless(con, "\x00") },
	"informational responses": func(con net.Conn, _ request) bool {
		return endless(con, "HTTP/1.1 100 Continue\r\n\r\n")
	},
	"response of another call": func(con net.Conn, _ request) bool {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nTarragonwheel-Request-Id: other\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n")
		return endless(con, "400\r\n"+strings.Repeat("x", 0x400)+"\r\n")
	},
	"body without length": func(con net.Conn, req request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%s\r\n", signedHeaders(req))
		return endless(con, "x")
	},
	"chunks of one byte": func(con net.Conn, req request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", signedHeaders(req))
		return endless(con, "1\r\nx\r\n")
	},
	"chunk extension": func(con net.Conn, req request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1;", signedHeaders(req))
		return endless(con, "x")
	},
	"trailer": func(con net.Conn, req request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
			signedHeaders(req))
		return endless(con, "X-Trailer: x\r\n")
	},
	"event": func(con net.Conn, req request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\ndata: ",
			signedHeaders(req))
		return endless(con, "x")
	},
}

// TestEndlessResponses guards against a replica that sends bytes without end, which are no response or none that ends,
// and takes all memory of the process. Each call must end at once, and few bytes may be kept for all of them together.
func TestEndlessResponses(t *testing.T) {
	const calls, maxHeap = 200, 64 << 20
	for name, hdl := range endlessReplies {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rep := newReplica(t, hdl)
			rig := newRig(t, rep)
			rig.opts.BufferBytes = 1 << 20
			rig.start(t)
			path := "/unsafe/x"
			if name == "event" {
				path = "/stream/x"
			}
			began := time.Now()
			var wgr sync.WaitGroup
			failures := make(chan string, calls)
			var notSent atomic.Int64
			for range calls {
				wgr.Go(func() {
					switch status, body, err := rig.send(t, path); {
					case err == nil && status == http.StatusServiceUnavailable:
						notSent.Add(1)
					case err == nil && status != http.StatusBadGateway:
						failures <- fmt.Sprint("status ", status, " ", body)
					}
				})
			}
			iis.True(peakHeap(&wgr) < maxHeap)
			if path == "/unsafe/x" { // Calls that are refused as not run have reached no replica.
				iis.True(notSent.Load()+rep.calls.Load() <= calls)
			}
			select {
			case failure := <-failures:
				t.Error(failure)
			default:
			}
			iis.True(time.Since(began) < 5*time.Second)
		})
	}
}

// peakHeap waits for the group and returns the largest heap that was in use meanwhile, in bytes.
func peakHeap(wgr *sync.WaitGroup) (peak uint64) {
	done := make(chan struct{})
	go func() {
		wgr.Wait()
		close(done)
	}()
	for {
		var sts runtime.MemStats
		runtime.ReadMemStats(&sts)
		peak = max(peak, sts.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}
