// Package simlog is a small stand-in for the platform's log service, for tests, the demo and measurements. It keeps its
// records in memory.
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
	maxRecord    = 1 << 20
	maxWait      = 30 * time.Second
	defaultLimit = 1000
)

// Options configure the stand-in.
type Options struct {
	AppendRate float64       // appends a second over all streams; 0 for no limit
	Retention  time.Duration // time for which records are kept; 0 for ever
	Clock      *timer.Service
}

type record struct {
	logsvc.Record
	written time.Time
}

type stream struct {
	records []record
	next    int64
	grown   chan struct{} // closed and replaced on each append
}

// Log is the stand-in. Its faults can be switched at any time.
type Log struct {
	opts    Options
	limiter *rate.Limiter

	mu         sync.Mutex
	streams    map[string]*stream
	down       bool
	loseAnswer int // appends that take effect and whose answer is lost
	delay      time.Duration
	appends    int
}

// New returns an empty Log.
func New(opts Options) *Log {
	lim := rate.NewLimiter(rate.Inf, 0)
	if opts.AppendRate > 0 {
		lim = rate.NewLimiter(rate.Limit(opts.AppendRate), int(opts.AppendRate))
	}
	return &Log{opts: opts, limiter: lim, streams: make(map[string]*stream)}
}

// SetDown starts or ends an outage.
func (log *Log) SetDown(down bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.down = down
}

// LoseAnswers makes the next count appends take effect without an answer.
func (log *Log) LoseAnswers(count int) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.loseAnswer = count
}

// SetDelay delays the effect of each later append.
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

// Handler serves the log's protocol, and under /sim/ its faults:
// POST /sim/down?value=BOOL, POST /sim/lose-answers?value=COUNT, POST /sim/delay?value=DURATION.
func (log *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}", log.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}", log.handleRead)
	simsw.Add(mux, "down", strconv.ParseBool, log.SetDown)
	simsw.Add(mux, "lose-answers", strconv.Atoi, log.LoseAnswers)
	simsw.Add(mux, "delay", time.ParseDuration, log.SetDelay)
	return mux
}

func (log *Log) faults() (down bool, delay time.Duration) {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.down, log.delay
}

func (log *Log) handleAppend(rw http.ResponseWriter, req *http.Request) {
	down, delay := log.faults()
	if down {
		http.Error(rw, "unavailable", http.StatusServiceUnavailable)
		return
	}
	if !log.limiter.Allow() {
		http.Error(rw, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxRecord))
	if err != nil {
		http.Error(rw, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	if delay > 0 {
		// The caller may have gone by then; the record is written all the same.
		_ = log.opts.Clock.Sleep(context.WithoutCancel(req.Context()), delay)
	}
	off, lost := log.write(req.PathValue("stream"), data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]int64{"offset": off})
}

func (log *Log) write(name string, data []byte) (offset int64, lost bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	str := log.stream(name)
	off := str.next
	str.next++
	str.records = append(str.records, record{logsvc.Record{Offset: off, Data: data}, log.opts.Clock.Now()})
	close(str.grown)
	str.grown = make(chan struct{})
	log.appends++
	if log.loseAnswer > 0 {
		log.loseAnswer--
		return off, true
	}
	return off, false
}

// stream returns the named stream without its expired records. The caller holds the lock.
func (log *Log) stream(name string) *stream {
	str := log.streams[name]
	if str == nil {
		str = &stream{next: 1, grown: make(chan struct{})}
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
		limit = defaultLimit
	}
	wait, _ := time.ParseDuration(req.FormValue("wait"))
	expired := make(chan struct{})
	sub := log.opts.Clock.After(min(wait, maxWait), func() { close(expired) })
	defer sub.Stop()
	for {
		if down, _ := log.faults(); down {
			http.Error(rw, "unavailable", http.StatusServiceUnavailable)
			return
		}
		bat, grown := log.read(req.PathValue("stream"), from, limit)
		if len(bat.Records) == 0 && wait > 0 {
			select {
			case <-grown:
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

func (log *Log) read(name string, from int64, limit int) (logsvc.Batch, <-chan struct{}) {
	log.mu.Lock()
	defer log.mu.Unlock()
	str := log.stream(name)
	bat := logsvc.Batch{Records: []logsvc.Record{}, Oldest: str.next - int64(len(str.records)), Next: str.next}
	for _, rec := range str.records {
		if rec.Offset >= from && len(bat.Records) < limit {
			bat.Records = append(bat.Records, rec.Record)
		}
	}
	return bat, str.grown
}
