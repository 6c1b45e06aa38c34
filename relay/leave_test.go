package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNoAnswerLooksCompleteToAClientThatStoppedSending guards against a client that closes only its sending side and
// then gets an empty success, or a stream that seems to end with its last event.
func TestNoAnswerLooksCompleteToAClientThatStoppedSending(t *testing.T) {
	for name, hdl := range map[string]handler{
		"before the answer": func(con net.Conn, _ request) bool {
			_, _ = con.Read(make([]byte, 1))
			return false
		},
		"in a stream": func(con net.Conn, req request) bool {
			_ = stream(con, req, 1, 2, false)
			_, _ = con.Read(make([]byte, 1))
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rig := newRig(t, newReplica(t, hdl))
			con, err := net.Dial("tcp", strings.TrimPrefix(rig.url, "http://"))
			iis.NoErr(err)
			defer func() { _ = con.Close() }()
			_, err = io.WriteString(con,
				"POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nApi-Key: k\r\nContent-Length: 0\r\n\r\n")
			iis.NoErr(err)
			time.Sleep(100 * time.Millisecond) // The call is under way.
			iis.NoErr(con.(*net.TCPConn).CloseWrite())
			iis.NoErr(con.SetReadDeadline(time.Now().Add(5 * time.Second)))
			res, err := http.ReadResponse(bufio.NewReader(con), nil)
			if err != nil {
				return // The connection was closed without an answer.
			}
			defer func() { _ = res.Body.Close() }()
			_, err = io.ReadAll(res.Body)
			iis.True(err != nil)
		})
	}
}
