package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"testing"
)

// cutResponses are whole responses, by how the end of their body is found, and whether the end of the connection is a
// regular one after the head.
var cutResponses = map[string]struct {
	head, body string
	unframed   bool
}{
	"length":  {head: "Content-Type: text/plain\r\nContent-Length: 5\r\n", body: "whole"},
	"chunks":  {head: "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n", body: "5\r\nwhole\r\n0\r\n\r\n"},
	"neither": {head: "Content-Type: text/plain\r\n", body: "whole", unframed: true},
	"stream": {
		head: "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
		body: "5\r\n:x\n\n\n\r\n0\r\n\r\n",
	},
}

// TestResponseThatIsCutOffIsNoSuccess guards against clients that get a success with an empty or short body, framed as
// whole, because a replica has stopped anywhere in its response and closed the connection: a new one, or one on which
// it has answered a call before.
func TestResponseThatIsCutOffIsNoSuccess(t *testing.T) {
	for name, whole := range cutResponses {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " kept=", kept), func(t *testing.T) {
				t.Parallel()
				text := func(req request) string {
					return "HTTP/1.1 200 OK\r\n" + signedHeaders(req) + whole.head + "\r\n" + whole.body
				}
				end := len(text(request{Request: &http.Request{}})) + len("c1")
				if whole.unframed { // From here on, the end of the connection is that of the body.
					end -= len(whole.body)
				}
				checkCutResponses(t, kept, end, text)
			})
		}
	}
}

// cutsPerRelay is the number of cuts after which another relay is used, since calls wait for replicas that fail often.
const cutsPerRelay = 10

// checkCutResponses sends calls to replicas that close the connection within a text, after each number of bytes below
// end. The last element of the path of a call is that number; other calls are answered.
func checkCutResponses(t *testing.T, kept bool, end int, text func(req request) string) {
	t.Helper()
	hdl := func(con net.Conn, req request) bool {
		size, err := strconv.Atoi(path.Base(req.URL.Path))
		if err != nil {
			return reply(con, req, 200, "other")
		}
		_, _ = io.WriteString(con, text(req)[:size])
		return false
	}
	replicas := []*replica{newReplica(t, hdl), newReplica(t, hdl)}
	var rig *rig
	for size := range end {
		if size%cutsPerRelay == 0 {
			rig = newRig(t, replicas...)
		}
		for _, route := range []string{"/safe/", "/unsafe/", "/stream/"} {
			for idx := 0; kept && idx < len(replicas); idx++ {
				rig.addIdleConn(t, fmt.Sprint("i-", idx), replicas[idx])
			}
			status, body, err := rig.send(t, route+strconv.Itoa(size))
			if err == nil && status != http.StatusBadGateway {
				t.Errorf("%s cut after %d bytes: status %d with body %q", route, size, status, body)
			}
		}
	}
}
