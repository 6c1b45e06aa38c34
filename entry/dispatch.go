package entry

import (
	"context"
	"errors"
	"fmt"

	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Reason codes of results.
const (
	ReasonNoUpstream = "no-upstream"
	ReasonTimeout    = "deadline-exceeded"
	ReasonAgentLost  = "agent-lost"
)

func (ent *Entry) dispatch(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	if res, no := ent.config.forbidden(cal.Kind, cal.Account, cal.Serves); no {
		return res
	}
	con := ent.pick(cal)
	if con == nil {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonNoUpstream, Detail: "no upstream serves this"}
	}
	return ent.attempt(ctx, con, cal, rep)
}

func (ent *Entry) pick(cal edge.Call) *link.Conn {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	for _, con := range ent.conns {
		if con.Peer().Kind == cal.Kind && con.Peer().Serves == cal.Serves &&
			!ent.config.store.Drained(con.Peer().Name) {
			return con
		}
	}
	return nil
}

func (ent *Entry) attempt(ctx context.Context, con *link.Conn, cal edge.Call, rep edge.Reply) proto.Result {
	str, err := con.Open(proto.Open{
		Attempt:    proto.NewAttemptID(),
		Kind:       cal.Kind,
		Account:    cal.Account,
		Serves:     cal.Serves,
		Cost:       cal.Cost,
		Remaining:  cal.Deadline.Sub(ent.clock.Now()),
		Key:        cal.Key,
		Idempotent: cal.Idempotent,
		Method:     cal.Method,
		Path:       cal.Path,
		BodyBytes:  int64(len(cal.Body)),
		Stream:     cal.Stream,
	})
	if err != nil {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAgentLost, Detail: err.Error()}
	}
	defer str.Close()
	res, err := ent.follow(ctx, str, cal, rep)
	if err == nil {
		return res
	}
	_ = str.Send(proto.KindCancel, proto.Cancel{Reason: "given-up"})
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return proto.Result{Outcome: proto.OutcomeUnknown, Reason: ReasonTimeout, Detail: "the time limit ran out"}
	}
	return proto.Result{Outcome: proto.OutcomeUnknown, Reason: ReasonAgentLost, Detail: err.Error()}
}

// follow relays an attempt until its result.
func (ent *Entry) follow(
	ctx context.Context, str *link.Stream, cal edge.Call, rep edge.Reply,
) (proto.Result, error) {
	for {
		frm, err := str.Next(ctx)
		if err != nil {
			return proto.Result{}, fmt.Errorf("entry: follow attempt: %w", err)
		}
		switch frm.Kind {
		case proto.KindAccept:
			go func() {
				if _, err := str.Write(cal.Body); err == nil {
					_ = str.CloseWrite()
				}
			}()
		case proto.KindHead:
			hed, err := proto.Parse[proto.Head](frm)
			if err != nil {
				return proto.Result{}, fmt.Errorf("entry: follow attempt: %w", err)
			}
			if err := rep.Head(hed); err != nil {
				return proto.Result{}, fmt.Errorf("entry: relay head: %w", err)
			}
		case proto.KindData:
			body, err := str.Data(frm)
			if err != nil {
				return proto.Result{}, fmt.Errorf("entry: follow attempt: %w", err)
			}
			if err := rep.Write(body); err != nil {
				return proto.Result{}, fmt.Errorf("entry: relay body: %w", err)
			}
		case proto.KindResult:
			return proto.Parse[proto.Result](frm)
		}
	}
}
