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
	idleConns = 512
	// lateMargin is the time after its limit that a request may take to reach the client, for the way back.
	lateMargin = 250 * time.Millisecond
	eventBytes = 64 << 10
)

// Outcomes of an offered request, as the client sees them.
const (
	OutcomeDone    = "done"
	OutcomeRefused = "refused" // with a reason code, before any token
	OutcomeBroken  = "broken"  // the stream ended without its end mark
	OutcomeLate    = "late"    // no end within the time limit
)

// Sample is the result of one request.
type Sample struct {
	Class      string
	Account    string
	Outcome    string
	Reason     string
	NotRun     bool
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Runner offers requests to one entry.
type Runner struct {
	address string
	clock   *timer.Service
	http    *http.Client
}

// NewRunner returns a Runner for the entry at the given address.
func NewRunner(addr string, clk *timer.Service) *Runner {
	trn := &http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &Runner{address: addr, clock: clk, http: &http.Client{Transport: trn}}
}

// Run offers the plan's requests at their times, whether or not earlier ones have been answered, and returns when all
// have ended.
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
			samples[idx] = run.one(ctx, pln, arr)
		}()
	}
	wait.Wait()
	return samples
}

func (run *Runner) one(ctx context.Context, pln Plan, arr arrival) Sample {
	smp := Sample{Class: arr.class(), Account: arr.account.Name, Outcome: OutcomeBroken}
	lim, cancel := run.clock.WithTimeout(ctx, pln.TimeLimit+lateMargin)
	defer cancel()
	start := run.clock.Now()
	err := run.exchange(lim, pln, arr, &smp, start)
	smp.Total = run.clock.Since(start)
	if errors.Is(context.Cause(lim), context.DeadlineExceeded) {
		smp.Outcome = OutcomeLate
	}
	if err != nil && smp.Reason == "" {
		smp.Reason = "connection"
	}
	return smp
}

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
		return refused(resp.Body, smp)
	}
	return run.events(resp.Body, smp, start)
}

func refused(body io.Reader, smp *Sample) error {
	var ans struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not_run"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&ans); err != nil {
		return fmt.Errorf("load: read refusal: %w", err)
	}
	smp.Outcome = OutcomeRefused
	smp.Reason = ans.Error.Code
	smp.NotRun = ans.Error.NotRun
	return nil
}

// events counts the tokens of a stream up to its end mark.
func (run *Runner) events(body io.Reader, smp *Sample, start time.Time) error {
	scn := bufio.NewScanner(body)
	scn.Buffer(make([]byte, 0, eventBytes), eventBytes)
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
			return refusedMidStream(data, smp)
		}
		if smp.Tokens == 0 {
			smp.FirstToken = run.clock.Since(start)
		}
		smp.Tokens++
	}
	return scn.Err()
}

func refusedMidStream(data []byte, smp *Sample) error {
	if err := refused(bytes.NewReader(data), smp); err != nil {
		return err
	}
	smp.Outcome = OutcomeBroken
	return nil
}
