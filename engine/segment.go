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

// PathSegments is the path of a request that prefills a segment of a prompt, and whose KV memory the engine keeps until
// the request is cancelled.
const PathSegments = "/v1/segments"

// Headers of a request that concerns a segment of a prompt.
const (
	HeaderSegment         = "X-Segment" // FROM-TO in prompt tokens, or FROM- for the rest of the prompt
	HeaderEarlierSegments = "X-Earlier" // ADDRESS/ID of each earlier segment, in order, separated by commas
)

// SegmentRange is the segment of a split prompt that one engine prefills. The request's body is the whole prompt,
// because only engines can split it at token boundaries.
type SegmentRange struct {
	From            int      // index of the first token
	To              int      // index after the last token; 0 for the rest of the prompt
	EarlierSegments []string // ADDRESS/ID of each earlier segment, in order
}

// SegmentRef returns the reference ADDRESS/ID by which other engines fetch a segment, as in
// SegmentRange.EarlierSegments.
func SegmentRef(addr, id string) string { return addr + "/" + id }

// setHeaders sets the headers that describe the range. It does nothing if the range is nil.
func (rng *SegmentRange) setHeaders(hdr http.Header) {
	if rng == nil {
		return
	}
	to := ""
	if rng.To > 0 {
		to = strconv.Itoa(rng.To)
	}
	hdr.Set(HeaderSegment, strconv.Itoa(rng.From)+"-"+to)
	if len(rng.EarlierSegments) > 0 {
		hdr.Set(HeaderEarlierSegments, strings.Join(rng.EarlierSegments, ","))
	}
}

// ParseSegmentRange parses the headers that describe a SegmentRange. It returns nil if there are none, and a
// trace.BadParameter error if the range of tokens is malformed.
func ParseSegmentRange(hdr http.Header) (*SegmentRange, error) {
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
	rng := &SegmentRange{From: from, To: to}
	if list := hdr.Get(HeaderEarlierSegments); list != "" {
		rng.EarlierSegments = strings.Split(list, ",")
	}
	return rng, nil
}

// Segment is a prefilled segment whose KV memory an engine keeps.
type Segment struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// PrefillSegment prefills a segment and returns when its KV memory is complete. The engine keeps the memory until
// Cancel, even if the connection ends. A trace.ConnectionProblem error means that the engine could not be reached or
// closed the connection.
func (cli *Client) PrefillSegment(ctx context.Context, rqs Request) (*Segment, error) {
	rqs.Path = PathSegments
	resp, err := cli.Complete(ctx, rqs) //nolint:bodyclose // Segment.Close closes it.
	if err != nil {
		return nil, err
	}
	seg := &Segment{body: resp.Body, reader: bufio.NewReader(resp.Body)}
	if resp.StatusCode != http.StatusOK {
		seg.Close()
		return nil, fmt.Errorf("engine: prefill segment: %w", trace.ReadError(resp.StatusCode, nil))
	}
	line, err := seg.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "data:") {
		seg.Close()
		return nil, fmt.Errorf("engine: prefill segment: %w",
			trace.ConnectionProblem(err, "the response ended before the segment was prefilled"))
	}
	return seg, nil
}

// Wait blocks until the engine has lost or released the segment, the connection has ended, or the context of
// PrefillSegment is done.
func (seg *Segment) Wait() { _, _ = io.Copy(io.Discard, seg.reader) }

// Close closes the connection. The engine keeps the segment until Cancel.
func (seg *Segment) Close() { _ = seg.body.Close() }
