// Package simsw adds controls for injected faults to the HTTP API of a simulator.
package simsw

import "net/http"

// AddControl adds the handler of POST /sim/NAME?value=VALUE, which parses the value and calls set with it. A value that
// cannot be parsed gets the status 400, and set is not called.
func AddControl[T any](mux *http.ServeMux, name string, parse func(text string) (T, error), set func(val T)) {
	mux.HandleFunc("POST /sim/"+name, func(rw http.ResponseWriter, req *http.Request) {
		val, err := parse(req.FormValue("value"))
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		set(val)
	})
}
