package pool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/pool"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: mine\r\n\r\n"

// readBody sends a call to a replica and returns what can be read of the body of its response.
func readBody(t *testing.T, addr string) (int64, error) {
	t.Helper()
	con, err := pool.New(timer.New()).Get(context.Background(), "i-1", addr, true)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	if err := con.WriteRequest([]byte(request)); err != nil {
		t.Fatal(err)
	}
	_ = con.SetDeadline(time.Now().Add(10 * time.Second))
	//nolint:bodyclose // The connection is closed. Closing the body would read it to its end.
	res, err := con.ReadResponse(http.MethodGet, isOurs)
	if err != nil {
		t.Fatal(err)
	}
	return io.Copy(io.Discard, res.Body)
}

// TestFramingWithoutEndIsTooLong guards against a replica that takes all processing time of the process by a body of
// chunks of single bytes, which is small for the bytes that have to be read.
func TestFramingWithoutEndIsTooLong(t *testing.T) {
	iis := is.New(t)
	addr := startReplica(t, func(con net.Conn) {
		_, _ = io.ReadFull(con, make([]byte, len(request)))
		_, err := io.WriteString(con, chunkedHead)
		for err == nil {
			_, err = io.WriteString(con, strings.Repeat("1\r\nx\r\n", 1000))
		}
	})
	size, err := readBody(t, addr)
	iis.True(errors.Is(err, pool.ErrTooLong))
	iis.True(size < 32<<10)
}

// TestBodiesOfManyChunksAreWhole guards against sound bodies being cut because of their framing.
func TestBodiesOfManyChunksAreWhole(t *testing.T) {
	for chunk, count := range map[string]int{"1\r\nx\r\n": 12 << 10, "4\r\nxxxx\r\n": 256 << 10} {
		iis := is.New(t)
		addr := startReplica(t, func(con net.Conn) {
			_, _ = io.ReadFull(con, make([]byte, len(request)))
			_, _ = io.WriteString(con, chunkedHead+strings.Repeat(chunk, count)+"0\r\n\r\n")
		})
		size, err := readBody(t, addr)
		iis.NoErr(err)
		iis.Equal(size, int64(count*strings.Count(chunk, "x")))
	}
}
