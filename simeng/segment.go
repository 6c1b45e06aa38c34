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

// peerPath is the path on which a stand-in offers a held segment to another. How engines move KV between each other is
// not part of the protocol that the system assumes.
const peerPath = "/sim/segments/"

// limit restricts the sequence to a part of its prompt.
func (seq *sequence) limit(sco *engine.Scope, segment bool) error {
	if segment && (sco == nil || sco.To == 0) {
		return trace.BadParameter("simeng: a segment needs a range of tokens")
	}
	if sco == nil {
		return nil
	}
	end := seq.prompt
	if sco.To > 0 {
		end = min(end, sco.To)
	}
	if sco.From >= end {
		return trace.BadParameter("simeng: token %d is beyond the prompt", sco.From)
	}
	seq.from, seq.prompt, seq.peers = sco.From, end-sco.From, len(sco.Earlier)
	if segment {
		seq.segment, seq.output, seq.held = true, 0, make(chan struct{})
	}
	return nil
}

// isHeld tells whether the sequence is a segment that is prefilled.
func (seq *sequence) isHeld() bool {
	select {
	case <-seq.held:
		return true
	default:
		return false // A nil channel, of a sequence that is no segment, is never ready.
	}
}

func (seq *sequence) holdOnce() {
	if !seq.isHeld() {
		close(seq.held)
	}
}

func (seq *sequence) usage() *usage {
	prompt := seq.from + seq.prompt
	return &usage{prompt, seq.output, prompt + seq.output}
}

// addBeside adds a sequence to the batch after it has imported the earlier segments. It fails if one of them is not
// held, and crashes the sequence alone when one is lost later. The returned function ends the client's interest.
func (eng *Engine) addBeside(ctx context.Context, seq *sequence, sco *engine.Scope) (func(), error) {
	lim, cancel := context.WithCancel(ctx)
	var links []io.ReadCloser
	leave := func() {
		cancel()
		for _, lnk := range links {
			_ = lnk.Close()
		}
	}
	if sco != nil {
		for _, name := range sco.Earlier {
			lnk, err := openPeer(lim, name)
			if err != nil {
				leave()
				return nil, err
			}
			links = append(links, lnk)
		}
		if err := eng.clock.Sleep(lim, time.Duration(sco.From)*eng.model.TransferPerToken); err != nil {
			leave()
			return nil, fmt.Errorf("simeng: import segments: %w", err)
		}
	}
	if err := eng.add(seq); err != nil {
		leave()
		return nil, err
	}
	var wait sync.WaitGroup
	for _, lnk := range links {
		wait.Go(func() {
			_, _ = io.Copy(io.Discard, lnk)
			eng.lose(lim, seq)
		})
	}
	return func() {
		leave()
		wait.Wait()
		eng.leave(seq)
	}, nil
}

func openPeer(ctx context.Context, name string) (io.ReadCloser, error) {
	addr, id, found := strings.Cut(name, "/")
	if !found {
		return nil, trace.BadParameter("simeng: %q is not ADDRESS/ID", name)
	}
	//nolint:gosec // A stand-in trusts the agent that names its peers.
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+peerPath+id, nil)
	if err != nil {
		return nil, trace.BadParameter("simeng: %q is not ADDRESS/ID", name)
	}
	//nolint:bodyclose,gosec // The caller closes the returned body. A stand-in trusts the agent that names its peers.
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

// lose ends a sequence whose earlier segment is lost. Links that the sequence itself has closed are no loss.
func (eng *Engine) lose(lim context.Context, seq *sequence) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if lim.Err() == nil && eng.seqs[seq.id] == seq {
		seq.crashed = true
		eng.remove(seq)
	}
}

// servePeer answers for as long as the segment is held.
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

// holdSegment prefills a segment, says so once, and keeps the connection open until the segment is released. The
// segment outlives the connection.
func (eng *Engine) holdSegment(rw http.ResponseWriter, req *http.Request) {
	rcv, err := eng.receive(req, true)
	if err != nil {
		writeError(rw, err)
		return
	}
	defer rcv.end()
	rw.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(rw)
	_ = ctl.Flush()
	held := rcv.seq.held
	for {
		select {
		case <-held:
			held = nil
			_, _ = fmt.Fprintf(rw, "data: {\"held\": %d}\n\n", rcv.seq.prompt)
			_ = ctl.Flush()
		case <-rcv.seq.tokens:
			abortIfCrashed(rcv.seq)
			return
		case <-req.Context().Done():
			return
		}
	}
}
