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

// ReasonBodyTooLarge says that a non-idempotent call is longer than once.max-body.
const ReasonBodyTooLarge = "body-too-large"

// ReasonSlotsDiffer refuses a call of an entry whose once.slots is another. Agents with different numbers record the
// same key in different streams, so that it could run twice.
const ReasonSlotsDiffer = "slots-differ"

// lostAnswer is sent in place of an answer that is no longer kept. Its shape is that of the entry's errors.
var lostAnswer = once.Answer{
	Status:      http.StatusBadGateway,
	ContentType: "application/json",
	Body: []byte(`{"error":{"message":"the call ran and was answered; the answer is no longer kept",` +
		`"type":"server_error","code":"` + once.ReasonAnswerLost + `","not_run":false}}`),
}

// maxKeptAnswer is the longest answer body, in bytes, that is kept for repeats of a call.
const maxKeptAnswer = 1 << 20

func (agt *Agent) startOnce(grp *group.Group, set *config.Settings) {
	agt.maxOnce = int64(config.OnceMaxBody.Of(set))
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

// runOnce runs a non-idempotent call at most once. It holds the body, whose hash is part of the record.
func (agt *Agent) runOnce(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	if agt.once == nil {
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: once.ReasonLogUnavailable, Detail: "platform.log is not set",
		}
	}
	if msg.Slots != 0 && msg.Slots != agt.once.Slots() {
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: ReasonSlotsDiffer,
			Detail: fmt.Sprintf("once.slots is %d at the entry and %d at the agent", msg.Slots, agt.once.Slots()),
		}
	}
	deadline := agt.clock.Now().Add(msg.Remaining)
	body, err := io.ReadAll(io.LimitReader(str.Body(ctx), agt.maxOnce+1))
	if err != nil {
		res := agt.plainFailure(ctx, msg, false, err)
		return res
	}
	if int64(len(body)) > agt.maxOnce {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonBodyTooLarge}
	}
	rqs := once.Request{
		Key:      once.NewKey(msg.Account, msg.Key),
		Hash:     once.NewRequestHash(msg.Method, msg.Path, body),
		Deadline: deadline,
	}
	res := agt.once.Do(ctx, rqs, func(ctx context.Context, gate func() error) (once.Answer, bool, error) {
		return agt.callOnce(ctx, gate, str, msg, body)
	})
	out := proto.Result{Outcome: res.Outcome, Reason: res.Reason, Detail: res.Detail, RetryAfter: res.RetryAfter}
	if res.Outcome == proto.OutcomeDone && !res.Ran {
		return sendAnswer(str, cmp.Or(res.Answer, &lostAnswer), out)
	}
	return out
}

// callOnce calls the service, passes the answer on as it arrives and keeps it. The answer is read to its end even when
// the entry has gone, so that it can be recorded.
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
	gone := str.Send(proto.KindHead, plainHead(resp)) != nil
	buf := make([]byte, copyBytes)
	for {
		num, err := resp.Body.Read(buf)
		if num > 0 && !gone {
			_, werr := str.Write(buf[:num])
			gone = werr != nil
		}
		keep(&ans, buf[:num])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return once.Answer{}, true, err
		}
	}
	if !gone {
		_ = str.CloseWrite()
	}
	return ans, true, nil
}

func keep(ans *once.Answer, part []byte) {
	if ans.Lost || len(ans.Body)+len(part) > maxKeptAnswer {
		ans.Lost, ans.Body = true, nil
		return
	}
	ans.Body = append(ans.Body, part...)
}

// sendAnswer sends the answer of an earlier sending of the same key.
func sendAnswer(str *link.Stream, ans *once.Answer, res proto.Result) proto.Result {
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
