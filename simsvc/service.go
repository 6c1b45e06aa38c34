// Package simsvc simulates a plain service for tests, the demo and benchmarks. It can inject faults, and lists the
// calls that it has executed, so that tests can check how often each call took effect.
package simsvc

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/simsw"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Request headers that the service interprets.
const (
	HeaderKey           = "Idempotency-Key"
	HeaderSendID        = "X-Send-Id"      // identifies one of several sends with the same key among the executions
	HeaderResponseBytes = "X-Answer-Bytes" // requested length of the response body in bytes
)

const maxBodyBytes = 64 << 20

// Fault is a fault that is injected into one call.
type Fault string

// Faults of a call.
const (
	FaultNone             Fault = ""
	FaultCrashBefore      Fault = "crash-before" // the connection is closed before the call takes effect
	FaultCrashAfter       Fault = "crash-after"  // the call takes effect, then the connection is closed
	FaultTruncateResponse Fault = "lose-answer"  // the call takes effect, and the response ends halfway through
	FaultHang             Fault = "hang"         // the call takes effect and gets no response
	FaultHold             Fault = "hold"         // the call takes effect, and the response is held back until Release
)

// Execution is one call that took effect.
type Execution struct {
	Number int    `json:"number"` // from 1, in order of effect
	Key    string `json:"key"`
	Send   string `json:"send"`
	Body   string `json:"body"` // SHA-256 in hexadecimal
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Service is the simulated service. Its faults can be changed at any time, by the methods or over HTTP.
type Service struct {
	clock *timer.Service

	mu         sync.Mutex
	delay      time.Duration
	faults     []Fault // of the next calls, in order
	executions []Execution
	releaseCh  chan struct{} // closed by Release
}

// New returns a Service that has executed nothing.
func New(clk *timer.Service) *Service { return &Service{clock: clk, releaseCh: make(chan struct{})} }

// SetDelay sets the time that each later call takes before its effect.
func (svc *Service) SetDelay(delay time.Duration) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.delay = delay
}

// Inject queues faults, one for each of the next calls.
func (svc *Service) Inject(faults ...Fault) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.faults = append(svc.faults, faults...)
}

// Release sends the responses that FaultHold holds back.
func (svc *Service) Release() {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	close(svc.releaseCh)
	svc.releaseCh = make(chan struct{})
}

// releaseChannel returns the channel that the next Release closes.
func (svc *Service) releaseChannel() <-chan struct{} {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.releaseCh
}

// Executions returns the calls that took effect so far.
func (svc *Service) Executions() []Execution {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return append([]Execution{}, svc.executions...)
}

// Counts returns the number of executions for each idempotency key and for each body (SHA-256 in hexadecimal).
func (svc *Service) Counts() (byKey, byBody map[string]int) {
	byKey, byBody = make(map[string]int), make(map[string]int)
	for _, exe := range svc.Executions() {
		byKey[exe.Key]++
		byBody[exe.Body]++
	}
	return byKey, byBody
}

// Handler serves every path as a call, and under /sim/ the list of executions and the controls of the faults:
// GET /sim/executions, POST /sim/delay?value=DURATION, POST /sim/fault?value=FAULT, POST /sim/release.
func (svc *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", svc.handleCall)
	mux.HandleFunc("GET /sim/executions", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(svc.Executions())
	})
	simsw.AddControl(mux, "delay", time.ParseDuration, svc.SetDelay)
	mux.HandleFunc("POST /sim/release", func(http.ResponseWriter, *http.Request) { svc.Release() })
	simsw.AddControl(mux, "fault", parseFault, func(flt Fault) { svc.Inject(flt) })
	return mux
}

// parseFault parses the name of a fault. It returns a trace.BadParameter error for an unknown one.
func parseFault(text string) (Fault, error) {
	switch flt := Fault(text); flt {
	case FaultCrashBefore, FaultCrashAfter, FaultTruncateResponse, FaultHang, FaultHold:
		return flt, nil
	}
	return FaultNone, fmt.Errorf("simsvc: %w", trace.BadParameter("unknown fault %q", text))
}

// nextFault returns the delay of the next call, and its fault, which it removes from the queue.
func (svc *Service) nextFault() (time.Duration, Fault) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if len(svc.faults) == 0 {
		return svc.delay, FaultNone
	}
	flt := svc.faults[0]
	svc.faults = svc.faults[1:]
	return svc.delay, flt
}

func (svc *Service) handleCall(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxBodyBytes))
	if err != nil {
		http.Error(rw, "body not read", http.StatusBadRequest)
		return
	}
	delay, flt := svc.nextFault()
	if delay > 0 {
		// The call takes effect even if the client disconnects in the meantime.
		_ = svc.clock.Sleep(context.WithoutCancel(req.Context()), delay)
	}
	if flt == FaultCrashBefore {
		panic(http.ErrAbortHandler)
	}
	// The channel is taken before the call takes effect, so that a Release right after the effect is not missed.
	released := svc.releaseChannel()
	exe := svc.recordExecution(req, body)
	switch flt {
	case FaultHold:
		select {
		case <-released:
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		}
	case FaultCrashAfter:
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writeResponse(rw, req, exe, flt == FaultTruncateResponse)
}

func (svc *Service) recordExecution(req *http.Request, body []byte) Execution {
	sum := sha256.Sum256(body)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	exe := Execution{
		Number: len(svc.executions) + 1, Key: req.Header.Get(HeaderKey), Send: req.Header.Get(HeaderSendID),
		Body: hex.EncodeToString(sum[:]), Method: req.Method, Path: req.URL.RequestURI(),
	}
	svc.executions = append(svc.executions, exe)
	return exe
}

// writeResponse writes the number of the execution, padded to the length that the call requests. If truncate is set, it
// closes the connection after half of the body.
func writeResponse(rw http.ResponseWriter, req *http.Request, exe Execution, truncate bool) {
	size, _ := strconv.Atoi(req.Header.Get(HeaderResponseBytes))
	body := fmt.Sprintf("%-*s", min(size, maxBodyBytes), fmt.Sprintf("execution %d", exe.Number))
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("X-Execution", strconv.Itoa(exe.Number))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(http.StatusCreated)
	if truncate {
		_, _ = io.WriteString(rw, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(rw, body)
}
