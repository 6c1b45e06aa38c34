package edge

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Codes of errors that callers receive, besides the reason codes of results.
const (
	CodeUnknownKey      = "unknown-key"
	CodeUnknownModel    = "unknown-model"
	CodeUnknownService  = "unknown-service"
	CodeMalformedBody   = "malformed-body"
	CodeBodyIncomplete  = "body-incomplete"
	CodeBodyTooLarge    = "body-too-large"
	CodeBadTimeLimit    = "bad-time-limit"
	CodeBadKey          = "bad-idempotency-key"
	CodeBadEncoding     = "unsupported-encoding"
	CodeDeadline        = "deadline-exceeded"
	CodeOutcomeUnknown  = "outcome-unknown"
	CodeNotReady        = "not-ready"
	CodeNoUpstream      = "no-upstream"
	CodeQuota           = "quota-exceeded"
	CodePromptTooLong   = "prompt-too-long"
	CodeBlocked         = "request-crashes-upstream"
	codeInternal        = "internal-error"
	eventCallerGone     = "caller-gone"
	eventCallerStalled  = "caller-stalled"
	eventStreamBroken   = "stream-broken"
	defaultRetryAfter   = time.Second
	refusalReadTimeout  = 100 * time.Millisecond
	refusalWriteTimeout = time.Second
)

// refusal is an error answer to a caller.
type refusal struct {
	status     int
	code       string
	message    string
	notRun     bool
	retryAfter time.Duration
}

// Error implements error, so that generated handlers can return a refusal.
func (ref *refusal) Error() string { return ref.code + ": " + ref.message }

// errorBody is the shape in which clients of this API expect errors.
type errorBody struct {
	Error  errorDetail `json:"error"`
	status int
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  bool   `json:"not_run"` // the request did not run and will not run later
}

// StatusCode tells goa the HTTP status of the answer.
func (bdy *errorBody) StatusCode() int { return bdy.status }

func (ref *refusal) body() *errorBody {
	detail := errorDetail{Message: ref.message, Type: errorType(ref.status), Code: ref.code, NotRun: ref.notRun}
	return &errorBody{Error: detail, status: ref.status}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// badRequest refuses a call before anything was sent to an upstream.
func badRequest(status int, code, message string) *refusal {
	return &refusal{status: status, code: code, message: message, notRun: true}
}

// statuses are the HTTP statuses of results by reason code. Other results are 503 if the call did not run, else 502.
var statuses = map[string]int{
	CodeDeadline:        http.StatusGatewayTimeout,
	CodeUnknownModel:    http.StatusNotFound,
	CodeUnknownService:  http.StatusNotFound,
	"model-not-granted": http.StatusForbidden,
	CodeQuota:           http.StatusTooManyRequests,
	CodePromptTooLong:   http.StatusRequestEntityTooLarge,
	CodeBlocked:         http.StatusUnprocessableEntity,
}

func fromResult(cal Call, res proto.Result) *refusal {
	ref := &refusal{
		status:     http.StatusBadGateway,
		code:       res.Reason,
		message:    res.Detail,
		notRun:     res.Outcome == proto.OutcomeNotRun,
		retryAfter: res.RetryAfter,
	}
	if ref.notRun {
		ref.status = http.StatusServiceUnavailable
	}
	if status, ok := statuses[res.Reason]; ok {
		ref.status = status
	}
	if ref.status == http.StatusServiceUnavailable && ref.retryAfter == 0 {
		ref.retryAfter = defaultRetryAfter
	}
	if res.Outcome == proto.OutcomeUnknown && !cal.Idempotent {
		ref.code = CodeOutcomeUnknown
		ref.message = "it is not known whether the call ran (" + res.Reason + "); send it again with the same key"
		if ref.status != http.StatusGatewayTimeout {
			ref.status = http.StatusConflict
		}
	}
	if ref.message == "" {
		ref.message = ref.code
	}
	return ref
}

// refuse writes an error answer. It may exceed the call's deadline by refusalWriteTimeout, since a deadline that has
// passed is itself answered.
func (srv *Server) refuse(rw http.ResponseWriter, ref *refusal) {
	srv.Metrics.Refusal(ref.code)
	ctl := http.NewResponseController(rw)
	// net/http reads what is left of the body before it sends the answer, for which time must remain.
	_ = ctl.SetReadDeadline(srv.Clock.Now().Add(refusalReadTimeout))
	_ = ctl.SetWriteDeadline(srv.Clock.Now().Add(refusalWriteTimeout))
	if ref.retryAfter > 0 {
		rw.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(ref.retryAfter.Seconds()))))
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(ref.status)
	_ = json.NewEncoder(rw).Encode(ref.body())
}

// breakOff ends a response whose status is sent already. An event stream gets the error as its last event. Breaking the
// connection tells the caller that the response is incomplete.
func (srv *Server) breakOff(rw http.ResponseWriter, cal Call, ref *refusal) {
	srv.Metrics.Refusal(ref.code)
	srv.Metrics.Event(eventStreamBroken)
	if cal.Stream {
		ctl := http.NewResponseController(rw)
		_ = ctl.SetWriteDeadline(srv.Clock.Now().Add(refusalWriteTimeout))
		raw, _ := json.Marshal(ref.body()) // This type always marshals.
		_, _ = rw.Write(append(append([]byte("data: "), raw...), "\n\n"...))
		_ = ctl.Flush()
	}
	panic(http.ErrAbortHandler)
}

// asRefusal returns the refusal in err, or one for an error of the transport.
func asRefusal(err error) *refusal {
	var ref *refusal
	if errors.As(err, &ref) {
		return ref
	}
	return &refusal{status: http.StatusInternalServerError, code: codeInternal, message: err.Error()}
}
