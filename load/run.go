package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	maxIdleConns = 512
	// responseMargin is added to the time limit of a request, for the response's way back to the client.
	responseMargin = 250 * time.Millisecond
	maxEventBytes  = 64 << 10
)

// Outcomes of a request, as the client sees them.
const (
	OutcomeDone       = "done"
	OutcomeRefused    = "refused" // rejected with a reason code before any token
	OutcomeIncomplete = "broken"  // the connection failed, or the stream ended without [DONE]
	OutcomeTimeout    = "late"    // not complete within the time limit
)

// Sample is the measured result of one request.
type Sample struct {
	Class      string // length class of the prompt
	Account    string
	Outcome    string        // one of the Outcome constants
	Reason     string        // error code, or "connection" on a connection error; else empty
	NotRun     bool          // the response guarantees that the request was not executed
	FirstToken time.Duration // time to the first token
	Total      time.Duration // time to the end of the response
	Tokens     int           // streamed events
}

// Runner sends requests to one entry.
type Runner struct {
	address string
	clock   *timer.Service
	http    *http.Client
}

// NewRunner returns a Runner for the entry at the given address.
func NewRunner(addr string, clk *timer.Service) *Runner {
	trn := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &Runner{address: addr, clock: clk, http: &http.Client{Transport: trn}}
}

// Run sends each of the plan's requests at its time, whether or not earlier ones have been answered (open loop). It
// returns when all have ended. If ctx ends, it sends no more of them.
func (run *Runner) Run(ctx context.Context, pln Plan) []Sample {
	list := pln.arrivals()
	samples := make([]Sample, len(list))
	start := run.clock.Now()
	var wait sync.WaitGroup
	for idx, arr := range list {
		if err := run.clock.Sleep(ctx, arr.at-run.clock.Since(start)); err != nil {
			samples = samples[:idx]
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			samples[idx] = run.send(ctx, pln, arr)
		}()
	}
	wait.Wait()
	return samples
}

// send sends one request and measures it.
func (run *Runner) send(ctx context.Context, pln Plan, arr arrival) Sample {
	smp := Sample{Class: arr.class(), Account: arr.account.Name, Outcome: OutcomeIncomplete}
	lim, cancel := run.clock.WithTimeout(ctx, pln.TimeLimit+responseMargin)
	defer cancel()
	start := run.clock.Now()
	err := run.exchange(lim, pln, arr, &smp, start)
	smp.Total = run.clock.Since(start)
	if errors.Is(context.Cause(lim), context.DeadlineExceeded) {
		smp.Outcome = OutcomeTimeout
	}
	if err != nil && smp.Reason == "" {
		smp.Reason = "connection"
	}
	return smp
}

// exchange sends a request and reads its response into smp.
func (run *Runner) exchange(ctx context.Context, pln Plan, arr arrival, smp *Sample, start time.Time) error {
	content, length := body(pln, arr)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+run.address+"/v1/completions", content)
	if err != nil {
		return fmt.Errorf("load: build request: %w", err)
	}
	req.ContentLength = length
	req.Header.Set("Authorization", "Bearer "+arr.account.Key)
	req.Header.Set("X-Time-Limit", pln.TimeLimit.String())
	resp, err := run.http.Do(req)
	if err != nil {
		return fmt.Errorf("load: send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp.Body, smp)
	}
	return run.readStream(resp.Body, smp, start)
}

// readRefusal decodes an error response into smp.
func readRefusal(body io.Reader, smp *Sample) error {
	var ans struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not_run"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&ans); err != nil {
		return fmt.Errorf("load: decode error response: %w", err)
	}
	smp.Outcome = OutcomeRefused
	smp.Reason = ans.Error.Code
	smp.NotRun = ans.Error.NotRun
	return nil
}

// readStream counts the tokens of a stream up to [DONE] or an error event.
func (run *Runner) readStream(body io.Reader, smp *Sample, start time.Time) error {
	scn := bufio.NewScanner(body)
	scn.Buffer(make([]byte, 0, maxEventBytes), maxEventBytes)
	for scn.Scan() {
		data, found := bytes.CutPrefix(scn.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			smp.Outcome = OutcomeDone
			return nil
		}
		if bytes.HasPrefix(data, []byte(`{"error"`)) {
			return readStreamError(data, smp)
		}
		if smp.Tokens == 0 {
			smp.FirstToken = run.clock.Since(start)
		}
		smp.Tokens++
	}
	return scn.Err()
}

// readStreamError decodes an error event in a stream. The outcome is OutcomeIncomplete, because the stream had begun.
func readStreamError(data []byte, smp *Sample) error {
	if err := readRefusal(bytes.NewReader(data), smp); err != nil {
		return err
	}
	smp.Outcome = OutcomeIncomplete
	return nil
}
