package edge

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// refusal is an error answer to a caller.
type refusal struct {
	status     int
	code       string
	message    string
	notRun     bool
	retryAfter time.Duration
}

// errorBody is the shape in which clients of this API expect errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  bool   `json:"not_run"`
}

func fromResult(res proto.Result) refusal {
	ref := refusal{
		status:     http.StatusBadGateway,
		code:       res.Reason,
		message:    res.Detail,
		notRun:     res.Outcome == proto.OutcomeNotRun,
		retryAfter: res.RetryAfter,
	}
	if ref.notRun {
		ref.status = http.StatusServiceUnavailable
	}
	return ref
}

func (srv *Server) refuse(rw http.ResponseWriter, ref refusal) {
	srv.Metrics.Refusal(ref.code)
	if ref.retryAfter > 0 {
		rw.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(ref.retryAfter.Seconds()))))
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(ref.status)
	_ = json.NewEncoder(rw).Encode(errorBody{errorDetail{ref.message, "tarragonwheel", ref.code, ref.notRun}})
}
