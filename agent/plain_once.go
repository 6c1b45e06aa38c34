package agent

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/plain"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// ReasonBodyTooLarge refuses a non-idempotent call whose body is longer than once.max-body.
const ReasonBodyTooLarge = "body-too-large"

// ReasonSlotsDiffer refuses a call of an entry whose setting once.slots differs from the agent's. Agents with different
// numbers of slots record the same key in different streams, so the call could run twice.
const ReasonSlotsDiffer = "slots-differ"

// lostAnswer replaces an answer that is no longer kept, in the format of the entry's errors.
var lostAnswer = once.Answer{
	Status:      http.StatusBadGateway,
	ContentType: "application/json",
	Body: []byte(`{"error":{"message":"the call ran and was answered; the answer is no longer kept",` +
		`"type":"server_error","code":"` + once.ReasonAnswerLost + `","not_run":false}}`),
}

// maxKeptAnswerBytes is the longest answer body, in bytes, that is kept for retries of a call.
const maxKeptAnswerBytes = 1 << 20

// startOnce starts the recorder of non-idempotent calls, unless there is no log.
func (agt *Agent) startOnce(grp *group.Group, set *config.Settings) {
	agt.maxOnceBodyBytes = int64(config.OnceMaxBody.Of(set))
	addr := config.PlatformLog.Of(set)
	if addr == "" {
		return
	}
	cli := logsvc.New(addr)
	agt.once = once.New(grp, once.Options{
		Service:      config.AgentServes.Of(set),
		Slots:        config.OnceSlots.Of(set),
		AppendRate:   config.OnceAppendRate.Of(set),
		RecordLimit:  config.OnceRecordLimit.Of(set),
		Window:       config.OnceWindow.Of(set),
		AnswerMemory: config.OnceAnswerMemory.Of(set),
		Clock:        agt.clock,
		Metrics:      agt.metrics,
		Log:          agt.log,
		Append:       cli.Append,
		Read:         cli.Read,
	})
}

// runOnce runs a non-idempotent call with a key at most once. It reads the whole body first, because the record
// contains the body's hash.
func (agt *Agent) runOnce(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	if agt.once == nil {
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: once.ReasonLogUnavailable, Detail: "platform.log is not set",
		}
	}
	if msg.OnceSlots != 0 && msg.OnceSlots != agt.once.Slots() {
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: ReasonSlotsDiffer,
			Detail: fmt.Sprintf("once.slots is %d at the entry and %d at the agent", msg.OnceSlots, agt.once.Slots()),
		}
	}
	deadline := agt.clock.Now().Add(msg.Remaining)
	body, err := io.ReadAll(io.LimitReader(str.Body(ctx), agt.maxOnceBodyBytes+1))
	if err != nil {
		res := agt.plainFailureResult(ctx, msg, false, err)
		return res
	}
	if int64(len(body)) > agt.maxOnceBodyBytes {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonBodyTooLarge}
	}
	rqs := once.Request{
		Key:      once.NewKey(msg.Account, msg.IdempotencyKey),
		Hash:     once.NewRequestHash(msg.Method, msg.Path, body),
		Deadline: deadline,
	}
	res := agt.once.Do(ctx, rqs, func(ctx context.Context, gate func() error) (once.Answer, bool, error) {
		return agt.callOnce(ctx, gate, str, msg, body)
	})
	out := proto.Result{Outcome: res.Outcome, Reason: res.Reason, Detail: res.Detail, RetryAfter: res.RetryAfter}
	if res.Outcome == proto.OutcomeDone && !res.Ran {
		return replayAnswer(str, cmp.Or(res.Answer, &lostAnswer), out)
	}
	return out
}

// callOnce calls the service, and forwards the answer to the entry as it arrives. It reads the answer to its end even
// if the connection to the entry is lost, so that the answer can be recorded.
func (agt *Agent) callOnce(
	ctx context.Context, gate func() error, str *link.Stream, msg proto.Open, body []byte,
) (once.Answer, bool, error) {
	resp, contacted, err := agt.plain.Do(ctx, plain.Request{
		Method: msg.Method, Path: msg.Path, Header: msg.Header, Length: int64(len(body)),
		Body: bytes.NewReader(body), Gate: gate,
	})
	if err != nil {
		return once.Answer{}, contacted, err
	}
	defer func() { _ = resp.Body.Close() }()
	ans := once.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	entryLost := str.Send(proto.KindHead, plainHead(resp)) != nil
	buf := make([]byte, copyBufferBytes)
	for {
		num, err := resp.Body.Read(buf)
		if num > 0 && !entryLost {
			_, werr := str.Write(buf[:num])
			entryLost = werr != nil
		}
		keepPart(&ans, buf[:num])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return once.Answer{}, true, err
		}
	}
	if !entryLost {
		_ = str.CloseWrite()
	}
	return ans, true, nil
}

// keepPart appends a part to the kept answer, or drops the answer if it becomes longer than maxKeptAnswerBytes.
func keepPart(ans *once.Answer, part []byte) {
	if ans.Lost || len(ans.Body)+len(part) > maxKeptAnswerBytes {
		ans.Lost, ans.Body = true, nil
		return
	}
	ans.Body = append(ans.Body, part...)
}

// replayAnswer sends the recorded answer of an earlier call with the same key.
func replayAnswer(str *link.Stream, ans *once.Answer, res proto.Result) proto.Result {
	hed := proto.Head{Status: ans.Status, Header: map[string]string{"Content-Type": ans.ContentType}, Replay: true}
	if err := str.Send(proto.KindHead, hed); err != nil {
		return proto.Result{Outcome: proto.OutcomeUnknown, Reason: ReasonCancelled}
	}
	if _, err := str.Write(ans.Body); err != nil {
		return proto.Result{Outcome: proto.OutcomeUnknown, Reason: ReasonCancelled}
	}
	_ = str.CloseWrite()
	return res
}
