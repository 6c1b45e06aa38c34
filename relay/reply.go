package relay

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/pool"
)

// forwardReply forwards a response that is not a stream, once it has been read to its end.
func (att *attempt) forwardReply() outcome {
	rpl, out := att.readReply()
	if out != nil {
		return *out
	}
	hdl := att.hdl
	if hdl.headSent { // Part of a stream has been sent, so another response cannot follow.
		return *failedReply(rpl)
	}
	if rpl.reply.Status >= http.StatusInternalServerError && hdl.rte.Retryable() {
		hdl.fallback = rpl
		return *failedReply(rpl)
	}
	att.overdue.cancel()
	return att.deliver(rpl)
}

// failedReply returns the outcome of an attempt with a complete response that is not sent to the client.
func failedReply(rpl *fullReply) *outcome {
	err := fmt.Errorf("relay: status %d", rpl.reply.Status)
	return &outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: err}
}

// readReply reads a response that is not a stream to its end. It returns the outcome of the attempt if that fails or
// the response must not be forwarded, and nil otherwise.
func (att *attempt) readReply() (*fullReply, *outcome) {
	res, rep := att.response, att.reply
	body, err := att.buffers.readAll(res.Body, maxReplyBytes)
	switch {
	case rep.NotExecuted:
		att.releaseConn(res, err)
		att.recordFaultyReplica()
		return nil, &outcome{reason: reasonNotRun}
	case err != nil:
		return nil, &outcome{
			mayHaveRun: true, reason: att.failureReason(err), err: fmt.Errorf("relay: read response: %w", err),
		}
	}
	att.releaseConn(res, nil)
	isProof, err := att.checkEnd(res)
	if err != nil {
		return nil, &outcome{mayHaveRun: true, reason: reasonStreamBroken, err: err}
	}
	if isProof {
		att.recordAnswer()
	}
	if defect := att.replyDefect(rep); defect != "" {
		return nil, &outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: errors.New(defect)}
	}
	att.recordPace()
	return &fullReply{reply: rep, body: body}, nil
}

// deliver sends a complete response to the client.
func (att *attempt) deliver(rpl *fullReply) outcome {
	hdl := att.hdl
	if hdl.mayOvertake() {
		hdl.relay.responseTimes.Record(hdl.hedgeKey(), hdl.opts.Clock.Since(att.placedAt))
	}
	hdl.sendReply(rpl)
	return outcome{final: true, status: rpl.reply.Status, mayHaveRun: true, reason: reasonDone}
}

// replyDefect returns why a response must not be forwarded, or an empty string if it may be.
func (att *attempt) replyDefect(rep call.Reply) string {
	switch {
	case rep.Status < http.StatusMultipleChoices && !rep.Signed:
		return "relay: success response without a replica signature"
	case rep.Encoded:
		return "relay: response body has a content encoding"
	case impliesNotRun(rep.Status):
		// The replica does not state that it did not run the call, so clients must not conclude that from the status.
		return fmt.Sprintf("relay: status %d without a statement that the call did not run", rep.Status)
	}
	return ""
}

// impliesNotRun tells whether clients conclude from a status that the call did not run and is safe to send again.
func impliesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// releaseConn returns the connection to the pool unless reading the response failed with err or the replica leaves.
func (att *attempt) releaseConn(res *http.Response, err error) {
	if err == nil && !att.placement.Primary.Replica.Leaving() {
		att.con.Release(res)
		att.connReleased = true
	}
}

// checkEnd checks a response that has been read to its end. If it ended with its connection, it may be the beginning of
// one whose replica has crashed, and checkEnd returns an error if nothing listens there any more. The response is proof
// that the call does not crash replicas, unless that could not be found out.
func (att *attempt) checkEnd(res *http.Response) (isProof bool, err error) {
	vie := &att.placement.Primary
	if !pool.EndsWithConnection(res) || vie.Replica.Leaving() { // One that leaves may end after its last answer.
		return true, nil
	}
	err = att.hdl.opts.Pool.Check(att.ctx, vie.ID, vie.Address)
	if errors.Is(err, pool.ErrReplicaEnded) {
		return false, fmt.Errorf("relay: check the end of the response: %w", err)
	}
	return err == nil, nil // Otherwise it is not known whether the replica lives.
}
