// Package simsw adds switches of faults to the HTTP interface of a stand-in.
package simsw

import "net/http"

// Add serves POST /sim/NAME?value=VALUE, which parses the value and calls set with it. A value that cannot be parsed is
// answered with 400.
func Add[T any](mux *http.ServeMux, name string, parse func(text string) (T, error), set func(val T)) {
	mux.HandleFunc("POST /sim/"+name, func(rw http.ResponseWriter, req *http.Request) {
		val, err := parse(req.FormValue("value"))
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		set(val)
	})
}
