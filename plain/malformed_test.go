package plain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/plain"
)

// startService starts a service that answers each request on a connection with serve, until that returns false. It
// returns a client of it.
func startService(t *testing.T, serve func(con net.Conn) bool) *plain.Client {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = con.Close() }()
				brd := bufio.NewReader(con)
				for _, err := http.ReadRequest(brd); err == nil && serve(con); _, err = http.ReadRequest(brd) {
				}
			}()
		}
	}()
	return plain.New(lis.Addr().String())
}

// checkNoResponse sends calls to a service that sends a malformed response. Each must fail soon and count as one that
// may have reached the service.
func checkNoResponse(t *testing.T, text string) {
	t.Helper()
	for _, kept := range []bool{false, true} {
		for _, gate := range []func() error{nil, allow} {
			iis := is.New(t)
			var isFirst atomic.Bool
			isFirst.Store(kept)
			cli := startService(t, func(con net.Conn) bool {
				if isFirst.Swap(false) {
					_, err := io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return err == nil
				}
				_, err := io.WriteString(con, text)
				return err == nil
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if kept {
				resp, _, err := cli.Do(ctx, request(nil))
				iis.NoErr(err)
				iis.NoErr(resp.Body.Close())
			}
			resp, contacted, err := cli.Do(ctx, request(gate))
			if err == nil {
				_ = resp.Body.Close()
				t.Errorf("%q kept=%v: status %d is a response", text, kept, resp.StatusCode)
			}
			iis.True(contacted)
			iis.True(err == nil || trace.IsConnectionProblem(err))
			iis.NoErr(ctx.Err())
		}
	}
}

// TestInvalidStatusIsNoResponse guards against a response without a valid status that reaches a caller, or for which
// the process that writes it there panics.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, code := range []string{"000", "099", "101", "600"} {
		text := "HTTP/1.1 " + code + " X\r\nContent-Length: 2\r\n\r\nno"
		checkNoResponse(t, text)
		checkNoResponse(t, strings.Replace(text, "2\r\n\r\nno", "0\r\n\r\n", 1))
		checkNoResponse(t, "HTTP/1.1 103 X\r\n\r\n"+text)
	}
}

// TestMalformedFieldIsNoResponse guards against a body that is read without its length, and a line that is forwarded
// although it is no header field.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	for _, fields := range []string{
		"X Y: 1\r\nContent-Length: 2\r\n", "Content-Length : 2\r\n", "X-Y: 1\r\n Content-Length: 2\r\n",
		"X-Y: 1\r\n\tContent-Length: 2\r\n", "Transfer-Encoding : chunked\r\nContent-Length: 2\r\n",
	} {
		checkNoResponse(t, "HTTP/1.1 200 X\r\n"+fields+"\r\nno")
		checkNoResponse(t, "HTTP/1.1 103 X\r\nX Y: 1\r\n\r\nHTTP/1.1 200 X\r\n"+fields+"\r\nno")
	}
	checkNoResponse(t, "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n")
}
