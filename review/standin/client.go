package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Times of clients on the streaming route.
const (
	clientDeadline = 10 * time.Second
	// clientIdle is the gap without an event after which a client leaves: the longest of two seconds, four times the
	// objective and eight times the pause that the route allows.
	clientIdle    = 2 * time.Second
	clientRetries = 1
	bodyBytes     = 1200
)

// streamCall is a request of a client, with all its attempts.
type streamCall struct {
	name     string
	key      string
	prefix   string // parts of the prompt
	path     string // and query, after the prefix of the route
	deadly   bool
	sentAt   time.Time
	attempts int
	events   int
	begun    bool // the first attempt brought an event
	complete bool
	ending   string // of the last attempt
}

// clients sends streaming requests to fronts.
type clients struct {
	rec    *recorder
	fronts []*front
	host   string
	prefix string // of the route's paths
	tokens int
	kept   *http.Transport // for first attempts, which may use a kept connection
	fresh  *http.Transport // for retries, which use a new one
}

func newClients(rec *recorder, fronts []*front, host, prefix string, tokens int) *clients {
	return &clients{
		rec: rec, fronts: fronts, host: host, prefix: prefix, tokens: tokens,
		kept:  &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: clientDeadline, DisableCompression: true},
		fresh: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
}

// run sends a call until it is complete, its time is up, or its retries are used. The number chooses the front.
func (cls *clients) run(cal *streamCall, num int) {
	cal.sentAt = time.Now()
	for cal.attempts <= clientRetries && !cal.complete && time.Since(cal.sentAt) < clientDeadline {
		transport := cls.kept
		if cal.attempts > 0 {
			transport = cls.fresh
		}
		frt := cls.fronts[(num+cal.attempts)%len(cls.fronts)]
		cal.attempts++
		wait := cls.attempt(cal, frt, transport)
		cls.rec.add("answer request=%s-%d front=%s events=%d ending=%q", cal.name, cal.attempts, frt.name, cal.events,
			cal.ending)
		time.Sleep(wait)
	}
}

// attempt sends the call once. It returns how long the answer asks the client to wait before it comes again.
func (cls *clients) attempt(cal *streamCall, frt *front, transport *http.Transport) time.Duration {
	left := clientDeadline - time.Since(cal.sentAt)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	body := strings.NewReader(strings.Repeat(cal.prefix+"\n", 1+bodyBytes/len(cal.prefix))) // No two calls are alike.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+frt.address+cls.prefix+cal.path, body)
	if err != nil {
		cal.ending = err.Error()
		return 0
	}
	req.Host = cls.host
	id := fmt.Sprintf("%s-%d", cal.name, cal.attempts)
	for name, value := range map[string]string{
		"Tarragonwheel-Request-Id": id, "Tarragonwheel-Model": "m", "Api-Key": cal.key,
		"Tarragonwheel-Token-Usage":         fmt.Sprintf("%d,%d", cls.tokens, eventsPerStream*tokensPerEvent),
		"Tarragonwheel-Prompt-Prefix":       cal.prefix,
		"Tarragonwheel-Request-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10),
	} {
		req.Header.Set(name, value)
	}
	if cal.events > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(cal.events))
	}
	cls.rec.add("send request=%s front=%s deadly=%t path=%s prefix=%s", id, frt.name, cal.deadly, cal.path,
		cal.prefix)
	res, err := transport.RoundTrip(req)
	if err != nil {
		cal.ending = err.Error()
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		cal.ending = fmt.Sprintf("status %d %s", res.StatusCode, text)
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		wait := time.Duration(seconds * float64(time.Second))
		return min(wait, (clientDeadline-time.Since(cal.sentAt))/3)
	}
	cls.readEvents(cal, res, cancel)
	return 0
}

// readEvents reads the events of a stream until it ends, or until none has come for too long.
func (cls *clients) readEvents(cal *streamCall, res *http.Response, cancel context.CancelFunc) {
	idle := time.AfterFunc(clientIdle, cancel)
	defer idle.Stop()
	reader := bufio.NewReader(res.Body)
	for {
		line, err := reader.ReadString('\n')
		if num, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			idle.Reset(clientIdle)
			cal.events, _ = strconv.Atoi(strings.TrimSpace(num))
			cal.begun = cal.begun || cal.attempts == 1
		}
		switch {
		case errors.Is(err, io.EOF) && cal.events == eventsPerStream:
			cal.complete, cal.ending = true, "whole"
			return
		case err != nil:
			cal.ending = "cut: " + err.Error()
			return
		}
	}
}
