package relay_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// eventStream returns a signed response with a stream of events, of which the given text is the body.
func eventStream(req request, body string) string {
	return "HTTP/1.1 200 OK\r\n" + signedHeaders(req) + "Content-Type: text/event-stream\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// response returns a signed response with the given status line, further headers and body.
func response(req request, status, headers, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + signedHeaders(req) + headers +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// answersToResumption are responses that do not go on with a stream after event 3, to a request to resume it there.
var answersToResumption = map[string]func(req request) string{
	"400": func(req request) string {
		return response(req, "400 X", "Content-Type: application/json\r\n", `{"e":"x"}`)
	},
	"404": func(req request) string { return response(req, "404 X", "", "nothing here") },
	"500": func(req request) string { return response(req, "500 X", "Content-Type: text/plain\r\n", "broken") },
	"503": func(req request) string { return response(req, "503 X", "", "full") },
	"refusal": func(req request) string {
		return response(req, "503 X", "Tarragonwheel-Not-Executed: 1\r\n", `{"e":"full"}`)
	},
	"421": func(req request) string { return response(req, "421 X", "", "another") },
	"204": func(req request) string { return "HTTP/1.1 204 X\r\n" + signedHeaders(req) + "\r\n" },
	"206": func(req request) string {
		return response(req, "206 X", "Content-Type: text/event-stream\r\n", events(4, 5))
	},
	"redirect": func(req request) string { return response(req, "302 X", "Location: /safe/x\r\n", "") },
	"200 with JSON": func(req request) string {
		return response(req, "200 OK", "Content-Type: application/json\r\n", `{"e":"x"}`)
	},
	"200 without type": func(req request) string { return response(req, "200 OK", "", events(4, 5)) },
	"500 as a stream": func(req request) string {
		return response(req, "500 X", "Content-Type: text/event-stream\r\n", events(4, 5))
	},
	"encoded": func(req request) string {
		return response(req, "200 OK", "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n", events(4, 5))
	},
	"unsigned": func(req request) string {
		return strings.Replace(eventStream(req, events(4, 5)), "Signature", "Sig", 1)
	},
	"of another call": func(req request) string {
		return strings.Replace(eventStream(req, events(4, 5)), req.id(), "other", 1)
	},
	"error as an event": func(req request) string { return eventStream(req, "event: error\ndata: broken\n\n") },
	"events without IDs": func(req request) string {
		return eventStream(req, "data: piece 1\n\ndata: piece 2\n\n")
	},
	"event with an odd ID": func(req request) string { return eventStream(req, "id: x4\ndata: piece 4\n\n") },
	"event with a huge ID": func(req request) string {
		return eventStream(req, "id: 99999999999999999999\ndata: piece 4\n\n")
	},
	"head as an event": func(req request) string {
		return eventStream(req, response(req, "500 X", "", "broken")+"\n\n")
	},
	"no event":          func(req request) string { return eventStream(req, "") },
	"only a comment":    func(req request) string { return eventStream(req, ": comment\n\n") },
	"incomplete event":  func(req request) string { return eventStream(req, "id: 4\ndata: pie") },
	"missing piece":     func(req request) string { return eventStream(req, events(5, 6)) },
	"no response":       func(request) string { return "broken\r\n\r\n" },
	"nothing":           func(request) string { return "" },
	"stream of its own": func(req request) string { return eventStream(req, events(1, 2)) },
}

// TestOnlyTheRestOfAStreamFollows guards against the text or the head of an error in the middle of a stream, against
// pieces that are missing or belong to no run of the call, and against a stream that ends as if it were complete,
// after a stream has broken and the next replica answers with something else than its rest.
func TestOnlyTheRestOfAStreamFollows(t *testing.T) {
	for name, answer := range answersToResumption {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			hdl := func(con net.Conn, req request) bool {
				if req.Header.Get("Last-Event-Id") == "" {
					return stream(con, req, 1, 3, false)
				}
				iis.Equal(req.Header.Get("Last-Event-Id"), "3")
				_, _ = io.WriteString(con, answer(req))
				return false
			}
			status, body, err := newRig(t, newReplica(t, hdl), newReplica(t, hdl)).send(t, "/stream/x")
			iis.Equal(status, 200)
			iis.True(err != nil) // The stream does not look complete.
			iis.True(strings.HasPrefix(events(1, 3)+": comment\n\n", body))
		})
	}
}

// TestStrayResponseInAStreamIsNotForwarded guards against the head of another response in the middle of a stream that
// has no length, so that what a faulty replica writes behind its events seems to be a part of it.
func TestStrayResponseInAStreamIsNotForwarded(t *testing.T) {
	iis := is.New(t)
	hdl := func(con net.Conn, req request) bool {
		if req.Header.Get("Last-Event-Id") == "3" {
			return stream(con, req, 4, 6, true)
		}
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n"+signedHeaders(req)+"Content-Type: text/event-stream\r\n\r\n"+
			events(1, 3)+refusalWithoutID+"{}")
		return false
	}
	status, body, err := newRig(t, newReplica(t, hdl), newReplica(t, hdl)).send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(body, events(1, 6))
}

// TestClientThatHasAllEventsGetsNone guards against an error for a client that resumes a stream of which it has all
// events.
func TestClientThatHasAllEventsGetsNone(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t, newReplica(t, func(con net.Conn, req request) bool {
		_, err := io.WriteString(con, eventStream(req, ""))
		return err == nil
	}))
	status, body, err := rig.sendWith(t, "/stream/x", "Last-Event-Id", "3")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(body, "")
	status, _, err = rig.send(t, "/stream/x") // A stream cannot be whole without events.
	iis.NoErr(err)
	iis.Equal(status, 502)
}
