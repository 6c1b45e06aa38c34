package fault

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Status is the state of a route as the control interface returns it.
type Status struct {
	Name        string  `json:"name"`
	Listen      string  `json:"listen"`
	Target      string  `json:"target"`
	Connections int     `json:"connections"`
	Bytes       int64   `json:"bytes"` // delivered in both directions
	Delay       string  `json:"delay"`
	Jitter      string  `json:"jitter"`
	Loss        float64 `json:"loss"`
	Cut         bool    `json:"cut"`
	Up          Mode    `json:"up"`
	Down        Mode    `json:"down"`
	Freeze      bool    `json:"freeze"`
}

// Status returns the current state of the route.
func (rte *Route) Status() Status {
	flt := rte.Faults()
	return Status{
		Name: rte.name, Listen: rte.Address(), Target: rte.target, Connections: rte.Connections(), Bytes: rte.Bytes(),
		Delay: flt.Delay.String(), Jitter: flt.Jitter.String(), Loss: flt.Loss,
		Cut: flt.Cut, Up: flt.Up, Down: flt.Down, Freeze: flt.Freeze,
	}
}

// Handler serves the control interface:
//
//	GET  /routes                                    list of Status
//	POST /routes?name=NAME&listen=ADDR&target=ADDR  add a route
//	POST /routes/NAME?delay=20ms&cut=true           change the given faults and keep the others
//	POST /routes/NAME/heal                          remove all faults
func (prx *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /routes", func(rw http.ResponseWriter, _ *http.Request) {
		list := []Status{}
		for _, rte := range prx.Routes() {
			list = append(list, rte.Status())
		}
		writeAnswer(rw, list, nil)
	})
	mux.HandleFunc("POST /routes", func(rw http.ResponseWriter, req *http.Request) {
		rte, err := prx.Add(req.FormValue("name"), req.FormValue("listen"), req.FormValue("target"))
		if err != nil {
			writeAnswer(rw, nil, err)
			return
		}
		writeAnswer(rw, rte.Status(), nil)
	})
	mux.HandleFunc("POST /routes/{name}", func(rw http.ResponseWriter, req *http.Request) {
		prx.handleChange(rw, req, func(rte *Route) error {
			flt, err := applyValues(rte.Faults(), req.URL.Query())
			if err != nil {
				return err
			}
			return rte.Set(flt)
		})
	})
	mux.HandleFunc("POST /routes/{name}/heal", func(rw http.ResponseWriter, req *http.Request) {
		prx.handleChange(rw, req, func(rte *Route) error {
			rte.Heal()
			return nil
		})
	})
	return mux
}

// handleChange applies a change to the route named in the path and answers with its new status.
func (prx *Proxy) handleChange(rw http.ResponseWriter, req *http.Request, apply func(rte *Route) error) {
	rte, err := prx.Route(req.PathValue("name"))
	if err == nil {
		err = apply(rte)
	}
	if err != nil {
		writeAnswer(rw, nil, err)
		return
	}
	writeAnswer(rw, rte.Status(), nil)
}

// applyValues returns flt with the named faults replaced by the given values.
func applyValues(flt Faults, given url.Values) (Faults, error) {
	for name, vals := range given {
		val := vals[0]
		var err error
		switch name {
		case "delay":
			flt.Delay, err = time.ParseDuration(val)
		case "jitter":
			flt.Jitter, err = time.ParseDuration(val)
		case "loss":
			flt.Loss, err = strconv.ParseFloat(val, 64)
		case "cut":
			flt.Cut, err = strconv.ParseBool(val)
		case "freeze":
			flt.Freeze, err = strconv.ParseBool(val)
		case "up":
			flt.Up = Mode(val)
		case "down":
			flt.Down = Mode(val)
		default:
			return flt, trace.BadParameter("fault: unknown fault %q", name)
		}
		if err != nil {
			return flt, trace.BadParameter("fault: %s: %v", name, err)
		}
	}
	return flt, nil
}

// writeAnswer writes val as JSON, or the error with the status that belongs to its kind.
func writeAnswer(rw http.ResponseWriter, val any, err error) {
	if err != nil {
		http.Error(rw, err.Error(), trace.ErrorToCode(err))
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(val)
}
