package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/relay"
)

// TestSlowClientKeepsItsRun guards against a sound run that is taken for stalled because its client reads slowly, so
// that events wait in this process.
func TestSlowClientKeepsItsRun(t *testing.T) {
	const (
		pieces     = 640
		pieceBytes = 32 << 10 // all together more than the sockets hold
	)
	iis := is.New(t)
	hdl := func(con net.Conn, req request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n", signedHeaders(req))
		for num := 1; num <= pieces; num++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", num, strings.Repeat("x", pieceBytes))
			_, _ = fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(con, "0\r\n\r\n")
		return err == nil
	}
	one, two := newReplica(t, hdl), newReplica(t, hdl)
	rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1, Running: 1}, nil, one, two)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/stream/x", nil)
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	time.Sleep(3 * idleTimeout)
	num, err := io.Copy(io.Discard, res.Body)
	iis.NoErr(err)
	iis.True(num > pieces*pieceBytes)
	iis.Equal(one.calls.Load()+two.calls.Load(), int64(1))
}
