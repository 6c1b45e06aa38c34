// Package simwgt simulates the platform's weight store for tests and the demo.
package simwgt

import (
	"net/http"
	"slices"
	"sync"

	"golang.org/x/time/rate"
)

// Store is the simulated weight store. It has some versions of each model and permits loads at a limited rate.
type Store struct {
	limiter  *rate.Limiter
	versions []string

	mu      sync.Mutex
	permits int
}

// New returns a Store that has the given versions of every model. It grants at most permitRate permits per second,
// without bursts.
func New(permitRate float64, versions []string) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(permitRate), 1), versions: versions}
}

// Permits returns the number of permits granted so far.
func (sto *Store) Permits() int {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.permits
}

// Handler serves the protocol of the weight store.
func (sto *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/models/{model}/versions/{version}/permits",
		func(rw http.ResponseWriter, req *http.Request) {
			switch {
			case !slices.Contains(sto.versions, req.PathValue("version")):
				http.Error(rw, "unknown version", http.StatusNotFound)
			case !sto.limiter.Allow():
				http.Error(rw, "busy", http.StatusTooManyRequests)
			default:
				sto.mu.Lock()
				sto.permits++
				sto.mu.Unlock()
			}
		})
	return mux
}
