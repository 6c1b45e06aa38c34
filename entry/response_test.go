package entry_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/sashabaranov/go-openai"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Guards against a stream that cannot be resumed but looks complete to the caller, and against an incomplete event that
// is sent to the caller.
func TestStreamThatCannotResumeEndsWithError(t *testing.T) {
	is := is.New(t)
	agt := fakeAgent(t, proto.UpstreamEngine, func(str *link.Stream, msg proto.Open) {
		if msg.ResumeFrom > 0 {
			_ = str.Send(proto.KindResult, proto.Result{Outcome: proto.OutcomeNotRun, Reason: "prompt-too-long"})
			return
		}
		_ = str.Send(proto.KindAccept, proto.Accept{})
		hdr := map[string]string{"Content-Type": "text/event-stream"}
		_ = str.Send(proto.KindHead, proto.Head{Status: 200, Header: hdr})
		_, _ = str.Write([]byte("data: {\"choices\":[{\"text\":\"one\"}]}\n\ndata: {\"choi"))
		_ = str.Send(proto.KindResult, proto.Result{Outcome: proto.OutcomeFailed, Reason: "engine-failed"})
	})
	_, base := startServing(t, "", agt)
	str, err := openAIClient(base).CreateCompletionStream(context.Background(), openai.CompletionRequest{
		Model: "m", Prompt: "hello", Stream: true,
	})
	is.NoErr(err)
	got, err := readStream(str, func(int) {})
	is.Equal(got, "one")
	is.True(err != nil) // The stream does not end normally, and contains no incomplete event.
}

// Guards against an error response of an upstream that is cut off although its body is complete.
func TestErrorResponseIsRelayedWhole(t *testing.T) {
	is := is.New(t)
	agt := fakeAgent(t, proto.UpstreamPlain, func(str *link.Stream, _ proto.Open) {
		_ = str.Send(proto.KindAccept, proto.Accept{})
		_ = str.Send(proto.KindHead, proto.Head{Status: 404})
		_, _ = str.Write([]byte("no such hold"))
		_ = str.CloseWrite()
		_ = str.Send(proto.KindResult, proto.Result{Outcome: proto.OutcomeDone})
	})
	_, base := startServing(t, "", agt)
	status, text := call(t, "GET", base+"/v1/services/m/holds/1", "", nil)
	is.Equal(status, 404)
	is.Equal(text, "no such hold")
}
