package simeng

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tarragonwheel/tarragonwheel/engine"
)

// stallCheck is the interval at which a stalled engine looks whether it may go on.
const stallCheck = 10 * time.Millisecond

// faults are switched by PUT /sim/faults, which replaces all of them.
type faults struct {
	CrashMarker string `json:"crash-marker"` // a request that contains this text crashes the engine
	Stall       bool   `json:"stall"`        // steps pause
	LoseCancels int    `json:"lose-cancels"` // number of cancels that take effect without an answer
	LoadDelayMS int    `json:"load-delay-ms"`

	exit     func() // called by a crash; nil to go on with an empty batch
	loads    []loadSample
	lastLoad engine.Load
}

type loadSample struct {
	at   time.Time
	load engine.Load
}

func (eng *Engine) handleFaults(mux *http.ServeMux) {
	mux.HandleFunc("PUT /sim/faults", func(rw http.ResponseWriter, req *http.Request) {
		eng.mu.Lock()
		defer eng.mu.Unlock()
		next := faults{exit: eng.faults.exit, loads: eng.faults.loads, lastLoad: eng.faults.lastLoad}
		if err := json.NewDecoder(req.Body).Decode(&next); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		eng.faults = next
	})
	mux.HandleFunc("POST /sim/crash", func(http.ResponseWriter, *http.Request) { eng.Crash() })
}

// CrashOn makes the engine crash on a request that contains the marker. A non-nil exit is then called.
func (eng *Engine) CrashOn(marker string, exit func()) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.faults.CrashMarker = marker
	eng.faults.exit = exit
}

// Crash loses the batch and breaks the connections of all its requests.
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

func (eng *Engine) losesCancel() bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if eng.faults.LoseCancels == 0 {
		return false
	}
	eng.faults.LoseCancels--
	return true
}

// leave runs when the client's connection has ended. A request that is still in the batch stays there, as on engines
// that do not notice.
func (eng *Engine) leave(seq *sequence) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	seq.abandoned = true
}

func abortIfCrashed(seq *sequence) {
	if seq.crashed {
		panic(http.ErrAbortHandler)
	}
}

// load returns the engine's load, as it was before the configured delay.
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
		eng.faults.loads = nil
		eng.faults.lastLoad = lod
		return lod
	}
	eng.faults.loads = append(eng.faults.loads, loadSample{now, lod})
	for len(eng.faults.loads) > 0 && now.Sub(eng.faults.loads[0].at) >= delay {
		eng.faults.lastLoad = eng.faults.loads[0].load
		eng.faults.loads = eng.faults.loads[1:]
	}
	if eng.faults.lastLoad.TotalTokens == 0 {
		return lod
	}
	return eng.faults.lastLoad
}
