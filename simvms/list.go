// Package simvms simulates the platform's list of VMs for tests, the demo and benchmarks.
package simvms

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/simsw"
	"github.com/tarragonwheel/tarragonwheel/timer"
	"github.com/tarragonwheel/tarragonwheel/vmlist"
)

const (
	maxHistory   = 10_000 // changes kept; a client that is further behind gets the whole list
	maxWait      = 30 * time.Second
	maxBodyBytes = 1 << 20
)

// List is the simulated list. Its lag and outages can be changed at any time, by the methods or over HTTP.
type List struct {
	clock *timer.Service

	mu       sync.Mutex
	vms      map[string]vmlist.VM
	history  []vmlist.VM // the VM after each of the latest changes; the last change led to the current revision
	revision int64
	lag      time.Duration // time until a change becomes visible
	down     bool
	changed  chan struct{} // closed and replaced on each change
}

// New returns an empty List whose changes become visible after lag.
func New(clk *timer.Service, lag time.Duration) *List {
	return &List{clock: clk, lag: lag, vms: make(map[string]vmlist.VM), changed: make(chan struct{})}
}

// Set adds or changes a VM, or removes it if its state is vmlist.StateRemoved. The change becomes visible after the
// current lag.
func (lst *List) Set(vm vmlist.VM) {
	lst.mu.Lock()
	lag := lst.lag
	lst.mu.Unlock()
	if lag <= 0 {
		lst.apply(vm)
		return
	}
	lst.clock.After(lag, func() { lst.apply(vm) })
}

func (lst *List) apply(vm vmlist.VM) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	if vm.State == vmlist.StateRemoved {
		delete(lst.vms, vm.Name)
	} else {
		lst.vms[vm.Name] = vm
	}
	lst.revision++
	lst.history = append(lst.history, vm)
	if len(lst.history) > maxHistory {
		lst.history = lst.history[1:]
	}
	lst.notifyQueries()
}

// SetLag sets the lag of later changes.
func (lst *List) SetLag(lag time.Duration) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.lag = lag
}

// SetDown starts or ends an outage.
func (lst *List) SetDown(down bool) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.down = down
	lst.notifyQueries()
}

// Forget drops the history, so that the next query of each client returns the whole list.
func (lst *List) Forget() {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.history = nil
	lst.revision++
	lst.notifyQueries()
}

// notifyQueries wakes all long polls, which then check for changes and outages. The caller holds the lock.
func (lst *List) notifyQueries() {
	close(lst.changed)
	lst.changed = make(chan struct{})
}

// changesSince returns the response to a query, whether the list is down, and a channel that is closed on the next
// change.
func (lst *List) changesSince(revision int64) (vmlist.Changes, bool, <-chan struct{}) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	chg := vmlist.Changes{Revision: lst.revision, VMs: []vmlist.VM{}}
	behind := lst.revision - revision
	if revision <= 0 || behind < 0 || behind > int64(len(lst.history)) {
		chg.Complete = true
		for _, vm := range lst.vms {
			chg.VMs = append(chg.VMs, vm)
		}
	} else {
		newest := make(map[string]vmlist.VM)
		for _, vm := range lst.history[int64(len(lst.history))-behind:] {
			newest[vm.Name] = vm
		}
		for _, vm := range newest {
			chg.VMs = append(chg.VMs, vm)
		}
	}
	sort.Slice(chg.VMs, func(one, two int) bool { return chg.VMs[one].Name < chg.VMs[two].Name })
	return chg, lst.down, lst.changed
}

// Handler serves the list, and under /sim/ the controls of its content and faults: POST /sim/vms with a VM as JSON,
// POST /sim/lag?value=DURATION, POST /sim/down?value=BOOL, POST /sim/forget.
func (lst *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", lst.handleQuery)
	mux.HandleFunc("POST /sim/vms", func(rw http.ResponseWriter, req *http.Request) {
		var vm vmlist.VM
		err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxBodyBytes)).Decode(&vm)
		if err == nil && (vm.Name == "" || vm.State == "") {
			err = trace.BadParameter("simvms: name and state are needed")
		}
		applyOrReject(rw, err, func() { lst.Set(vm) })
	})
	simsw.AddControl(mux, "lag", time.ParseDuration, lst.SetLag)
	simsw.AddControl(mux, "down", strconv.ParseBool, lst.SetDown)
	mux.HandleFunc("POST /sim/forget", func(http.ResponseWriter, *http.Request) { lst.Forget() })
	return mux
}

// applyOrReject calls apply, or responds with the status 400 if err is not nil.
func applyOrReject(rw http.ResponseWriter, err error, apply func()) {
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	apply()
}

func (lst *List) handleQuery(rw http.ResponseWriter, req *http.Request) {
	revision, err := strconv.ParseInt(req.FormValue("since"), 10, 64)
	if err != nil {
		http.Error(rw, "since is not a number", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(req.FormValue("wait")) // No wait if it is absent or malformed.
	expired := make(chan struct{})
	sub := lst.clock.After(min(wait, maxWait), func() { close(expired) })
	defer sub.Stop()
	for {
		chg, down, changed := lst.changesSince(revision)
		if down {
			http.Error(rw, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if chg.Complete || len(chg.VMs) > 0 || wait <= 0 {
			rw.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(rw).Encode(chg)
			return
		}
		select {
		case <-changed:
		case <-expired:
			wait = 0
		case <-req.Context().Done():
			return
		}
	}
}
