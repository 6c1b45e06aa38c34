package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// PathSegments is the path of a request that prefills a part of a prompt and holds its KV memory until it is cancelled.
const PathSegments = "/v1/segments"

// Headers of a request that concerns a part of a prompt.
const (
	HeaderSegment = "X-Segment" // FROM-TO in prompt tokens, or FROM- for the rest of the prompt
	HeaderEarlier = "X-Earlier" // ADDRESS/ID of each earlier segment, in order, separated by commas
)

// Scope is the part of a prompt that one engine prefills. The body of the request is the whole prompt, because only
// engines can cut it at a token.
type Scope struct {
	From    int      // first token
	To      int      // token after the last one; 0 for the rest of the prompt
	Earlier []string // ADDRESS/ID of each earlier segment, in order
}

// Name returns how another engine refers to a segment.
func Name(addr, id string) string { return addr + "/" + id }

func (sco *Scope) set(hdr http.Header) {
	if sco == nil {
		return
	}
	to := ""
	if sco.To > 0 {
		to = strconv.Itoa(sco.To)
	}
	hdr.Set(HeaderSegment, strconv.Itoa(sco.From)+"-"+to)
	if len(sco.Earlier) > 0 {
		hdr.Set(HeaderEarlier, strings.Join(sco.Earlier, ","))
	}
}

// ReadScope reads the headers that describe a Scope. It returns nil if there are none.
func ReadScope(hdr http.Header) (*Scope, error) {
	text := hdr.Get(HeaderSegment)
	if text == "" {
		return nil, nil
	}
	first, last, found := strings.Cut(text, "-")
	from, err := strconv.Atoi(first)
	to := 0
	if err == nil && last != "" {
		to, err = strconv.Atoi(last)
	}
	if err != nil || !found || from < 0 || (last != "" && to <= from) {
		return nil, trace.BadParameter("engine: %q is not a range of tokens", text)
	}
	sco := &Scope{From: from, To: to}
	if list := hdr.Get(HeaderEarlier); list != "" {
		sco.Earlier = strings.Split(list, ",")
	}
	return sco, nil
}

// Held is a segment that an engine holds.
type Held struct {
	body io.ReadCloser
	in   *bufio.Reader
}

// Hold prefills a segment and returns once the engine holds it. The engine keeps it until Cancel, whatever becomes of
// the connection. A trace.ConnectionProblem error means that the engine could not be reached or broke the connection.
func (cli *Client) Hold(ctx context.Context, rqs Request) (*Held, error) {
	rqs.Path = PathSegments
	resp, err := cli.Complete(ctx, rqs) //nolint:bodyclose // Held.Close closes it.
	if err != nil {
		return nil, err
	}
	hel := &Held{body: resp.Body, in: bufio.NewReader(resp.Body)}
	if resp.StatusCode != http.StatusOK {
		hel.Close()
		return nil, fmt.Errorf("engine: hold segment: %w", trace.ReadError(resp.StatusCode, nil))
	}
	line, err := hel.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "data:") {
		hel.Close()
		return nil, fmt.Errorf("engine: hold segment: %w", trace.ConnectionProblem(err, "ended before it was held"))
	}
	return hel, nil
}

// Wait returns when the engine has lost or released the segment, or the connection or its context has ended.
func (hel *Held) Wait() { _, _ = io.Copy(io.Discard, hel.in) }

// Close ends the connection. The engine still holds the segment.
func (hel *Held) Close() { _ = hel.body.Close() }
