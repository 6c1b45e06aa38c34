package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxCrashes is the number of crashes after which a part of prompts must be refused everywhere: the rule counts calls
// with it from the fifth crash on.
const maxCrashes = 5

// crashPause is the time between calls of which the replicas crash far into their answers. Such crashes at the same
// moment count once.
const crashPause = 300 * time.Millisecond

// streamHead returns the head of a response that is a stream, with the given framing header.
func streamHead(req request, framing string) string {
	return "HTTP/1.1 200 OK\r\n" + signedHeaders(req) + "Content-Type: text/event-stream\r\n" + framing + "\r\n\r\n"
}

// crashPoint is a point of an answer at which a replica crashes.
type crashPoint struct {
	name   string
	events int           // that the replica sends before
	rest   string        // that follows them
	pause  time.Duration // between calls
}

func crashPoints() []crashPoint {
	return []crashPoint{
		{name: "after the head"},
		{name: "within the first event", rest: "id: 1\nda"},
		{name: "after the first event", events: 1},
		{name: "within the second event", events: 1, rest: "id"},
		{name: "after the second event", events: 2, pause: crashPause},
		{name: "after many events", events: 20, pause: crashPause},
	}
}

// write sends what comes before the crash. A call that is resumed gets the events that its client does not have.
func (pnt *crashPoint) write(con net.Conn, req request, frm framing) {
	last := lastEventID(req)
	_, _ = io.WriteString(con, streamHead(req, frm.header)+frm.encode(events(last+1, last+pnt.events)+pnt.rest))
}

// lastEventID returns the ID of the last event that the client has; 0 for none.
func lastEventID(req request) int {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // None is 0.
	return last
}

// framing is how the end of a body is found.
type framing struct {
	name   string
	header string
	encode func(body string) string
}

func framings() []framing {
	return []framing{
		{name: "chunks", header: "Transfer-Encoding: chunked", encode: asChunks},
		{name: "length", header: "Content-Length: 100000", encode: func(body string) string { return body }},
	}
}

// eightReplicas starts replicas with the given function.
func eightReplicas(t *testing.T, start func(t *testing.T, hdl handler) *replica, hdl handler) (list []*replica) {
	t.Helper()
	for range 8 {
		list = append(list, start(t, hdl))
	}
	return list
}

func asChunks(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// TestPartThatCrashesReplicasAtAnyPointIsRefused guards against a part of prompts that crashes replicas without end
// because a point of the answer, such as the first event of a stream, is taken for proof that the replica lives. Sound
// calls that share their other parts must be served.
func TestPartThatCrashesReplicasAtAnyPointIsRefused(t *testing.T) {
	for _, frm := range framings() {
		for _, pnt := range crashPoints() {
			t.Run(frm.name+"/"+pnt.name, func(t *testing.T) {
				t.Parallel()
				checkCrashPoint(t, "5a:40,", pnt.pause, func(con net.Conn, req request) { pnt.write(con, req, frm) })
			})
		}
	}
}

// TestPartThatCrashesReplicasWithinTheHeadIsRefused guards against the same where the replica crashes within the head
// of its answer, such as in the name of a header, which can be taken for bytes of a replica that lives.
func TestPartThatCrashesReplicasWithinTheHeadIsRefused(t *testing.T) {
	for size := range len(streamHead(request{Request: &http.Request{}}, "Transfer-Encoding: chunked")) {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			checkCrashPoint(t, "5a:40,", 0, func(con net.Conn, req request) {
				_, _ = io.WriteString(con, streamHead(req, "Transfer-Encoding: chunked")[:size])
			})
		})
	}
}

// TestPartThatCrashesReplicasBehindManyOthersIsRefused guards against a part of prompts that is no suspect because it
// stands behind many others.
func TestPartThatCrashesReplicasBehindManyOthersIsRefused(t *testing.T) {
	for _, num := range []int{15, 16, 17, 64, 500} {
		t.Run(strconv.Itoa(num), func(t *testing.T) {
			t.Parallel()
			var shared strings.Builder
			for part := range num {
				fmt.Fprintf(&shared, "%x:1,", 0x100+part)
			}
			checkCrashPoint(t, shared.String(), 0, func(net.Conn, request) {})
		})
	}
}

// TestStreamWithoutEventsIsNoProof guards against a part that crashes replicas without end because clients that have
// all events of such a stream, but not its end, resume it and get an empty one.
func TestStreamWithoutEventsIsNoProof(t *testing.T) {
	iis := is.New(t)
	var crashes atomic.Int64
	answer := func(con net.Conn, req request) bool {
		if req.Header.Get("Last-Event-Id") != "" {
			return stream(con, req, 1, 0, true)
		}
		crashes.Add(1)
		return false
	}
	rig := newRig(t, eightReplicas(t, newMortalReplica, answer)...)
	for num := range 9 {
		rig.sendPromptUntilEnd(t, fmt.Sprintf("5a:40,dead:60,%x:900", 1000+num))
		req := rig.promptRequest(t, fmt.Sprintf("5a:40,dead:60,%x:900", 2000+num))
		req.Header.Set("Last-Event-Id", "9")
		roundTrip(t, req)
	}
	iis.True(crashes.Load() <= maxCrashes)
}

// checkCrashPoint sends calls with a part that crashes replicas at a point of their answers, and sound ones that share
// the parts before it. The function sends what comes before that point.
func checkCrashPoint(t *testing.T, shared string, pause time.Duration, begin func(con net.Conn, req request)) {
	t.Helper()
	iis := is.New(t)
	var crashes atomic.Int64
	answer := func(con net.Conn, req request) bool {
		if !strings.Contains(req.Header.Get("Tarragonwheel-Prompt-Prefix"), "dead:") {
			return stream(con, req, 1, 3, true)
		}
		crashes.Add(1)
		begin(con, req)
		return false
	}
	rig := newRig(t, eightReplicas(t, newMortalReplica, answer)...)
	for num := range 9 {
		rig.sendPromptUntilEnd(t, fmt.Sprintf("%sdead:60,%x:900", shared, 1000+num))
		time.Sleep(pause)
		iis.Equal(rig.sendPrompt(t, fmt.Sprintf("%s7e:60,%x:900", shared, 2000+num)), http.StatusOK)
	}
	iis.True(crashes.Load() <= maxCrashes)
	iis.Equal(rig.sendPrompt(t, shared+"3000:900"), http.StatusOK)
}
