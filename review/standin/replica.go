package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times and sizes of an engine, as in the site file of a small deployment.
const (
	engineSlots      = 16
	engineQueue      = 32
	tokensPerEvent   = 51
	eventInterval    = 43 * time.Millisecond // 51 steps of 0.85 ms
	prefillTokensPMs = 177
	eventsPerStream  = 33
	heartbeat        = 1200 * time.Millisecond
	missedHeartbeats = 3 // after which the entry of a silent replica is removed
	restartAfter     = 3 * time.Second
)

// fleet holds the replicas of the engine service.
type fleet struct {
	store   *store
	rec     *recorder
	service string
	// afterFirstEvent is set if a deadly request crashes its replica after the first event of its answer, and not before.
	afterFirstEvent bool
	lastID          atomic.Int64
	mu              sync.Mutex
	crashes         []time.Time
	arrivals        []arrival // of deadly requests
}

// arrival is a request that has reached a replica.
type arrival struct {
	id string
	at time.Time
}

// replica is one incarnation of an engine.
type replica struct {
	fleet    *fleet
	id       string
	address  string
	bornMs   int64
	sequence atomic.Int64
	server   *http.Server
	slots    chan struct{}
	queued   atomic.Int64
	running  atomic.Int64
	crashed  chan struct{}
	once     sync.Once
}

// start starts one more replica, which registers itself in the store.
func (flt *fleet) start() {
	lis := listen()
	rep := &replica{
		fleet: flt, id: fmt.Sprintf("i-%04x", flt.lastID.Add(1)), address: lis.Addr().String(),
		bornMs: time.Now().UnixMilli(), slots: make(chan struct{}, engineSlots), crashed: make(chan struct{}),
	}
	rep.server = &http.Server{Handler: rep}
	go func() { _ = rep.server.Serve(lis) }()
	go rep.register()
}

// register writes the replica's entry at each heartbeat. After a crash, the store removes the entry when three
// heartbeats are missing, and another incarnation starts.
func (rep *replica) register() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		rep.fleet.store.put(topicReplicas, rep.id, []byte(fmt.Sprintf(
			`{"Service":%q,"Address":%q,"Zone":"z1","Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,`+
				`"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Sequence":%d,"born":%d}`,
			rep.fleet.service, rep.address, engineSlots, rep.sequence.Add(1), rep.bornMs)))
		select {
		case <-tick.C:
		case <-rep.crashed:
			time.AfterFunc(missedHeartbeats*heartbeat, func() { rep.fleet.store.put(topicReplicas, rep.id, nil) })
			time.AfterFunc(restartAfter, rep.fleet.start)
			return
		}
	}
}

// crash closes the listener and all connections of the replica, as the end of its process does.
func (rep *replica) crash(cause string) {
	rep.once.Do(func() {
		rep.fleet.mu.Lock()
		rep.fleet.crashes = append(rep.fleet.crashes, time.Now())
		num := len(rep.fleet.crashes)
		rep.fleet.mu.Unlock()
		rep.fleet.rec.add("crash %d replica=%s request=%s", num, rep.id, cause)
		close(rep.crashed)
		_ = rep.server.Close()
	})
}

// ServeHTTP implements http.Handler.
func (rep *replica) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/v1/report":
		rw.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(rw, `{"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,`+
			`"Sequence":0,"Queued":%d,"Running":%d,"KvUsed":0,"KvTotal":315000,"Handles":0,"Tickets":[],"pace":1,`+
			`"born":%d}`, rep.queued.Load(), rep.running.Load(), rep.bornMs)
		return
	case "/v1/order": // Memory is always free here; the prompts of the plays need no reservation.
		rw.Header().Set("Content-Type", "application/json")
		fmt.Fprint(rw, `{"Free":315000}`)
		return
	case "/healthz":
		rw.Header().Set("Tarragonwheel-Replica-Id", rep.id)
		return
	}
	rep.serveStream(rw, req)
}

// serveStream runs a request, or refuses it.
func (rep *replica) serveStream(rw http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Tarragonwheel-Request-Id")
	rw.Header().Set("Tarragonwheel-Request-Id", id)
	if target := req.Header.Get("Tarragonwheel-Target-Replica"); target != "" && target != rep.id {
		rw.Header().Set("Tarragonwheel-Replica-Id", rep.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadly := rep.isDeadly(req)
	rep.fleet.rec.add("arrive request=%s replica=%s deadly=%t last-event=%q", id, rep.id, deadly,
		req.Header.Get("Last-Event-Id"))
	if deadly {
		rep.fleet.mu.Lock()
		rep.fleet.arrivals = append(rep.fleet.arrivals, arrival{id: id, at: time.Now()})
		rep.fleet.mu.Unlock()
	}
	if !rep.takeSlot(req) {
		rw.Header().Set("Tarragonwheel-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { rep.running.Add(-1); <-rep.slots }()
	rep.writeEvents(rw, req, deadly)
}

// takeSlot waits for a slot. It returns false if too many requests wait already, or if the caller leaves.
func (rep *replica) takeSlot(req *http.Request) bool {
	defer rep.queued.Add(-1)
	if rep.queued.Add(1) > engineQueue {
		return false
	}
	select {
	case rep.slots <- struct{}{}:
		rep.running.Add(1)
		return true
	case <-req.Context().Done():
		return false
	}
}

// isDeadly tells whether the request crashes replicas.
func (rep *replica) isDeadly(req *http.Request) bool {
	prefix := req.Header.Get("Tarragonwheel-Prompt-Prefix")
	return prefix == recurringPrefix || strings.Contains(prefix, deadlyPart+":")
}

// writeEvents prefills the prompt and writes the events that the caller does not have yet. A deadly request
// crashes the replica when it begins to write.
func (rep *replica) writeEvents(rw http.ResponseWriter, req *http.Request, deadly bool) {
	id := req.Header.Get("Tarragonwheel-Request-Id")
	tokens, _ := strconv.Atoi(strings.Split(req.Header.Get("Tarragonwheel-Token-Usage"), ",")[0])
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if !pause(req, time.Duration(tokens/prefillTokensPMs)*time.Millisecond) {
		return
	}
	rep.fleet.rec.add("run request=%s replica=%s tenant=%s", id, rep.id, req.Header.Get("Tarragonwheel-Tenant"))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Tarragonwheel-Replica-Signature", rep.id+"."+id)
	rw.Header().Set("Tarragonwheel-Weight-Versions", "1")
	for num := last + 1; num <= eventsPerStream; num++ {
		if !pause(req, eventInterval) {
			return
		}
		if deadly && !rep.fleet.afterFirstEvent {
			rep.crash(id)
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", num, id, num)
		_ = http.NewResponseController(rw).Flush()
		if deadly {
			rep.crash(id)
			return
		}
	}
}

// pause waits, and returns false if the caller leaves meanwhile.
func pause(req *http.Request, length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-req.Context().Done():
		return false
	}
}
