package simeng

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/engine"
)

const (
	bytesPerToken    = 4
	defaultMaxTokens = 16
	maxBodyBytes     = 64 << 20
)

// completionBody is the body of a completion or chat completion request.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	MaxOutput int             `json:"max_completion_tokens"` // replaces max_tokens in newer clients
	Stream    bool            `json:"stream"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// answer is the body of a response, or of one event of a stream.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// Handler serves the engine's protocol and the endpoints that inject faults.
func (eng *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(rw http.ResponseWriter, req *http.Request) {
		eng.complete(rw, req, false)
	})
	mux.HandleFunc("POST /v1/chat/completions", func(rw http.ResponseWriter, req *http.Request) {
		eng.complete(rw, req, true)
	})
	mux.HandleFunc("POST "+engine.PathSegments, eng.holdSegment)
	mux.HandleFunc("GET "+peerPath+"{id}", eng.servePeer)
	mux.HandleFunc("GET /v1/requests", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, map[string][]string{"requests": eng.activeIDs()})
	})
	mux.HandleFunc("DELETE /v1/requests/{id}", func(rw http.ResponseWriter, req *http.Request) {
		err := eng.cancel(req.PathValue("id"))
		if eng.consumeLostCancel() {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(rw, err)
		}
	})
	mux.HandleFunc("POST /v1/commands", eng.handleCommand)
	mux.HandleFunc("GET /v1/load", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, eng.load())
	})
	eng.handleFaults(mux)
	return mux
}

// complete serves a completion.
func (eng *Engine) complete(rw http.ResponseWriter, req *http.Request, chat bool) {
	rcv, err := eng.receive(req, false)
	if err != nil {
		writeError(rw, err)
		return
	}
	defer rcv.release()
	wri := writer{eng: eng, rw: rw, seq: rcv.seq, chat: chat, seed: xxhash.Sum64(bytes.TrimSpace(rcv.raw))}
	if rcv.stream {
		wri.writeStream(req)
	} else {
		wri.writeBuffered(req)
	}
}

// received is a request that has been added to the engine.
type received struct {
	seq     *sequence
	raw     []byte
	stream  bool
	release func() // must be called when the response has ended or the client has disconnected
}

// receive decodes a request and adds it to the engine, as a segment or as a completion.
func (eng *Engine) receive(req *http.Request, segment bool) (*received, error) {
	raw, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return nil, trace.BadParameter("simeng: body: %v", err)
	}
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, trace.BadParameter("simeng: body: %v", err)
	}
	if body.MaxOutput > 0 {
		body.MaxTokens = body.MaxOutput
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultMaxTokens
	}
	prompt := len(body.Prompt) + len(body.Messages)
	seq := &sequence{
		id:           req.Header.Get(engine.HeaderRequest),
		promptTokens: max(1, prompt/bytesPerToken),
		outputTokens: body.MaxTokens,
	}
	seq.priority, _ = strconv.ParseInt(req.Header.Get(engine.HeaderPriority), 10, 64)
	seq.decoded, _ = strconv.Atoi(req.Header.Get(engine.HeaderResume))
	if eng.crashesOn(raw) {
		eng.Crash()
		panic(http.ErrAbortHandler)
	}
	rng, err := engine.ParseSegmentRange(req.Header)
	if err == nil {
		err = seq.applyRange(rng, segment)
	}
	if err != nil {
		return nil, err
	}
	release, err := eng.addAfterImport(req.Context(), seq, rng)
	return &received{seq: seq, raw: raw, stream: body.Stream, release: release}, err
}

// writer writes the response to a completion.
type writer struct {
	eng  *Engine
	rw   http.ResponseWriter
	seq  *sequence
	chat bool
	seed uint64 // for the texts of the tokens
}

func (wri *writer) answer(object string, cho choice) answer {
	return answer{
		ID: "cmpl-" + wri.seq.id, Object: object, Created: wri.eng.clock.Now().Unix(), Model: wri.eng.model.Name,
		Choices: []choice{cho},
	}
}

// writeStream writes the tokens as server-sent events.
func (wri *writer) writeStream(req *http.Request) {
	wri.rw.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(wri.rw)
	for {
		select {
		case idx, open := <-wri.seq.tokens:
			if !open {
				abortIfCrashed(wri.seq)
				if !wri.seq.cancelled {
					_, _ = io.WriteString(wri.rw, "data: [DONE]\n\n")
				}
				return
			}
			wri.writeEvent(idx)
			_ = ctl.Flush()
		case <-req.Context().Done():
			return
		}
	}
}

// writeEvent writes the event of the token with the given index.
func (wri *writer) writeEvent(idx int) {
	text := tokenText(wri.seed, idx)
	var finish *string
	if idx == wri.seq.outputTokens-1 {
		stop := "length"
		finish = &stop
	}
	cho := choice{Text: &text, FinishReason: finish}
	object := "text_completion"
	if wri.chat {
		cho = choice{Delta: &message{Role: "assistant", Content: text}, FinishReason: finish}
		object = "chat.completion.chunk"
	}
	ans := wri.answer(object, cho)
	if finish != nil {
		ans.Usage = wri.seq.usage()
	}
	raw, _ := json.Marshal(ans) // These types cannot fail to marshal.
	_, _ = fmt.Fprintf(wri.rw, "data: %s\n\n", raw)
}

// writeBuffered collects all tokens and writes them as one response.
func (wri *writer) writeBuffered(req *http.Request) {
	var text strings.Builder
	for {
		select {
		case idx, open := <-wri.seq.tokens:
			if !open {
				abortIfCrashed(wri.seq)
				wri.writeCompletion(text.String())
				return
			}
			text.WriteString(tokenText(wri.seed, idx))
		case <-req.Context().Done():
			return
		}
	}
}

// writeCompletion writes the text as one JSON response, or an error if the request was cancelled.
func (wri *writer) writeCompletion(text string) {
	if wri.seq.cancelled {
		writeError(wri.rw, trace.ConnectionProblem(nil, "simeng: request was cancelled"))
		return
	}
	stop := "length"
	cho := choice{Text: &text, FinishReason: &stop}
	object := "text_completion"
	if wri.chat {
		cho = choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &stop}
		object = "chat.completion"
	}
	ans := wri.answer(object, cho)
	ans.Usage = wri.seq.usage()
	writeJSON(wri.rw, http.StatusOK, ans)
}

func writeJSON(rw http.ResponseWriter, status int, val any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(val)
}

func writeError(rw http.ResponseWriter, err error) {
	writeJSON(rw, trace.ErrorToCode(err), map[string]any{"error": map[string]string{"message": err.Error()}})
}
