package simeng

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/engine"
)

// peerPath is the path at which a simulated engine serves a held segment to another one. How real engines transfer KV
// data between each other is not part of the protocol that the system assumes.
const peerPath = "/sim/segments/"

// applyRange restricts the sequence to the given part of its prompt. A nil range is the whole prompt.
func (seq *sequence) applyRange(rng *engine.SegmentRange, segment bool) error {
	if segment && (rng == nil || rng.To == 0) {
		return trace.BadParameter("simeng: a segment needs a range of tokens")
	}
	if rng == nil {
		return nil
	}
	end := seq.promptTokens
	if rng.To > 0 {
		end = min(end, rng.To)
	}
	if rng.From >= end {
		return trace.BadParameter("simeng: token %d is beyond the prompt", rng.From)
	}
	seq.peerTokens, seq.promptTokens, seq.peers = rng.From, end-rng.From, len(rng.EarlierSegments)
	if segment {
		seq.segment, seq.outputTokens, seq.held = true, 0, make(chan struct{})
	}
	return nil
}

// isHeld reports whether the sequence is a segment whose prefill has ended.
func (seq *sequence) isHeld() bool {
	select {
	case <-seq.held:
		return true
	default:
		return false // Sequences that are not segments have a nil channel, which is never ready.
	}
}

// markHeld marks a segment as prefilled, once.
func (seq *sequence) markHeld() {
	if !seq.isHeld() {
		close(seq.held)
	}
}

// usage returns the token counts of the whole prompt, including segments at other engines, and of the output.
func (seq *sequence) usage() *usage {
	prompt := seq.peerTokens + seq.promptTokens
	return &usage{prompt, seq.outputTokens, prompt + seq.outputTokens}
}

// addAfterImport imports the earlier segments and then adds the sequence to the engine. It fails if one of the segments
// is not held. If one is lost later, only this sequence crashes. The returned function must be called when the client
// has been served or has disconnected.
func (eng *Engine) addAfterImport(ctx context.Context, seq *sequence, rng *engine.SegmentRange) (func(), error) {
	lim, cancel := context.WithCancel(ctx)
	var links []io.ReadCloser
	closeLinks := func() { // Links are the open connections to earlier segments.
		cancel()
		for _, lnk := range links {
			_ = lnk.Close()
		}
	}
	if rng != nil {
		for _, name := range rng.EarlierSegments {
			lnk, err := openPeer(lim, name)
			if err != nil {
				closeLinks()
				return nil, err
			}
			links = append(links, lnk)
		}
		if err := eng.clock.Sleep(lim, time.Duration(rng.From)*eng.model.TransferPerToken); err != nil {
			closeLinks()
			return nil, fmt.Errorf("simeng: import segments: %w", err)
		}
	}
	if err := eng.add(seq); err != nil {
		closeLinks()
		return nil, err
	}
	var wait sync.WaitGroup
	for _, lnk := range links {
		wait.Go(func() {
			_, _ = io.Copy(io.Discard, lnk)
			eng.crashOnPeerLoss(lim, seq)
		})
	}
	return func() {
		closeLinks()
		wait.Wait()
		eng.markAbandoned(seq)
	}, nil
}

// openPeer connects to a segment at another engine. The name has the form ADDRESS/ID. The response ends when the
// segment is released or lost.
func openPeer(ctx context.Context, name string) (io.ReadCloser, error) {
	addr, id, found := strings.Cut(name, "/")
	if !found {
		return nil, trace.BadParameter("simeng: %q is not ADDRESS/ID", name)
	}
	//nolint:gosec // The simulated engine trusts the agent that names its peers.
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+peerPath+id, nil)
	if err != nil {
		return nil, trace.BadParameter("simeng: %q is not ADDRESS/ID", name)
	}
	//nolint:bodyclose,gosec // The caller closes the returned body. The address comes from the agent, which is trusted.
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "simeng: segment %s: %v", name, err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, trace.ConnectionProblem(nil, "simeng: segment %s is not held", name)
	}
	return resp.Body, nil
}

// crashOnPeerLoss aborts a sequence that has lost a connection to an earlier segment. It does nothing if lim has ended,
// because the sequence then closed the connections itself.
func (eng *Engine) crashOnPeerLoss(lim context.Context, seq *sequence) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if lim.Err() == nil && eng.seqs[seq.id] == seq {
		seq.crashed = true
		eng.remove(seq)
	}
}

// servePeer keeps the response open until the segment is released, so that its end shows the loss of the segment.
func (eng *Engine) servePeer(rw http.ResponseWriter, req *http.Request) {
	eng.mu.Lock()
	seq := eng.seqs[req.PathValue("id")]
	eng.mu.Unlock()
	if seq == nil || !seq.isHeld() {
		writeError(rw, trace.NotFound("simeng: no segment %s", req.PathValue("id")))
		return
	}
	_ = http.NewResponseController(rw).Flush()
	select {
	case <-seq.tokens:
	case <-req.Context().Done():
	}
}

// holdSegment prefills a segment, sends one event when it is held, and keeps the connection open until the segment is
// released. The segment stays in memory if the connection ends first.
func (eng *Engine) holdSegment(rw http.ResponseWriter, req *http.Request) {
	rcv, err := eng.receive(req, true)
	if err != nil {
		writeError(rw, err)
		return
	}
	defer rcv.release()
	rw.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(rw)
	_ = ctl.Flush()
	held := rcv.seq.held
	for {
		select {
		case <-held:
			held = nil
			_, _ = fmt.Fprintf(rw, "data: {\"held\": %d}\n\n", rcv.seq.promptTokens)
			_ = ctl.Flush()
		case <-rcv.seq.tokens:
			abortIfCrashed(rcv.seq)
			return
		case <-req.Context().Done():
			return
		}
	}
}
