// Package simsvc is a small stand-in for a plain service, for tests, the demo and measurements. It counts its
// executions and lists them for checks.
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

// Headers of a call to the stand-in.
const (
	HeaderKey  = "Idempotency-Key"
	HeaderSend = "X-Send-Id" // identifies one sending of a key in the list of executions
	HeaderSize = "X-Answer-Bytes"
)

const maxBody = 64 << 20

// Fault is what goes wrong with one call.
type Fault string

// Faults of a call.
const (
	FaultNone        Fault = ""
	FaultCrashBefore Fault = "crash-before" // the connection breaks and the call has no effect
	FaultCrashAfter  Fault = "crash-after"  // the call has its effect, then the connection breaks
	FaultLoseAnswer  Fault = "lose-answer"  // the call has its effect, then the answer is cut off halfway
	FaultHang        Fault = "hang"         // the call has its effect and no answer comes
	FaultHold        Fault = "hold"         // the call has its effect and the answer comes after Release
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

// Service is the stand-in. Its faults can be switched at any time.
type Service struct {
	clock *timer.Service

	mu     sync.Mutex
	delay  time.Duration
	faults []Fault // of the next calls, in order
	done   []Execution
	open   chan struct{} // closed by Release
}

// New returns a Service that has executed nothing.
func New(clk *timer.Service) *Service { return &Service{clock: clk, open: make(chan struct{})} }

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

// Release lets the answers go that are held back by FaultHold.
func (svc *Service) Release() {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	close(svc.open)
	svc.open = make(chan struct{})
}

func (svc *Service) released() <-chan struct{} {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.open
}

// Executions returns the calls that took effect so far.
func (svc *Service) Executions() []Execution {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return append([]Execution{}, svc.done...)
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

// Handler serves every path as a call, and under /sim/ the list of executions and the faults:
// GET /sim/executions, POST /sim/delay?value=DURATION, POST /sim/fault?value=FAULT, POST /sim/release.
func (svc *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", svc.call)
	mux.HandleFunc("GET /sim/executions", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(svc.Executions())
	})
	simsw.Add(mux, "delay", time.ParseDuration, svc.SetDelay)
	mux.HandleFunc("POST /sim/release", func(http.ResponseWriter, *http.Request) { svc.Release() })
	simsw.Add(mux, "fault", parseFault, func(flt Fault) { svc.Inject(flt) })
	return mux
}

// parseFault returns a trace.BadParameter error for a fault that is not known.
func parseFault(text string) (Fault, error) {
	switch flt := Fault(text); flt {
	case FaultCrashBefore, FaultCrashAfter, FaultLoseAnswer, FaultHang, FaultHold:
		return flt, nil
	}
	return FaultNone, fmt.Errorf("simsvc: %w", trace.BadParameter("unknown fault %q", text))
}

func (svc *Service) next() (time.Duration, Fault) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if len(svc.faults) == 0 {
		return svc.delay, FaultNone
	}
	flt := svc.faults[0]
	svc.faults = svc.faults[1:]
	return svc.delay, flt
}

func (svc *Service) call(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxBody))
	if err != nil {
		http.Error(rw, "body not read", http.StatusBadRequest)
		return
	}
	delay, flt := svc.next()
	if delay > 0 {
		// The caller may have gone by then; the call takes effect all the same.
		_ = svc.clock.Sleep(context.WithoutCancel(req.Context()), delay)
	}
	if flt == FaultCrashBefore {
		panic(http.ErrAbortHandler)
	}
	released := svc.released() // Before the effect, so that a Release after it is not missed.
	exe := svc.execute(req, body)
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
	answer(rw, req, exe, flt == FaultLoseAnswer)
}

func (svc *Service) execute(req *http.Request, body []byte) Execution {
	sum := sha256.Sum256(body)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	exe := Execution{
		Number: len(svc.done) + 1, Key: req.Header.Get(HeaderKey), Send: req.Header.Get(HeaderSend),
		Body: hex.EncodeToString(sum[:]), Method: req.Method, Path: req.URL.RequestURI(),
	}
	svc.done = append(svc.done, exe)
	return exe
}

// answer writes the number of the execution, padded to the size that the call asks for.
func answer(rw http.ResponseWriter, req *http.Request, exe Execution, half bool) {
	size, _ := strconv.Atoi(req.Header.Get(HeaderSize))
	body := fmt.Sprintf("%-*s", min(size, maxBody), fmt.Sprintf("execution %d", exe.Number))
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("X-Execution", strconv.Itoa(exe.Number))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(http.StatusCreated)
	if half {
		_, _ = io.WriteString(rw, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(rw, body)
}
