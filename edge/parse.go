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

// Request headers that this API interprets.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderTimeLimit = "X-Time-Limit" // a duration such as 30s
)

const (
	// PrefixBlockBytes is the length in bytes of the prompt blocks whose hashes identify cached prefixes.
	PrefixBlockBytes = 4096

	defaultMaxTokens   = 16
	minTimeLimit       = 10 * time.Millisecond
	maxKeyBytes        = 255
	maxPrefixBlocks    = 256 // bounds the size of proto.Open; beyond it, a longer cached prefix changes the cost little
	initialBufferBytes = 64 << 10
	randomKeyBytes     = 16
)

// servicePrefix is the path prefix of calls to plain services. The name of the service follows it.
const servicePrefix = "/v1/services/"

// parseCommon authenticates the caller and parses what all calls have in common: time limit, idempotency key and
// content encoding.
func (srv *Server) parseCommon(req *http.Request) (Call, *refusal) {
	account, ok := srv.authenticate(req.Header.Get("Authorization"))
	if !ok {
		return Call{}, newRefusal(http.StatusUnauthorized, CodeUnknownKey, "unknown bearer key")
	}
	limit, ref := srv.parseTimeLimit(req.Header)
	if ref != nil {
		return Call{}, ref
	}
	key, ref := parseIdempotencyKey(req.Header)
	if ref != nil {
		return Call{}, ref
	}
	if enc := req.Header.Get("Content-Encoding"); enc != "" && enc != "identity" {
		return Call{}, newRefusal(http.StatusUnsupportedMediaType, CodeBadEncoding, "send the body unencoded")
	}
	return Call{
		Account: account, Method: req.Method, IdempotencyKey: key, Deadline: srv.Clock.Now().Add(limit),
	}, nil
}

// authenticate returns the account of the bearer key in an Authorization header.
func (srv *Server) authenticate(header string) (string, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", false
	}
	return srv.Secrets.Account(key)
}

func (srv *Server) parseTimeLimit(hdr http.Header) (time.Duration, *refusal) {
	vals := hdr.Values(HeaderTimeLimit)
	if len(vals) == 0 {
		return config.EntryTimeLimit.Of(srv.Settings), nil
	}
	most := config.EntryMaxTimeLimit.Of(srv.Settings)
	limit, err := time.ParseDuration(vals[0])
	if len(vals) > 1 || err != nil || limit < minTimeLimit || limit > most {
		return 0, newRefusal(http.StatusBadRequest, CodeBadTimeLimit,
			fmt.Sprintf("%s must be one duration from %s to %s, such as 30s", HeaderTimeLimit, minTimeLimit, most))
	}
	return limit, nil
}

func parseIdempotencyKey(hdr http.Header) (string, *refusal) {
	vals := hdr.Values(HeaderKey)
	if len(vals) == 0 {
		return "", nil
	}
	printable := func(chr rune) bool { return chr > ' ' && chr < 0x7f }
	bad := strings.ContainsFunc(vals[0], func(chr rune) bool { return !printable(chr) })
	if len(vals) > 1 || vals[0] == "" || len(vals[0]) > maxKeyBytes || bad {
		return "", newRefusal(http.StatusBadRequest, CodeBadKey,
			fmt.Sprintf("%s must be given once, with 1 to %d printable characters", HeaderKey, maxKeyBytes))
	}
	return vals[0], nil
}

// readBody reads the whole body. It fails if the body exceeds the size limit or has not arrived by deadline. If the
// length is known, the buffer has exactly that length, so that a long prompt is in memory only once.
func (srv *Server) readBody(rw http.ResponseWriter, req *http.Request, deadline time.Time) ([]byte, *refusal) {
	limit := int64(config.EntryMaxBody.Of(srv.Settings))
	if req.ContentLength > limit {
		return nil, bodyTooLarge(limit)
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
		return nil, bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRefusal(http.StatusGatewayTimeout, CodeDeadline, "the body did not arrive within the time limit")
	default:
		return nil, newRefusal(http.StatusBadRequest, CodeBodyIncomplete, "the body ended early")
	}
}

// readExactly reads length bytes. It allocates the full buffer only after the first initialBufferBytes have arrived, so
// that a caller cannot make this process allocate memory merely by sending a large Content-Length.
func readExactly(in io.Reader, length int) ([]byte, error) {
	raw := make([]byte, min(length, initialBufferBytes))
	if _, err := io.ReadFull(in, raw); err != nil || length == len(raw) {
		return raw, err
	}
	raw = append(make([]byte, 0, length), raw...)
	num, err := io.ReadFull(in, raw[len(raw):length])
	return raw[:len(raw)+num], err
}

func bodyTooLarge(limit int64) *refusal {
	return newRefusal(http.StatusRequestEntityTooLarge, CodeBodyTooLarge,
		fmt.Sprintf("the body is longer than %d bytes", limit))
}

// parseCompletion parses and validates a completion or chat completion request.
func (srv *Server) parseCompletion(rw http.ResponseWriter, req *http.Request) (Call, *refusal) {
	cal, ref := srv.parseCommon(req)
	if ref != nil {
		return cal, ref
	}
	if cal.Body, ref = srv.readBody(rw, req, cal.Deadline); ref != nil {
		return cal, ref
	}
	if !gjson.ValidBytes(cal.Body) || !bytes.HasPrefix(bytes.TrimLeft(cal.Body, " \t\r\n"), []byte("{")) {
		return cal, newRefusal(http.StatusBadRequest, CodeMalformedBody, "the body is not a JSON object")
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
	cal.PrefixHashes = prefixHashes(fld.model, fld.prompt)
	if !srv.MayExist(cal.Kind, cal.Serves) {
		return cal, newRefusal(http.StatusNotFound, CodeUnknownModel, "no such model")
	}
	return cal, nil
}

// completionFields are the fields of a completion request that routing and admission need. The body is passed on as it
// is.
type completionFields struct {
	model     string
	prompt    string // raw JSON of the prompt or messages; shares memory with the body
	maxTokens int
	stream    bool
}

// readFields extracts the fields of a completion request from its JSON body without copying the prompt.
func readFields(body []byte) (completionFields, *refusal) {
	// gjson copies the values that it finds in a byte slice, which would double the memory of a long prompt. Values
	// found in a string share its memory. The body is not modified after this point, so that it is safe to view it as a
	// string.
	text := unsafe.String(unsafe.SliceData(body), len(body)) //nolint:gosec // See above.
	fld := completionFields{maxTokens: defaultMaxTokens}
	problem := ""
	gjson.Parse(text).ForEach(func(key, val gjson.Result) bool {
		switch key.Str {
		case "model":
			fld.model = strings.Clone(val.Str)
		case "prompt", "messages":
			fld.prompt = val.Raw
		case "stream":
			fld.stream = val.Bool()
			if !val.IsBool() && val.Type != gjson.Null {
				problem = "stream must be true or false"
			}
		case "max_tokens", "max_completion_tokens":
			if val.Type == gjson.Null {
				return true
			}
			fld.maxTokens = int(val.Int())
			if val.Type != gjson.Number || fld.maxTokens <= 0 || val.Num != float64(fld.maxTokens) {
				problem = key.Str + " must be a whole number above 0"
			}
		}
		return true
	})
	if fld.model == "" {
		problem = "model must be a string that is not empty"
	}
	if fld.prompt == "" {
		problem = "prompt or messages is missing"
	}
	if problem != "" {
		return completionFields{}, newRefusal(http.StatusBadRequest, CodeMalformedBody, problem)
	}
	return fld, nil
}

// prefixHashes returns chained hashes of the leading blocks of a prompt: hash i covers the model's name and blocks 0 to
// i.
func prefixHashes(model, prompt string) []uint64 {
	num := min(len(prompt)/PrefixBlockBytes, maxPrefixBlocks)
	list := make([]uint64, 0, num)
	dig := xxhash.New()
	_, _ = dig.WriteString(model) // xxhash never returns an error.
	for idx := range num {
		_, _ = dig.WriteString(prompt[idx*PrefixBlockBytes : (idx+1)*PrefixBlockBytes])
		list = append(list, dig.Sum64())
	}
	return list
}

// unforwardedHeaders are not forwarded between caller and service, in either direction: hop-by-hop headers, the
// caller's bearer key, and method overrides, with which a call that counts as idempotent could run as another method.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Authorization", "Content-Length", "Host", HeaderTimeLimit,
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}
