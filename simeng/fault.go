package simeng

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tarragonwheel/tarragonwheel/engine"
)

// stallCheck is the interval at which a stalled engine checks whether the stall has ended.
const stallCheck = 10 * time.Millisecond

// faults are the injected faults. PUT /sim/faults replaces all of them.
type faults struct {
	CrashMarker string `json:"crash-marker"`  // a request that contains this text crashes the engine
	Stall       bool   `json:"stall"`         // no steps run
	LoseCancels int    `json:"lose-cancels"`  // number of cancel requests that take effect but get no response
	LoadDelayMS int    `json:"load-delay-ms"` // age of the reported load

	exit         func()       // called by a crash; if nil, the engine continues with an empty batch
	delayedLoads []loadSample // not yet reported, oldest first
	lastLoad     engine.Load  // last one reported
}

// loadSample is the engine's load at a time.
type loadSample struct {
	at   time.Time
	load engine.Load
}

// handleFaults adds the endpoints that inject faults.
func (eng *Engine) handleFaults(mux *http.ServeMux) {
	mux.HandleFunc("PUT /sim/faults", func(rw http.ResponseWriter, req *http.Request) {
		eng.mu.Lock()
		defer eng.mu.Unlock()
		next := faults{exit: eng.faults.exit, delayedLoads: eng.faults.delayedLoads, lastLoad: eng.faults.lastLoad}
		if err := json.NewDecoder(req.Body).Decode(&next); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		eng.faults = next
	})
	mux.HandleFunc("POST /sim/crash", func(http.ResponseWriter, *http.Request) { eng.Crash() })
}

// CrashOn makes the engine crash on a request whose body contains the marker. The crash calls exit unless it is nil.
func (eng *Engine) CrashOn(marker string, exit func()) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.faults.CrashMarker = marker
	eng.faults.exit = exit
}

// Crash removes all requests and aborts their connections.
func (eng *Engine) Crash() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if eng.faults.exit != nil {
		eng.faults.exit()
	}
	for _, seq := range eng.seqs {
		seq.crashed = true
		eng.remove(seq)
	}
}

// crashesOn reports whether a request with this body crashes the engine.
func (eng *Engine) crashesOn(body []byte) bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	marker := eng.faults.CrashMarker
	return marker != "" && bytes.Contains(body, []byte(marker))
}

func (eng *Engine) stalled() bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.faults.Stall
}

// consumeLostCancel reports whether the response to the current cancel request is to be lost, and counts it.
func (eng *Engine) consumeLostCancel() bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if eng.faults.LoseCancels == 0 {
		return false
	}
	eng.faults.LoseCancels--
	return true
}

// markAbandoned is called when the client's connection has ended. An unfinished request stays in the engine, as in
// engines that do not detect disconnects.
func (eng *Engine) markAbandoned(seq *sequence) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	seq.abandoned = true
}

// abortIfCrashed aborts the connection if the sequence was lost in a crash.
func abortIfCrashed(seq *sequence) {
	if seq.crashed {
		panic(http.ErrAbortHandler)
	}
}

// load returns the engine's load. With a load delay it returns the load as it was that long ago.
func (eng *Engine) load() engine.Load {
	used, running, waiting := eng.usage()
	version, _, _ := eng.Version()
	now := eng.clock.Now()
	lod := engine.Load{
		Model: eng.model.Name, TotalTokens: eng.model.TotalTokens, UsedTokens: used, Running: running,
		Waiting: waiting, PrefillRate: eng.model.PrefillRate, MaxRunning: eng.model.MaxRunning,
		Version: version,
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	delay := time.Duration(eng.faults.LoadDelayMS) * time.Millisecond
	if delay == 0 {
		eng.faults.delayedLoads = nil
		eng.faults.lastLoad = lod
		return lod
	}
	eng.faults.delayedLoads = append(eng.faults.delayedLoads, loadSample{now, lod})
	for len(eng.faults.delayedLoads) > 0 && now.Sub(eng.faults.delayedLoads[0].at) >= delay {
		eng.faults.lastLoad = eng.faults.delayedLoads[0].load
		eng.faults.delayedLoads = eng.faults.delayedLoads[1:]
	}
	if eng.faults.lastLoad.TotalTokens == 0 {
		return lod
	}
	return eng.faults.lastLoad
}
