package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Headers of a call.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderTimeLimit = "X-Time-Limit" // a duration such as 30s
)

const (
	// PrefixBlock is the length in bytes of the prompt blocks that are hashed to find cached prefixes.
	PrefixBlock = 4096

	defaultMaxTokens = 16
	minTimeLimit     = 10 * time.Millisecond
	maxKeyBytes      = 255
	maxPrefixBlocks  = 256 // bounds the open message; a longer common prefix differs little in cost
	readAheadBytes   = 64 << 10
	randomKeyBytes   = 16
)

// servicePrefix precedes the service's name in the path of a call to a plain service.
const servicePrefix = "/v1/services/"

// admit checks what all calls have in common: key, time limit and idempotency key.
func (srv *Server) admit(req *http.Request) (Call, *refusal) {
	account, ok := srv.account(req.Header.Get("Authorization"))
	if !ok {
		return Call{}, badRequest(http.StatusUnauthorized, CodeUnknownKey, "unknown bearer key")
	}
	limit, ref := srv.timeLimit(req.Header)
	if ref != nil {
		return Call{}, ref
	}
	key, ref := idempotencyKey(req.Header)
	if ref != nil {
		return Call{}, ref
	}
	if enc := req.Header.Get("Content-Encoding"); enc != "" && enc != "identity" {
		return Call{}, badRequest(http.StatusUnsupportedMediaType, CodeBadEncoding, "send the body unencoded")
	}
	return Call{
		Account: account, Method: req.Method, Key: key, Deadline: srv.Clock.Now().Add(limit),
	}, nil
}

func (srv *Server) account(header string) (string, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", false
	}
	return srv.Secrets.Account(key)
}

func (srv *Server) timeLimit(hdr http.Header) (time.Duration, *refusal) {
	vals := hdr.Values(HeaderTimeLimit)
	if len(vals) == 0 {
		return config.EntryTimeLimit.Of(srv.Settings), nil
	}
	most := config.EntryMaxTimeLimit.Of(srv.Settings)
	limit, err := time.ParseDuration(vals[0])
	if len(vals) > 1 || err != nil || limit < minTimeLimit || limit > most {
		return 0, badRequest(http.StatusBadRequest, CodeBadTimeLimit,
			fmt.Sprintf("%s must be one duration from %s to %s, such as 30s", HeaderTimeLimit, minTimeLimit, most))
	}
	return limit, nil
}

func idempotencyKey(hdr http.Header) (string, *refusal) {
	vals := hdr.Values(HeaderKey)
	if len(vals) == 0 {
		return "", nil
	}
	printable := func(chr rune) bool { return chr > ' ' && chr < 0x7f }
	bad := strings.ContainsFunc(vals[0], func(chr rune) bool { return !printable(chr) })
	if len(vals) > 1 || vals[0] == "" || len(vals[0]) > maxKeyBytes || bad {
		return "", badRequest(http.StatusBadRequest, CodeBadKey,
			fmt.Sprintf("%s must be given once, with 1 to %d printable characters", HeaderKey, maxKeyBytes))
	}
	return vals[0], nil
}

// body reads the whole body into a buffer of the announced length, so that a long prompt is held once.
func (srv *Server) body(rw http.ResponseWriter, req *http.Request, deadline time.Time) ([]byte, *refusal) {
	limit := int64(config.EntryMaxBody.Of(srv.Settings))
	if req.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	ctl := http.NewResponseController(rw)
	_ = ctl.SetReadDeadline(deadline)
	in := http.MaxBytesReader(rw, req.Body, limit)
	var raw []byte
	var err error
	if req.ContentLength >= 0 {
		raw, err = readExactly(in, int(req.ContentLength))
	} else {
		raw, err = io.ReadAll(in)
	}
	var over *http.MaxBytesError
	switch {
	case err == nil:
		_ = ctl.SetReadDeadline(time.Time{})
		return raw, nil
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, badRequest(http.StatusGatewayTimeout, CodeDeadline, "the body did not arrive within the time limit")
	default:
		return nil, badRequest(http.StatusBadRequest, CodeBodyIncomplete, "the body ended early")
	}
}

// readExactly grows the buffer only as bytes arrive, so that a caller cannot reserve memory by announcing a length.
func readExactly(in io.Reader, length int) ([]byte, error) {
	raw := make([]byte, min(length, readAheadBytes))
	if _, err := io.ReadFull(in, raw); err != nil || length == len(raw) {
		return raw, err
	}
	raw = append(make([]byte, 0, length), raw...)
	num, err := io.ReadFull(in, raw[len(raw):length])
	return raw[:len(raw)+num], err
}

func tooLarge(limit int64) *refusal {
	return badRequest(http.StatusRequestEntityTooLarge, CodeBodyTooLarge,
		fmt.Sprintf("the body is longer than %d bytes", limit))
}

// completion parses a completion request.
func (srv *Server) completion(rw http.ResponseWriter, req *http.Request) (Call, *refusal) {
	cal, ref := srv.admit(req)
	if ref != nil {
		return cal, ref
	}
	if cal.Body, ref = srv.body(rw, req, cal.Deadline); ref != nil {
		return cal, ref
	}
	if !gjson.ValidBytes(cal.Body) || !bytes.HasPrefix(bytes.TrimLeft(cal.Body, " \t\r\n"), []byte("{")) {
		return cal, badRequest(http.StatusBadRequest, CodeMalformedBody, "the body is not a JSON object")
	}
	fld, ref := readFields(cal.Body)
	if ref != nil {
		return cal, ref
	}
	cal.Kind = proto.UpstreamEngine
	cal.Path = req.URL.Path
	cal.Idempotent = true
	cal.Serves = fld.model
	cal.Stream = fld.stream
	cal.Cost = proto.Cost{PromptTokens: cost.Tokens(len(fld.prompt)), OutputTokens: fld.maxTokens}
	cal.PrefixHash = prefixHashes(fld.model, fld.prompt)
	if !srv.Known(cal.Kind, cal.Serves) {
		return cal, badRequest(http.StatusNotFound, CodeUnknownModel, "no such model")
	}
	return cal, nil
}

type fields struct {
	model     string
	prompt    string // raw JSON, part of the body's memory
	maxTokens int
	stream    bool
}

func readFields(body []byte) (fields, *refusal) {
	// gjson copies the values it finds in a byte slice, which would double a long prompt. The body is not modified
	// after this point, so that it may be read as a string.
	text := unsafe.String(unsafe.SliceData(body), len(body)) //nolint:gosec // See above.
	fld := fields{maxTokens: defaultMaxTokens}
	bad := ""
	gjson.Parse(text).ForEach(func(key, val gjson.Result) bool {
		switch key.Str {
		case "model":
			fld.model = strings.Clone(val.Str)
		case "prompt", "messages":
			fld.prompt = val.Raw
		case "stream":
			fld.stream = val.Bool()
			if !val.IsBool() && val.Type != gjson.Null {
				bad = "stream must be true or false"
			}
		case "max_tokens", "max_completion_tokens":
			if val.Type == gjson.Null {
				return true
			}
			fld.maxTokens = int(val.Int())
			if val.Type != gjson.Number || fld.maxTokens <= 0 || val.Num != float64(fld.maxTokens) {
				bad = key.Str + " must be a whole number above 0"
			}
		}
		return true
	})
	if fld.model == "" {
		bad = "model must be a string that is not empty"
	}
	if fld.prompt == "" {
		bad = "prompt or messages is missing"
	}
	if bad != "" {
		return fields{}, badRequest(http.StatusBadRequest, CodeMalformedBody, bad)
	}
	return fld, nil
}

// prefixHashes returns chained hashes of the leading blocks of a prompt.
func prefixHashes(model, prompt string) []uint64 {
	num := min(len(prompt)/PrefixBlock, maxPrefixBlocks)
	list := make([]uint64, 0, num)
	dig := xxhash.New()
	_, _ = dig.WriteString(model) // xxhash never returns an error.
	for idx := range num {
		_, _ = dig.WriteString(prompt[idx*PrefixBlock : (idx+1)*PrefixBlock])
		list = append(list, dig.Sum64())
	}
	return list
}

// privateHeaders are not passed between caller and service: those that concern one connection, the caller's key, and
// those with which a call that counts as idempotent could ask for another method.
var privateHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Authorization", "Content-Length", "Host", HeaderTimeLimit,
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}
