// Package simlog simulates the platform's append-only log service for tests, the demo and benchmarks. It keeps records
// in memory and can inject faults.
package simlog

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/simsw"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	maxRecordBytes   = 1 << 20
	maxWait          = 30 * time.Second
	defaultReadLimit = 1000
)

// Options configure a Log.
type Options struct {
	AppendRate float64       // limit on appends per second over all streams; 0 for no limit
	Retention  time.Duration // time for which records are kept; 0 to keep all
	Clock      *timer.Service
}

type record struct {
	logsvc.Record
	written time.Time
}

type stream struct {
	records  []record
	next     int64         // offset of the next record
	appended chan struct{} // closed and replaced on each append
}

// Log is the simulated log service. Its faults can be changed at any time, by the methods or over HTTP.
type Log struct {
	opts    Options
	limiter *rate.Limiter

	mu              sync.Mutex
	streams         map[string]*stream
	down            bool
	responsesToLose int           // number of next appends that take effect but get no response
	delay           time.Duration // before each append takes effect
	appends         int           // records written so far
}

// New returns an empty Log.
func New(opts Options) *Log {
	lim := rate.NewLimiter(rate.Inf, 0)
	if opts.AppendRate > 0 {
		lim = rate.NewLimiter(rate.Limit(opts.AppendRate), max(int(opts.AppendRate), 1))
	}
	return &Log{opts: opts, limiter: lim, streams: make(map[string]*stream)}
}

// SetDown starts or ends an outage.
func (log *Log) SetDown(down bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.down = down
}

// LoseResponses makes the next count appends take effect without a response: the connection is closed instead.
func (log *Log) LoseResponses(count int) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.responsesToLose = count
}

// SetDelay sets the time by which each later append is delayed before it takes effect.
func (log *Log) SetDelay(delay time.Duration) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.delay = delay
}

// Appends returns the number of records written so far.
func (log *Log) Appends() int {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.appends
}

// Handler serves the protocol of the log service, and under /sim/ the controls of its faults:
// POST /sim/down?value=BOOL, POST /sim/lose-answers?value=COUNT, POST /sim/delay?value=DURATION.
func (log *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}", log.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}", log.handleRead)
	simsw.AddControl(mux, "down", strconv.ParseBool, log.SetDown)
	simsw.AddControl(mux, "lose-answers", strconv.Atoi, log.LoseResponses)
	simsw.AddControl(mux, "delay", time.ParseDuration, log.SetDelay)
	return mux
}

func (log *Log) currentFaults() (down bool, delay time.Duration) {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.down, log.delay
}

func (log *Log) handleAppend(rw http.ResponseWriter, req *http.Request) {
	down, delay := log.currentFaults()
	if down {
		http.Error(rw, "unavailable", http.StatusServiceUnavailable)
		return
	}
	if !log.limiter.Allow() {
		http.Error(rw, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxRecordBytes))
	if err != nil {
		http.Error(rw, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	if delay > 0 {
		// The record is written even if the client disconnects in the meantime.
		_ = log.opts.Clock.Sleep(context.WithoutCancel(req.Context()), delay)
	}
	off, loseResponse := log.appendRecord(req.PathValue("stream"), data)
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]int64{"offset": off})
}

// appendRecord appends a record to the named stream, and tells whether the response has to be lost.
func (log *Log) appendRecord(name string, data []byte) (offset int64, loseResponse bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	str := log.stream(name)
	off := str.next
	str.next++
	str.records = append(str.records, record{logsvc.Record{Offset: off, Data: data}, log.opts.Clock.Now()})
	close(str.appended)
	str.appended = make(chan struct{})
	log.appends++
	if log.responsesToLose > 0 {
		log.responsesToLose--
		return off, true
	}
	return off, false
}

// stream returns the named stream, which it creates if it is new, after removing its expired records. The caller holds
// the lock.
func (log *Log) stream(name string) *stream {
	str := log.streams[name]
	if str == nil {
		str = &stream{next: 1, appended: make(chan struct{})}
		log.streams[name] = str
	}
	if log.opts.Retention > 0 {
		oldest := log.opts.Clock.Now().Add(-log.opts.Retention)
		for len(str.records) > 0 && str.records[0].written.Before(oldest) {
			str.records = str.records[1:]
		}
	}
	return str
}

func (log *Log) handleRead(rw http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseInt(req.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(rw, "from is not a number", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(req.FormValue("limit"))
	if err != nil || limit <= 0 {
		limit = defaultReadLimit
	}
	wait, _ := time.ParseDuration(req.FormValue("wait")) // No wait if it is absent or malformed.
	expired := make(chan struct{})
	sub := log.opts.Clock.After(min(wait, maxWait), func() { close(expired) })
	defer sub.Stop()
	for {
		if down, _ := log.currentFaults(); down {
			http.Error(rw, "unavailable", http.StatusServiceUnavailable)
			return
		}
		bat, appended := log.readRecords(req.PathValue("stream"), from, limit)
		if len(bat.Records) == 0 && wait > 0 {
			select {
			case <-appended:
				continue
			case <-expired:
				wait = 0
				continue
			case <-req.Context().Done():
				return
			}
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(bat)
		return
	}
}

// readRecords returns at most limit records of the named stream from an offset on, and a channel that is closed on the
// next append.
func (log *Log) readRecords(name string, from int64, limit int) (logsvc.Batch, <-chan struct{}) {
	log.mu.Lock()
	defer log.mu.Unlock()
	str := log.stream(name)
	bat := logsvc.Batch{Records: []logsvc.Record{}, Oldest: str.next - int64(len(str.records)), Next: str.next}
	for _, rec := range str.records {
		if rec.Offset >= from && len(bat.Records) < limit {
			bat.Records = append(bat.Records, rec.Record)
		}
	}
	return bat, str.appended
}
